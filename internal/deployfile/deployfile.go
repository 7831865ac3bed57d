// Package deployfile reads and checks the file that tells the users' platform how
// the system is built and on which machines its programs run.
package deployfile

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is the content of a deploy file.
type File struct {
	Build    string          `toml:"build"`    // command of a shell, in the repository's root
	Packages []string        `toml:"packages"` // that the build needs beside the language
	Roles    map[string]Role `toml:"roles"`
}

// Role is a program and the machines that run it.
type Role struct {
	Command      string            `toml:"run"` // the program and its arguments, split at spaces
	MachineClass string            `toml:"on"`  // class of machines
	Share        *float64          `toml:"share"`
	Count        *int              `toml:"count"` // of machines in each data centre, in place of Share
	Apart        bool              `toml:"apart"`
	Serves       []string          `toml:"serves"`
	Metrics      string            `toml:"metrics"` // PORT/PATH
	Template     string            `toml:"template"`
	Env          map[string]string `toml:"env"`
}

// Interfaces that a role may serve.
const (
	servesCallers   = "edge"
	servesControl   = "control"
	servesAddresses = "registry"
)

// maxRolesOfClass is how many roles a machine runs at the most.
const maxRolesOfClass = 2

// Error is a fault of a file, at a line if Line is not 0.
type Error struct {
	Path string
	Line int
	Err  error
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.Path, e.Err)
	}
	return fmt.Sprintf("%s:%d: %v", e.Path, e.Line, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Load reads and checks the file at path. Its errors are *Error, or of reading
// the file.
func Load(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	f, line, err := parse(b)
	if err != nil {
		return File{}, &Error{Path: path, Line: line, Err: err}
	}
	root := filepath.Dir(filepath.Dir(path)) // of the repository
	for name, r := range f.Roles {
		if r.Template == "" {
			continue
		}
		if _, err := os.Stat(filepath.Join(root, r.Template)); err != nil {
			return File{}, &Error{Path: path, Line: lineOf(b, r.Template), Err: fmt.Errorf("role %s: template: %w", name, err)}
		}
	}
	return f, nil
}

// parse decodes and checks b and returns the line of the error, 0 if it is none's.
func parse(b []byte) (f File, line int, err error) {
	err = toml.NewDecoder(strings.NewReader(string(b))).DisallowUnknownFields().Decode(&f)
	var strict *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		line, _ = strict.Errors[0].Position()
		return f, line, fmt.Errorf("unknown key %s", strings.Join(strict.Errors[0].Key(), "."))
	case errors.As(err, &bad):
		line, _ = bad.Position()
		return f, line, bad
	case err != nil:
		return f, 0, err
	}
	if role, err := f.check(); err != nil {
		return f, lineOf(b, "[roles."+role+"]"), err
	}
	return f, 0, nil
}

// lineOf returns the line of b that text stands in, 0 for none.
func lineOf(b []byte, text string) int {
	before, _, ok := strings.Cut(string(b), text)
	if !ok {
		return 0
	}
	return strings.Count(before, "\n") + 1
}

// check returns the first fault of f, and the role that it is in, if any.
func (f File) check() (role string, err error) {
	if strings.TrimSpace(f.Build) == "" {
		return "", errors.New("build: a command is required")
	}
	if len(f.Roles) == 0 {
		return "", errors.New("roles: at least one is required")
	}
	ofClass := map[string]int{}
	served := map[string]string{} // by class and interface
	for _, name := range slices.Sorted(maps.Keys(f.Roles)) {
		r := f.Roles[name]
		if err := r.check(); err != nil {
			return name, fmt.Errorf("role %s: %w", name, err)
		}
		if ofClass[r.MachineClass]++; ofClass[r.MachineClass] > maxRolesOfClass {
			return name, fmt.Errorf("role %s: machines of class %s run %d roles at the most", name, r.MachineClass, maxRolesOfClass)
		}
		for _, s := range r.Serves {
			if other := served[r.MachineClass+"/"+s]; other != "" {
				return name, fmt.Errorf("role %s: role %s serves %s on class %s already", name, other, s, r.MachineClass)
			}
			served[r.MachineClass+"/"+s] = name
		}
	}
	for _, s := range []string{servesCallers, servesAddresses} {
		if !slices.ContainsFunc(slices.Collect(maps.Values(f.Roles)), func(r Role) bool { return slices.Contains(r.Serves, s) }) {
			return "", fmt.Errorf("roles: none serves %s", s)
		}
	}
	return "", nil
}

func (r Role) check() error {
	switch {
	case strings.TrimSpace(r.Command) == "":
		return errors.New("run: a program is required")
	case r.MachineClass == "":
		return errors.New("on: a class of machines is required")
	case r.Share == nil && r.Count == nil:
		return errors.New("share or count is required")
	case r.Share != nil && r.Count != nil:
		return errors.New("share and count are both given")
	case r.Share != nil && (*r.Share <= 0 || *r.Share > 1):
		return fmt.Errorf("share: %v: want more than 0, at most 1", *r.Share)
	case r.Count != nil && *r.Count < 1:
		return fmt.Errorf("count: %d: want at least 1", *r.Count)
	}
	for _, s := range r.Serves {
		if s != servesCallers && s != servesControl && s != servesAddresses {
			return fmt.Errorf("serves: %q: want %s, %s or %s", s, servesCallers, servesControl, servesAddresses)
		}
	}
	if r.Metrics == "" {
		return nil
	}
	port, _, ok := strings.Cut(r.Metrics, "/")
	if n, err := strconv.Atoi(port); !ok || err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("metrics: %q: want PORT/PATH", r.Metrics)
	}
	return nil
}
