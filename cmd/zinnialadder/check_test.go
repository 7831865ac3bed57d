package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Invalid files, unreadable files, an unreachable store and wrong flags give an error
// that names them and a non-zero exit status, and check gives the line of the first
// error of a file; valid files, --version and --help give exit status 0.
func TestCheckCommand(t *testing.T) {
	p := newProcesses(t)
	write := func(name, content string) string {
		path := filepath.Join(p.dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	text := "node=a\nzone=z\nregion=r\nlisten.front=10.0.0.1:80\nlisten.ready=10.0.0.1:81\nlisten.directory=10.0.0.1:82\nprovider.address=10.0.0.2:90\nnew.key=1\n"
	right, wrong := write("right.conf", text), write("wrong.conf", strings.Replace(text, "10.0.0.1:81", "here", 1))
	noise := write("noise.log", "\x00\xff not a log\ntime=soon msg\n")
	read := write("read.log", "time=10:00:00.000 level=info msg=\"results read\" node=a submission=l1 position=0 source=run results=x1:aa\n")
	reread := write("reread.log", "time=10:00:01.000 level=info msg=\"results read\" node=b submission=l1 position=0 source=store results=x1:bb\n")
	for name, c := range map[string]struct {
		args []string
		ok   bool
		want string
	}{
		"right":      {[]string{"check", "--settings", right, "--deploy", "../../deploy/system.toml"}, true, "right.conf: ok"},
		"wrong":      {[]string{"check", "--settings", wrong}, false, "line 5"},
		"missing":    {[]string{"check", "--deploy", filepath.Join(p.dir, "none.toml")}, false, "none.toml"},
		"no file":    {[]string{"check"}, false, "deploy"},
		"version":    {[]string{"--version"}, true, "zinnialadder version"},
		"help":       {[]string{"--help"}, true, "check"},
		"completion": {[]string{"completion", "bash"}, true, "complete"},
		"no logs":    {[]string{"explain", "r1", filepath.Join(p.dir, "none.log")}, false, "none.log"},
		"odd logs":   {[]string{"explain", "r1", noise}, false, "no line names r1"},
		"same":       {[]string{"explain", "--results", read, read}, true, "conflicts: 0"},
		"changed":    {[]string{"explain", "--results", reread, read}, false, "1 conflicts"},
		"a folder":   {[]string{"explain", "r1", p.dir}, false, p.dir},
		"odd file":   {[]string{"ctl", "inspect", noise}, false, "noise.log"},
		"no store":   {[]string{"ctl", "site", "--store", "127.0.0.1:9"}, false, "127.0.0.1:9"},
		"versions":   {[]string{"ctl", "versions", "--store", "127.0.0.1:9"}, false, "cannot read the store"},
		"watch":      {[]string{"ctl", "versions", "--store", "127.0.0.1:9", "--watch", "-1s"}, false, "--watch"},
		"profile":    {[]string{"node", "--settings", right, "--profile"}, false, "--metrics-port"},
	} {
		out, err := exec.Command(p.bin, c.args...).CombinedOutput()
		if (err == nil) != c.ok || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: %q: error %v, output %q, want success %t and %q in the output", name, c.args, err, out, c.ok, c.want)
		}
	}
}
