package main_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	main "github.com/zinnialadder/zinnialadder/cmd/zinnialadder"
)

var (
	quoted     = regexp.MustCompile("`([^`]+)`")
	codeLine   = regexp.MustCompile("(?m)^    (?:go run \\./cmd/)?(zinnialadder [^#\n]*)")
	testName   = regexp.MustCompile(`^(?:[\w/]+[./])?(?:Test|Benchmark|Fuzz)[A-Z.]`)
	metricName = regexp.MustCompile(`^zinnia_\w+\*?$`)
	subcommand = regexp.MustCompile(`^[a-z]+$`)
	separators = strings.NewReplacer(".", "_", "-", "_", " ", "_")
)

// sources holds what the Go files define that the pages may name.
type sources struct {
	tests    map[string]bool // functions of test files, with and without the name of their directory
	literals map[string]bool // strings of other files
}

func readSources(t *testing.T, root string) sources {
	s := sources{tests: map[string]bool{}, literals: map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		isTest := strings.HasSuffix(path, "_test.go")
		ast.Inspect(file, func(n ast.Node) bool {
			if f, ok := n.(*ast.FuncDecl); ok && isTest && f.Recv == nil {
				s.tests[f.Name.Name] = true
				s.tests[filepath.Base(filepath.Dir(path))+"."+f.Name.Name] = true
			}
			if lit, ok := n.(*ast.BasicLit); ok && !isTest && lit.Kind == token.STRING {
				text, _ := strconv.Unquote(lit.Value)
				s.literals[text] = true
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// hasMetric reports whether a metric of the exposition, or one that begins with name if
// that ends with an asterisk, has its name in the code.
func (s sources) hasMetric(name string) bool {
	name, isPrefix := strings.CutSuffix(strings.TrimPrefix(name, "zinnia"), "*")
	name = strings.Trim(strings.TrimSuffix(strings.TrimSuffix(name, "_total"), "_seconds"), "_")
	for text := range s.literals {
		known := strings.Trim(separators.Replace(text), "_")
		variable := strings.HasSuffix(text, ".") // the rest of the name is added at run time
		if known == name || known != "" && variable && strings.HasPrefix(name, known+"_") || isPrefix && strings.HasPrefix(known, name+"_") {
			return true
		}
	}
	return false
}

// find returns the subcommand of cmd with a name, or nil.
func find(cmd *cobra.Command, name string) *cobra.Command {
	for _, c := range cmd.Commands() {
		if c.Name() == name {
			return c
		}
	}
	return nil
}

// hasFlag reports whether a command or one of its subcommands has the flag.
func hasFlag(cmd *cobra.Command, name string) bool {
	return cmd.Flag(name) != nil || slices.ContainsFunc(cmd.Commands(), func(c *cobra.Command) bool { return hasFlag(c, name) })
}

// commandError returns what is wrong with the words of a command line that follow the
// name of the program, or "". Words that are no names of commands are arguments.
func commandError(words []string) string {
	cmd := main.RootCmd()
	afterFlag := false // the word may be the value of a flag
	for _, w := range words {
		flag, isFlag := strings.CutPrefix(w, "--")
		if sub := find(cmd, w); sub != nil {
			cmd = sub
		} else if isFlag && !hasFlag(cmd, flag) {
			return cmd.CommandPath() + " has no flag --" + flag
		} else if !isFlag && !afterFlag && cmd.HasSubCommands() && subcommand.MatchString(w) {
			return cmd.CommandPath() + " has no command " + w
		}
		afterFlag = isFlag
	}
	return ""
}

// Operators type the commands of the pages, search logs and metrics for the names in
// them and look for the tests that prove a promise. Guards against pages that name what
// has been renamed or removed, and against commands that the pages leave out.
func TestPagesNameWhatExists(t *testing.T) {
	src, root := readSources(t, "../.."), main.RootCmd()
	pages, inLogTable := "", false
	for _, page := range []string{"OPERATIONS.md", "PROMISES.md"} {
		b, err := os.ReadFile("../../docs/" + page)
		if err != nil {
			t.Fatal(err)
		}
		pages += string(b)
		for _, line := range strings.Split(codeLine.ReplaceAllString(string(b), "`$1`"), "\n") {
			inLogTable = strings.HasPrefix(line, "| line |") || inLogTable && strings.HasPrefix(line, "|")
			for _, m := range quoted.FindAllStringSubmatch(line, -1) {
				name := m[1]
				switch e := commandError(strings.Fields(strings.TrimPrefix(name, "zinnialadder "))); {
				case testName.MatchString(name) && !src.tests[filepath.Base(name)]:
					t.Errorf("%s: no test %s", page, name)
				case metricName.MatchString(name) && !src.hasMetric(name):
					t.Errorf("%s: no metric %s", page, name)
				case inLogTable && strings.Contains(strings.SplitN(line, "|", 3)[1], m[0]) && !src.literals[name]:
					t.Errorf("%s: no log line %q", page, name)
				case e != "" && (strings.HasPrefix(name, "zinnialadder ") || strings.HasPrefix(name, "--") || find(root, strings.Fields(name)[0]) != nil):
					t.Errorf("%s: `%s`: %s", page, name, e)
				}
			}
		}
	}
	for _, c := range append(root.Commands(), find(root, "ctl").Commands()...) {
		if name := strings.TrimPrefix(c.CommandPath(), "zinnialadder "); !strings.Contains(pages, "`"+name) && !strings.Contains(pages, "`zinnialadder "+name) {
			t.Errorf("no page names the command %s", name)
		}
	}
}
