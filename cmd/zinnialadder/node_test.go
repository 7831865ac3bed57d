package main_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/platform/sitetest"
)

// An instance serves profiles of its process at the address of its metrics with --profile
// and not without it.
func TestNodeProfile(t *testing.T) {
	p := newProcesses(t)
	store := sitetest.NewStore().Serve(t, "a")
	for flag, want := range map[string]int{"--profile": http.StatusOK, "--profile=false": http.StatusNotFound} {
		metrics := p.addr()
		_, port, err := net.SplitHostPort(metrics)
		if err != nil {
			t.Fatal(err)
		}
		settings := filepath.Join(p.dir, "node"+port+".conf")
		text := fmt.Sprintf("node=a\nzone=z\nregion=r\nlisten.front=%s\nlisten.ready=%s\nlisten.directory=%s\nprovider.address=%s\n", p.addr(), p.addr(), p.addr(), store)
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(p.bin, "node", "--settings", settings, "--metrics-port", port, flag)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait() // its error is that the process was killed
		})
		eventually(t, 10*time.Second, "metrics", func() bool {
			status, err := sendJSON("http://"+metrics+"/metrics", nil, nil)
			return err == nil && status == http.StatusOK
		})
		if status, err := sendJSON("http://"+metrics+"/debug/pprof/", nil, nil); err != nil || status != want {
			t.Errorf("%s: GET /debug/pprof/: status %d, error %v, want %d", flag, status, err, want)
		}
	}
}
