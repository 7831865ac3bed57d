package deployfile_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/deployfile"
)

const good = `build = "go build ./..."
packages = ["gcc"]
[roles.node]
run = "target/x node"
on = "edge"
share = 1.0
serves = ["edge", "registry"]
metrics = "9464/metrics"
`

// load returns the error of Load for a file with this content.
func load(t *testing.T, content string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "system.toml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := deployfile.Load(path)
	return err
}

// The deploy file of the repository is valid.
func TestRepositoryFile(t *testing.T) {
	f, err := deployfile.Load("../../deploy/system.toml")
	if err != nil || len(f.Roles) == 0 {
		t.Fatalf("Load = %+v, %v, want roles and no error", f, err)
	}
}

// Errors have the line and the reason.
func TestErrors(t *testing.T) {
	if err := load(t, good); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		old, new string
		line     int
		reason   string
	}{
		"syntax":          {`on = "edge"`, `on = edge`, 5, ""},
		"wrong type":      {`share = 1.0`, `share = "all"`, 6, ""},
		"unknown key":     {`on = "edge"`, "on = \"edge\"\nshares = 1", 6, "shares"},
		"no build":        {`build = "go build ./..."`, ``, 0, "build"},
		"no program":      {`run = "target/x node"`, ``, 3, "run"},
		"share too large": {`share = 1.0`, `share = 1.5`, 3, "share"},
		"share and count": {`share = 1.0`, "share = 1.0\ncount = 1", 3, "both"},
		"neither":         {`share = 1.0`, ``, 3, "required"},
		"odd interface":   {`"registry"`, `"registrar"`, 3, "registrar"},
		"no addresses":    {`, "registry"`, ``, 0, "registry"},
		"odd metrics":     {`9464/metrics`, `metrics`, 3, "PORT/PATH"},
		"no template":     {`metrics =`, "template = \"not/there\"\nmetrics =", 8, "not/there"},
	} {
		err := load(t, strings.Replace(good, c.old, c.new, 1))
		var e *deployfile.Error
		if !errors.As(err, &e) || e.Line != c.line || !strings.Contains(err.Error(), c.reason) {
			t.Errorf("%s: got error %v, want one for line %d with %q", name, err, c.line, c.reason)
		}
	}
}
