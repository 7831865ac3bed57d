package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Limits of a load run, which is a small test on one machine.
const (
	maxLoadRequests    = 100000
	maxLoadConcurrency = 256
	maxLoadTime        = 5 * time.Minute
)

// loadSpec holds the parameters of a load run.
type loadSpec struct {
	target      string // host:port on loopback
	direct      bool   // target is an engine, not an entry instance
	customer    string
	entryName   string
	requests    int
	concurrency int           // requests in flight
	tokens      int           // limit per generation
	within      time.Duration // limit of the whole run
}

// check returns an error if a parameter is out of its limits.
func (s loadSpec) check() error {
	host, _, err := net.SplitHostPort(s.target)
	if err != nil {
		return fmt.Errorf("--target: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("--target %s: must be a loopback address", s.target)
	}
	switch {
	case s.requests < 1 || s.requests > maxLoadRequests:
		return fmt.Errorf("--requests must be 1 to %d", maxLoadRequests)
	case s.concurrency < 1 || s.concurrency > maxLoadConcurrency:
		return fmt.Errorf("--concurrency must be 1 to %d", maxLoadConcurrency)
	case s.within <= 0 || s.within > maxLoadTime:
		return fmt.Errorf("--within must be positive and at most %v", maxLoadTime)
	case s.tokens < 1:
		return errors.New("--tokens must be positive")
	}
	return nil
}

// loadCmd returns the command that sends a limited load of generations.
func loadCmd() *cobra.Command {
	var s loadSpec
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send a limited load of generations to an entry instance (or an engine) on loopback",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := s.check(); err != nil {
				return err
			}
			r := runLoad(cmd.Context(), s)
			r.write(cmd.OutOrStdout())
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&s.target, "target", "127.0.0.1:7400", "entry instance (or, with --direct, engine) address")
	f.BoolVar(&s.direct, "direct", false, "send to an engine instead of an entry instance, for a baseline")
	f.StringVar(&s.customer, "customer", "minho", "customer")
	f.StringVar(&s.entryName, "entry", "negotiation-drafts", "catalogue entry")
	f.IntVar(&s.requests, "requests", 1000, "number of generations to send")
	f.IntVar(&s.concurrency, "concurrency", 16, "generations in flight")
	f.IntVar(&s.tokens, "tokens", 8, "tokens per generation")
	f.DurationVar(&s.within, "within", time.Minute, "time after which the run ends")
	return cmd
}

// loadResult holds the measurements of a load run.
type loadResult struct {
	hist     *hdrhistogram.Histogram // latency in microseconds
	ok, fail int64
	verdicts map[string]int64
	took     time.Duration
}

// runLoad sends the requests of s and returns the measurements. It ends early when ctx is
// done or s.within has passed.
func runLoad(ctx context.Context, s loadSpec) loadResult {
	ctx, cancel := context.WithTimeout(ctx, s.within)
	defer cancel()
	res := loadResult{hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), verdicts: map[string]int64{}}
	var mu sync.Mutex
	var next atomic.Int64
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.concurrency}}
	start := time.Now()
	var g errgroup.Group
	for w := 0; w < s.concurrency; w++ {
		g.Go(func() error {
			for ctx.Err() == nil {
				i := next.Add(1)
				if i > int64(s.requests) {
					return nil
				}
				t0 := time.Now()
				v, err := s.send(ctx, hc, i)
				mu.Lock()
				_ = res.hist.RecordValue(time.Since(t0).Microseconds())
				res.verdicts[v]++
				if err != nil {
					res.fail++
				} else {
					res.ok++
				}
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	res.took = time.Since(start)
	return res
}

// send sends generation i and returns its verdict, or "error" if there is none.
func (s loadSpec) send(ctx context.Context, hc *http.Client, i int64) (string, error) {
	if s.direct {
		st, err := engine.NewClient(s.target, hc).Generate(ctx, engine.GenerateRequest{
			RequestID: fmt.Sprint("load-", i), Prompt: fmt.Sprint("prompt ", i%64), MaxTokens: s.tokens})
		if err != nil {
			return "error", err
		}
		defer st.Close()
		for {
			c, err := st.Next()
			if err != nil {
				return "error", err
			}
			if c.Done {
				return "ran", nil
			}
		}
	}
	a, err := entry.NewClient(s.target, hc).Generate(ctx, entry.GenerateRequest{Customer: s.customer, Entry: s.entryName,
		RequestID: fmt.Sprintf("load-%d-%d", time.Now().UnixNano(), i), Prompt: fmt.Sprint("prompt ", i%64), MaxTokens: s.tokens})
	switch {
	case err != nil:
		return "error", err
	case a.Last.Done:
		return verdict.Ran.String(), nil
	case a.Last.Verdict == nil:
		return "error", fmt.Errorf("status %d: response ended without a verdict", a.Status)
	}
	return a.Last.Verdict.String(), fmt.Errorf("status %d: %s", a.Status, a.Last.Error)
}

// write writes the measurements as text.
func (r loadResult) write(w io.Writer) {
	fmt.Fprintf(w, "requests %d ok %d failed %d in %v: %.0f/s\n", r.ok+r.fail, r.ok, r.fail,
		r.took.Round(time.Millisecond), float64(r.ok+r.fail)/r.took.Seconds())
	fmt.Fprintf(w, "latency us: p50 %d p90 %d p99 %d max %d\n", r.hist.ValueAtQuantile(50),
		r.hist.ValueAtQuantile(90), r.hist.ValueAtQuantile(99), r.hist.Max())
	fmt.Fprintf(w, "verdicts: %v\n", r.verdicts)
}
