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

// Hedging of idempotent calls: a second copy is sent once the first has
// taken hedgeMeans times the mean, and no sooner than hedgeFloor, counted
// over at least hedgeSamples calls.
const (
	hedgeMeans   = 3
	hedgeFloor   = 10 * time.Millisecond
	hedgeSamples = 20
)

// serviceCall is one caller's call to a plain service in progress.
type serviceCall struct {
	in    *Instance
	view  *View
	entry catalogue.Entry
	req   CallRequest
	tried []string // services tried, in order
}

// once sends the call to one service after another until one of them may
// have run it. Its error is NotRun only if none did.
func (c *serviceCall) once(ctx context.Context) (CallResponse, error) {
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
	return CallResponse{}, c.refuse(last)
}

// content is what identifies the call whatever its key.
func (c *serviceCall) content() quarantine.Content {
	return quarantine.Content{Method: c.req.Method, Host: c.req.Customer, URI: c.req.Entry, Body: c.req.Body}
}

// check returns an error if the call is in quarantine.
func (c *serviceCall) check() error {
	return c.in.quarantine.Guard.Check(c.content(), time.Now())
}

// refuse is the NotRun error of a call that reached no service.
func (c *serviceCall) refuse(err error) error {
	if errors.Is(err, quarantine.ErrQuarantined) {
		return held(err)
	}
	return verdict.Refuse(http.StatusServiceUnavailable, c.in.comeBackAt(), fmt.Errorf("call: not run: %w", err))
}

// outcome is how one copy of a call ended.
type outcome struct {
	ans CallResponse
	err error
}

// copies are the copies of one idempotent call.
type copies struct {
	call    *serviceCall
	group   errgroup.Group
	ended   chan outcome
	sent    int
	running int
}

// send sends one more copy, to a service that has had none.
func (c *copies) send(ctx context.Context) error {
	if err := c.call.check(); err != nil {
		return c.call.refuse(err)
	}
	addr, err := c.call.pick()
	if err != nil {
		return err
	}
	c.sent, c.running = c.sent+1, c.running+1
	c.group.Go(func() error {
		ans, err := c.call.send(ctx, addr)
		c.ended <- outcome{ans, err}
		return nil
	})
	return nil
}

// more sends one more copy, if the call and the retry budget have any left.
// With no other service, the copies running decide.
func (c *copies) more(ctx context.Context) {
	if c.sent < maxAttempts && ctx.Err() == nil && c.call.in.retries.Spend() {
		_ = c.send(ctx)
	}
}

// repeatable sends an idempotent call, again when it fails, and a second
// copy when the first takes long; the first answer counts.
func (c *serviceCall) repeatable(ctx context.Context) (CallResponse, error) {
	c.in.retries.Earn()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cs := &copies{call: c, ended: make(chan outcome, maxAttempts)}
	if err := cs.send(ctx); err != nil {
		return CallResponse{}, err
	}
	hedge := time.NewTimer(c.in.hedgeAfter())
	defer hedge.Stop()
	var last error
	for cs.running > 0 {
		select {
		case o := <-cs.ended:
			cs.running--
			if o.err == nil || verdict.Of(o.err) == verdict.Ran {
				return o.ans, o.err
			}
			last = o.err
		case <-hedge.C:
			c.in.stats.hedges.Inc(1)
		}
		cs.more(ctx)
	}
	if verdict.Of(last) == verdict.NotRun {
		return CallResponse{}, c.refuse(last)
	}
	return CallResponse{}, last
}

// hedgeAfter is how long a call may take before a second copy is sent.
func (in *Instance) hedgeAfter() time.Duration {
	if in.stats.callTime.Count() < hedgeSamples {
		return in.cfg.UpstreamTimeout
	}
	return max(hedgeFloor, time.Duration(hedgeMeans*in.stats.callTime.Mean()))
}

// send sends one copy of the call to the service at addr.
func (c *serviceCall) send(ctx context.Context, addr string) (CallResponse, error) {
	defer c.in.load.Release(addr) // taken by pick
	guarded, err := c.in.quarantine.Guard.Begin(ctx, c.content(), at(c.entry.Pool, addr))
	if err != nil {
		return CallResponse{}, held(err)
	}
	start := time.Now()
	body, err := service.NewClient(addr, c.in.http).Call(ctx, c.req.Method, c.req.Key, c.req.Idempotent, c.req.Body)
	if err == nil || verdict.Of(err) == verdict.Ran {
		c.in.health.RecordSuccess(addr)
		c.in.stats.callTime.UpdateSince(start)
	} else if !errors.Is(ctx.Err(), context.Canceled) {
		c.in.upstreamFailed(addr, err)
	}
	guarded.Done(ctx, outcomeOf(ctx, err))
	if err != nil {
		return CallResponse{}, fmt.Errorf("call: %w", err)
	}
	return CallResponse{Body: body}, nil
}

// pick chooses a live service not yet tried, and takes a place at it.
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
		return "", c.in.noUpstream(c.entry)
	}
	c.tried = append(c.tried, addr)
	return addr, nil
}
