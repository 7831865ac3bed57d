// Command standin-3 plays one case of the second review: it starts the stand-ins of the
// platform, the engines, the consumers and the trainer, and the project's program as processes.
// TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(couldNot)
	}
	cases := map[string]func(*run) int{"expect-version": expectVersion, "double-slash": doubleSlash}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(couldNot)
	}
	r, err := newRun(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	timer := time.AfterFunc(maxDuration, func() {
		r.note("the case took too long")
		r.close()
		os.Exit(couldNot)
	})
	code := play(r)
	timer.Stop()
	r.note("exit code %d", code)
	r.close()
	os.Exit(code)
}
