package crashtest_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/crashtest"
)

// Guards against an upstream whose port another process takes while it is down: a caller may
// choose a port that the kernel does not give to others.
func TestServeAtAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	s, err := crashtest.Serve(crashtest.Config{Handler: http.NotFoundHandler(), Address: address, RestartDelay: func() time.Duration { return time.Millisecond }})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if s.Address() != address {
		t.Errorf("got address %s, want %s", s.Address(), address)
	}
	s.Crash()
	for until := time.Now().Add(5 * time.Second); !s.Up(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the server did not start again within 5s")
		}
	}
	resp, err := http.Get("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}
