package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// check prints each file's first fault with its place, and its exit code tells
// whether there was one; --version and --help end well.
func TestCheckCommand(t *testing.T) {
	p := newProcesses(t)
	write := func(name, content string) string {
		path := filepath.Join(p.dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	machine := "node=a\nzone=z\nregion=r\nlisten.front=10.0.0.1:80\nlisten.ready=10.0.0.1:81\nlisten.directory=10.0.0.1:82\nprovider.address=10.0.0.2:90\nnew.key=1\n"
	right, wrong := write("right.conf", machine), write("wrong.conf", strings.Replace(machine, "10.0.0.1:81", "here", 1))
	noise := write("noise.log", "\x00\xff not a log\ntime=soon msg\n")
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
		"a folder":   {[]string{"explain", "r1", p.dir}, false, p.dir},
		"odd file":   {[]string{"ctl", "inspect", noise}, false, "noise.log"},
		"no store":   {[]string{"ctl", "site", "--store", "127.0.0.1:9"}, false, "127.0.0.1:9"},
		"versions":   {[]string{"ctl", "versions", "--store", "127.0.0.1:9"}, false, "the store was not read"},
		"watch":      {[]string{"ctl", "versions", "--store", "127.0.0.1:9", "--watch", "-1s"}, false, "--watch"},
		"profile":    {[]string{"node", "--settings", right, "--profile"}, false, "--metrics-port"},
	} {
		out, err := exec.Command(p.bin, c.args...).CombinedOutput()
		if (err == nil) != c.ok || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: %v, %s", name, err, out)
		}
	}
}
