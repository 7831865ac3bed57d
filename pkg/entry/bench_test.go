package entry_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
)

// maxOverheadRatio bounds the time of a generation through an entry
// instance against the same generation sent to the engine directly. The
// entry adds one loopback hop, JSON re-encoding of each chunk and, for a
// training entry, a sample record, a delivery and a record delete.
const maxOverheadRatio = 6.0

// BenchmarkForwarding runs the same 8-token generation directly against an
// engine and through an entry instance, for an interactive entry and for a
// training one (whose answers become samples), and reports the ratios.
func BenchmarkForwarding(b *testing.B) {
	for _, name := range []string{"chat", "drafts"} {
		b.Run(name, func(b *testing.B) { benchForwarding(b, name) })
	}
}

func benchForwarding(b *testing.B, entryName string) {
	s := startSite(b, 1, 1, enginetest.Config{TokenInterval: time.Microsecond, Slots: 64})
	const tokens = 8
	direct := timeOf(b, func(i int) {
		st, err := engine.NewClient(s.EngineAddrs[0], nil).Generate(context.Background(),
			engine.GenerateRequest{RequestID: fmt.Sprint("d", i), Prompt: "p", MaxTokens: tokens})
		if err != nil {
			b.Fatal(err)
		}
		for {
			if _, err := st.Next(); err == io.EOF || err != nil {
				break
			}
		}
		st.Close()
	})
	through := timeOf(b, func(i int) {
		req := entry.GenerateRequest{Customer: "minho", Entry: entryName, RequestID: fmt.Sprint("b", b.N, "-", i),
			Prompt: "p", MaxTokens: tokens}
		if _, _, last := generate(b, s.Entries[0].Addr(), req); !last.Done {
			b.Fatalf("not done: %+v", last)
		}
	})
	ratio := float64(through) / float64(direct)
	b.ReportMetric(float64(direct.Microseconds()), "direct-us/op")
	b.ReportMetric(float64(through.Microseconds()), "entry-us/op")
	b.ReportMetric(ratio, "ratio")
	if ratio > maxOverheadRatio {
		b.Fatalf("generation through the entry takes %.1fx the direct time (bound %.1fx)", ratio, maxOverheadRatio)
	}
}

// timeOf returns the mean time of f over b.N calls.
func timeOf(b *testing.B, f func(i int)) time.Duration {
	b.Helper()
	f(-1) // warm the connections
	start := time.Now()
	for i := 0; i < b.N; i++ {
		f(i)
	}
	return time.Since(start) / time.Duration(max(b.N, 1))
}
