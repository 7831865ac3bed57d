package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/logs"
)

func TestLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	w := logs.NewWriter(&out)
	for i := range 10 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Close()
	if n := strings.Count(out.String(), "\n"); n != 10 {
		t.Fatalf("%d of 10 lines", n)
	}
}

// stalled is an output that nobody reads until it is released.
type stalled struct {
	bytes.Buffer
	release chan struct{}
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

// A reader that stalls costs lines and holds nobody up; how many is told when
// it reads again.
func TestStalledReaderCostsLines(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	w := logs.NewWriter(out)
	begun := time.Now()
	for range 5000 {
		fmt.Fprintln(w, "line")
	}
	if took := time.Since(begun); took > time.Second {
		t.Fatalf("5,000 lines took %v", took)
	}
	if w.Dropped() < 3000 {
		t.Fatalf("%d lines dropped", w.Dropped())
	}
	close(out.release)
	w.Close()
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Fatal("the drop is not told")
	}
}

// Replays six times the load that a budget allows: no second has more lines
// than the budget, and the lines skipped are told.
func TestBudget(t *testing.T) {
	b := logs.NewLimiter(10)
	now := time.Unix(1_800_000_000, 0)
	lines, told := 0, 0
	for range 5 {
		inSecond := 0
		for range 60 {
			if skipped, ok := b.Allow(now); ok {
				inSecond++
				told += skipped
			}
			now = now.Add(time.Second / 60)
		}
		lines += inSecond
		if inSecond > 20 { // a span of a second can meet two of the clock's
			t.Fatalf("%d lines in a second", inSecond)
		}
	}
	if skipped, ok := b.Allow(now.Add(time.Second)); !ok || lines+told+skipped != 300 {
		t.Fatalf("%d lines and %d told as skipped, of 300", lines, told+skipped)
	}
}
