package main_test

import (
	"errors"
	"io/fs"
	"strings"
	"testing"

	main "github.com/zinnialadder/zinnialadder/scripts/paired"
)

// Guards against an error that hides its cause behind a formatting mistake when the bench
// program succeeds but writes no report.
func TestMissingReport(t *testing.T) {
	for program, what := range map[string]string{"true": "no report", "false": "exit status 1"} {
		err := main.RunDay(program, t.TempDir())
		if !errors.Is(err, fs.ErrNotExist) || strings.Contains(err.Error(), "%!") || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: got error %v, want one of a missing file with %q", program, err, what)
		}
	}
}
