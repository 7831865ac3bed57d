// Package logs writes log lines without ever holding up those who log: when
// the reader of the output stalls, lines are dropped and counted.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// queued is how many lines wait for the output; about a second of a busy
// instance's.
const queued = 1024

// Writer is an io.Writer that hands each line to a goroutine. Call NewWriter.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	group   errgroup.Group
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queued)}
	w.group.Go(w.run)
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits. Nothing may be written after it.
func (w *Writer) Close() {
	close(w.lines)
	_ = w.group.Wait() // run returns nil
}

func (w *Writer) run() error {
	told := int64(0)
	for line := range w.lines {
		_, _ = w.out.Write(line) // there is no other place to tell of a failure
		if n := w.dropped.Load(); n > told {
			fmt.Fprintf(w.out, "level=warn msg=\"log lines dropped\" lines=%d in_all=%d\n", n-told, n)
			told = n
		}
	}
	return nil
}
