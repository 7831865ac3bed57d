package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/logs"
)

// All lines written before Close are in the output.
func TestLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	w := logs.NewWriter(&out)
	for i := range 10 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Close()
	if n := strings.Count(out.String(), "\n"); n != 10 {
		t.Fatalf("got %d lines in the output, want 10", n)
	}
}

// stalledWriter blocks until release is closed.
type stalledWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

// While the output stalls, Write drops lines and does not block. A line about the drop is
// written when the output continues.
func TestStalledOutputDropsLines(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	w := logs.NewWriter(out)
	start := time.Now()
	for range 5000 {
		fmt.Fprintln(w, "line")
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("5,000 lines took %v, want at most 1s", took)
	}
	if w.Dropped() < 3000 {
		t.Fatalf("%d lines dropped, want at least 3000", w.Dropped())
	}
	close(out.release)
	w.Close()
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Fatal(`got no line "log lines dropped" in the output`)
	}
}

// At six times the load that a Limiter allows, the lines written stay within the limit,
// and the lines written and reported as skipped add up to all.
func TestLimiter(t *testing.T) {
	l := logs.NewLimiter(10)
	now := time.Unix(1_800_000_000, 0)
	lines, reported := 0, 0
	for range 5 {
		inSecond := 0
		for range 60 {
			if skipped, ok := l.Allow(now); ok {
				inSecond++
				reported += skipped
			}
			now = now.Add(time.Second / 60)
		}
		lines += inSecond
		if inSecond > 20 { // 60 calls can fall into two seconds of Unix time
			t.Fatalf("%d lines in a second, want at most 20", inSecond)
		}
	}
	if skipped, ok := l.Allow(now.Add(time.Second)); !ok || lines+reported+skipped != 300 {
		t.Fatalf("%d lines written and %d reported as skipped, want 300 in all", lines, reported+skipped)
	}
}
