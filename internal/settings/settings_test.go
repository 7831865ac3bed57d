package settings_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/settings"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
)

// The shipped examples load and pass their checks.
func TestExamplesLoad(t *testing.T) {
	cats, _ := filepath.Glob("../../examples/*/catalogue.jsonc")
	entries, _ := filepath.Glob("../../examples/*/entry-*.jsonc")
	if len(cats) != 2 || len(entries) != 2 {
		t.Fatalf("found %d catalogues and %d entry settings", len(cats), len(entries))
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

// Bad settings stop a program with an error that names the field.
func TestBadSettingsNameTheField(t *testing.T) {
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
