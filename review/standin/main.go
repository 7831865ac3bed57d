// Command standin runs one case of the review against the system's own processes, with
// stand-ins of the platform's store, of engines and of consumers. See the claims in the
// folders beside it.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds a run, which must end within 120 seconds.
const maxRun = 100 * time.Second

// outcome is what a case found.
type outcome struct {
	broken bool
	text   string
}

var cases = map[string]func(rec *recorder, trouble bool) (outcome, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxRun):
		}
		rec.line("could not run: it was stopped or took too long")
		processes.killAll()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption: %v", os.Args[1], trouble)
	out, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	verdict := "held"
	if out.broken {
		verdict = "BROKEN"
	}
	rec.line("%s: %s", verdict, out.text)
	fmt.Println(verdict+":", out.text)
	if out.broken {
		return 1
	}
	return 0
}
