package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/service"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Hedging of idempotent calls: a second request is sent once the first has taken hedgeMeans
// times the mean latency, but not before hedgeFloor. Latencies count only once hedgeSamples
// calls have been measured.
const (
	hedgeMeans   = 3
	hedgeFloor   = 10 * time.Millisecond
	hedgeSamples = 20
)

// serviceCall is the state of a caller's call to a plain service.
type serviceCall struct {
	in    *Instance
	view  *View
	entry catalogue.Entry
	req   CallRequest
	tried []string // services tried, in order
}

// sendOnce sends the call to one service after another until one may have run it. Its error
// is NotRun only if no service ran it.
func (c *serviceCall) sendOnce(ctx context.Context) (CallResponse, error) {
	var last error
	for range maxAttempts {
		if err := c.check(); err != nil {
			last = err
			break
		}
		addr, err := c.pick()
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		ans, err := c.send(ctx, addr)
		if verdict.Of(err) != verdict.NotRun {
			return ans, err
		}
		last = err
	}
	return CallResponse{}, c.notRunError(last)
}

// content returns what is fingerprinted for the quarantine. It does not include the
// idempotency key.
func (c *serviceCall) content() quarantine.Content {
	return quarantine.Content{Method: c.req.Method, Host: c.req.Customer, URI: c.req.Entry, Body: c.req.Body}
}

// check returns an error if the call is quarantined.
func (c *serviceCall) check() error {
	return c.in.quarantine.Guard.Check(c.content(), time.Now())
}

// notRunError returns the NotRun error of a call that no service ran because of err.
func (c *serviceCall) notRunError(err error) error {
	if errors.Is(err, quarantine.ErrQuarantined) {
		return quarantineError(err)
	}
	return verdict.Refuse(http.StatusServiceUnavailable, c.in.defaultRetryAt(), fmt.Errorf("call: no service ran it: %w", err))
}

// callResult is the result of one attempt of a call.
type callResult struct {
	ans CallResponse
	err error
}

// hedgedCall is the state of the attempts of one idempotent call.
type hedgedCall struct {
	call    *serviceCall
	group   errgroup.Group
	results chan callResult
	sent    int
	running int
}

// send starts one more attempt, at a service that has not been tried.
func (c *hedgedCall) send(ctx context.Context) error {
	if err := c.call.check(); err != nil {
		return c.call.notRunError(err)
	}
	addr, err := c.call.pick()
	if err != nil {
		return err
	}
	c.sent, c.running = c.sent+1, c.running+1
	c.group.Go(func() error {
		ans, err := c.call.send(ctx, addr)
		c.results <- callResult{ans, err}
		return nil
	})
	return nil
}

// retry starts one more attempt if the attempt limit and the retry budget allow it. If
// there is no other service, the running attempts decide the result.
func (c *hedgedCall) retry(ctx context.Context) {
	if c.sent < maxAttempts && ctx.Err() == nil && c.call.in.retries.Withdraw() {
		_ = c.send(ctx)
	}
}

// sendIdempotent sends an idempotent call. It retries failed attempts and hedges slow ones,
// and returns the first response.
func (c *serviceCall) sendIdempotent(ctx context.Context) (CallResponse, error) {
	c.in.retries.Deposit()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cs := &hedgedCall{call: c, results: make(chan callResult, maxAttempts)}
	if err := cs.send(ctx); err != nil {
		return CallResponse{}, err
	}
	hedge := time.NewTimer(c.in.hedgeAfter())
	defer hedge.Stop()
	var last error
	for cs.running > 0 {
		select {
		case res := <-cs.results:
			cs.running--
			if res.err == nil || verdict.Of(res.err) == verdict.Ran {
				return res.ans, res.err
			}
			last = res.err
		case <-hedge.C:
			c.in.stats.hedges.Inc(1)
		}
		cs.retry(ctx)
	}
	if verdict.Of(last) == verdict.NotRun {
		return CallResponse{}, c.notRunError(last)
	}
	return CallResponse{}, last
}

// hedgeAfter returns how long a call may take before it is hedged. It is UpstreamTimeout
// until hedgeSamples calls have been measured.
func (in *Instance) hedgeAfter() time.Duration {
	if in.stats.callLatency.Count() < hedgeSamples {
		return in.cfg.UpstreamTimeout
	}
	return max(hedgeFloor, time.Duration(hedgeMeans*in.stats.callLatency.Mean()))
}

// send makes one attempt of the call at the service at addr.
func (c *serviceCall) send(ctx context.Context, addr string) (CallResponse, error) {
	defer c.in.load.Release(addr) // reserved by pick
	guarded, err := c.in.quarantine.Guard.Begin(ctx, c.content(), upstreamEntry(c.entry.Pool, addr))
	if err != nil {
		return CallResponse{}, quarantineError(err)
	}
	start := time.Now()
	body, err := service.NewClient(addr, c.in.http).Call(ctx, c.req.Method, c.req.Key, c.req.Idempotent, c.req.Body)
	if err == nil || verdict.Of(err) == verdict.Ran {
		c.in.health.RecordSuccess(addr)
		c.in.stats.callLatency.UpdateSince(start)
	} else if !errors.Is(ctx.Err(), context.Canceled) {
		c.in.upstreamFailed(addr, err)
	}
	guarded.Done(ctx, outcomeOf(ctx, err))
	if err != nil {
		return CallResponse{}, fmt.Errorf("call: %w", err)
	}
	return CallResponse{Body: body}, nil
}

// pick selects a live service that has not been tried, and reserves a slot at it.
func (c *serviceCall) pick() (string, error) {
	var ups []catalogue.Upstream
	for _, u := range c.view.LiveUpstreams(c.entry.Pool, catalogue.Services) {
		if !slices.Contains(c.tried, u.Address) {
			ups = append(ups, u)
		}
	}
	none := func(catalogue.Upstream) bool { return false }
	addr, ok := c.in.choose(c.view, ups, none, c.req.Key)
	if !ok {
		return "", c.in.noUpstreamError(c.entry)
	}
	c.tried = append(c.tried, addr)
	return addr, nil
}
