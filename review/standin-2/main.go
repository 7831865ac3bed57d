// Command standin-2 plays the cases of the second review: it starts nodes as separate
// processes on loopback addresses, plays the platform's store, engines, services and
// consumers for them, and checks one rule by what these have seen.
//
// Usage: standin-2 CASE DIR
//
// CASE is the name of a case and DIR its folder, to which record.txt is written. The exit
// status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// A checkedCase plays one case and returns the breaches of its rule.
type checkedCase func(s *site) (breaches []string, err error)

var cases = map[string]checkedCase{
	"large-result": largeResult,
	"many-large":   manyLarge,
	"one-version":  oneVersion,
	"stop-late":    stopLate,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE DIR")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// maxCase bounds a case. A script runs for 120 seconds at most.
const maxCase = 100 * time.Second

func play(name, dir string) int {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	s, err := newSite(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	type outcome struct {
		breaches []string
		err      error
	}
	done := make(chan outcome, 1)
	go func() {
		b, err := cases[name](s)
		done <- outcome{b, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case <-interrupted:
		o.err = errors.New("interrupted")
	case <-time.After(maxCase):
		o.err = errors.New("the case took too long")
	}
	for _, b := range o.breaches {
		s.record("BROKEN %s", b)
	}
	switch {
	case o.err != nil:
		s.record("COULD NOT RUN %v", o.err)
		fmt.Println("could not run:", o.err)
		return 2
	case len(o.breaches) > 0:
		fmt.Printf("broken, %d times: %s\n", len(o.breaches), o.breaches[0])
		return 1
	}
	s.record("HELD")
	fmt.Println("held")
	return 0
}
