package settings_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/settings"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
)

// The example files of the repository are valid.
func TestExamplesLoad(t *testing.T) {
	cats, _ := filepath.Glob("../../examples/*/catalogue.jsonc")
	entries, _ := filepath.Glob("../../examples/*/entry-*.jsonc")
	if len(cats) != 2 || len(entries) != 2 {
		t.Fatalf("found %d catalogues and %d entry settings, want 2 and 2", len(cats), len(entries))
	}
	for _, p := range cats {
		var f catalogue.File
		if err := settings.Load(p, &f); err != nil {
			t.Error(err)
		}
	}
	for _, p := range entries {
		var s settings.Entry
		if err := settings.Load(p, &s); err != nil {
			t.Error(err)
		}
	}
}

// The error for invalid settings names the field or its value.
func TestErrorsNameField(t *testing.T) {
	good := `"id": "a", "listen": "127.0.0.1:1", "data_centre": "braga-hall", "platform": "http://127.0.0.1:2"`
	cases := map[string]string{
		`{` + good + `, "colour": "red"}`: "colour",
		`{"id": "a", "listen": "localhost:1", "data_centre": "braga-hall", "platform": "p"}`: "listen",
		`{"id": "a", "listen": "127.0.0.1:1", "platform": "p"}`:                              "data_centre",
		`{"id": "a", "listen": "127.0.0.1:1", "data_centre": "mars", "platform": "p"}`:       "data_centre",
		`{` + good + `, "refresh": "soon"}`:                                                  "soon",
		`{` + good + `, "log_level": "loud"}`:                                                "log_level",
		`{"listen": "127.0.0.1:1", "data_centre": "braga-hall", "platform": "p"} // no id`:   "id",
	}
	for text, field := range cases {
		var s settings.Entry
		err := settings.Parse([]byte(text), &s)
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v, want an error naming %q", text, err, field)
		}
	}
}

// Errors have the line of their cause in the file, also after comments.
func TestErrorsNameLine(t *testing.T) {
	const good = "// an instance\n{\n  \"id\": \"e\",\n  /* where\n     to serve */\n  \"listen\": \"127.0.0.1:1\",\n  \"data_centre\": \"loopback\",\n  \"platform\": \"http://127.0.0.1:2\",\n  \"refresh\": \"1s\"\n}\n"
	if err := settings.Parse([]byte(good), new(settings.Entry)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		old, new string
		line     int
	}{
		"unknown field": {`"refresh"`, `"refresher"`, 9},
		"wrong type":    {`"platform": "http://127.0.0.1:2"`, `"platform": 7`, 8},
		"bad value":     {`127.0.0.1:1`, `here:1`, 6},
		"bad duration":  {`"1s"`, `"1 second"`, 9},
		"trailing data": {"}\n", "}\n{}", 11},
	} {
		err := settings.Parse([]byte(strings.Replace(good, c.old, c.new, 1)), new(settings.Entry))
		if err == nil || !strings.Contains(err.Error(), fmt.Sprintf("line %d", c.line)) {
			t.Errorf("%s: got error %v, want one with line %d", name, err, c.line)
		}
	}
}
