// Package deployfile reads and checks the deploy file, from which the users' platform
// learns how to build the system and on which machines to run its programs.
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
	Build    string          `toml:"build"`    // shell command, run in the root of the repository
	Packages []string        `toml:"packages"` // that the build needs in addition to the Go toolchain
	Roles    map[string]Role `toml:"roles"`
}

// Role is a program and the machines that run it.
type Role struct {
	Command      string            `toml:"run"`   // program and arguments, separated by spaces
	MachineClass string            `toml:"on"`    // class of the machines that run the role
	Share        *float64          `toml:"share"` // fraction of the machines of the class, over 0 and at most 1; excludes Count
	Count        *int              `toml:"count"` // machines in each data centre; excludes Share
	Apart        bool              `toml:"apart"` // machines are taken from the end of their order; read by the platform only
	Serves       []string          `toml:"serves"`
	Metrics      string            `toml:"metrics"`  // PORT/PATH
	Template     string            `toml:"template"` // path from the root of the repository; must exist
	Env          map[string]string `toml:"env"`
}

// The interfaces that a role may serve, by their names in the file: requests of callers,
// operators' access to metrics, and the addresses that callers are to connect to.
const (
	servesCallers   = "edge"
	servesControl   = "control"
	servesAddresses = "registry"
)

// maxRolesPerClass is the limit of roles on a machine, and so of roles that name the same
// class of machines.
const maxRolesPerClass = 2

// Error is an error in a deploy file.
type Error struct {
	Path string
	Line int // 1 is the first; 0 if the line is not known
	Err  error
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.Path, e.Err)
	}
	return fmt.Sprintf("%s:%d: %v", e.Path, e.Line, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Load reads and checks the file at path, which is in a directory under the root of the
// repository. Errors of the content are of type *Error.
func Load(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	f, line, err := parse(b)
	if err != nil {
		return File{}, &Error{Path: path, Line: line, Err: err}
	}
	root := filepath.Dir(filepath.Dir(path))
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

// parse decodes and checks b. With an error it returns its line, or 0 if the line is not
// known.
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

// lineOf returns the line in which text first occurs in b, or 0 if it does not occur.
func lineOf(b []byte, text string) int {
	before, _, ok := strings.Cut(string(b), text)
	if !ok {
		return 0
	}
	return strings.Count(before, "\n") + 1
}

// check returns an error for the first invalid value of f, and the name of its role or ""
// if it is in none.
func (f File) check() (role string, err error) {
	if strings.TrimSpace(f.Build) == "" {
		return "", errors.New("build: a command is required")
	}
	if len(f.Roles) == 0 {
		return "", errors.New("roles: at least one is required")
	}
	rolesOfClass := map[string]int{}
	served := map[string]string{} // role by class and interface
	for _, name := range slices.Sorted(maps.Keys(f.Roles)) {
		r := f.Roles[name]
		if err := r.check(); err != nil {
			return name, fmt.Errorf("role %s: %w", name, err)
		}
		if rolesOfClass[r.MachineClass]++; rolesOfClass[r.MachineClass] > maxRolesPerClass {
			return name, fmt.Errorf("role %s: class %s has more than %d roles", name, r.MachineClass, maxRolesPerClass)
		}
		for _, s := range r.Serves {
			if other := served[r.MachineClass+"/"+s]; other != "" {
				return name, fmt.Errorf("role %s: role %s already serves %s on class %s", name, other, s, r.MachineClass)
			}
			served[r.MachineClass+"/"+s] = name
		}
	}
	for _, s := range []string{servesCallers, servesAddresses} {
		if !slices.ContainsFunc(slices.Collect(maps.Values(f.Roles)), func(r Role) bool { return slices.Contains(r.Serves, s) }) {
			return "", fmt.Errorf("roles: no role serves %s", s)
		}
	}
	return "", nil
}

// check returns an error for the first invalid value of r.
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
