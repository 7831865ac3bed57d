// Package logs writes log lines without blocking the code that logs. If the reader of the
// output stalls, lines are dropped and counted.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// queueLimit is the number of lines that may be queued for the output, about as many as a
// busy instance logs in a second.
const queueLimit = 1024

// Writer is an io.Writer that queues each line for a goroutine that writes it. Use
// NewWriter to create one.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	group   errgroup.Group
}

// NewWriter returns a Writer to out. Call Close to stop its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLimit)}
	w.group.Go(w.run)
	return w
}

// Write queues a copy of line, or drops it if the queue is full. It never blocks and never
// returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write must not be called after
// it.
func (w *Writer) Close() {
	close(w.lines)
	_ = w.group.Wait() // run always returns nil
}

// run writes the queued lines until the queue is closed. After lines have been dropped it
// writes a line with their number.
func (w *Writer) run() error {
	reported := int64(0)
	for line := range w.lines {
		_, _ = w.out.Write(line) // an error cannot be logged anywhere else
		if n := w.dropped.Load(); n > reported {
			fmt.Fprintf(w.out, "level=warn msg=\"log lines dropped\" lines=%d in_all=%d\n", n-reported, n)
			reported = n
		}
	}
	return nil
}
