package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Bounds of one generation's attempts: those that reached an engine, and
// all.
const (
	maxAttempts = 3
	maxTried    = 8
)

// generation is one caller's generation in progress.
type generation struct {
	in     *Instance
	entry  catalogue.Entry
	req    GenerateRequest
	emit   func(Event) error // hands an event to the caller
	text   strings.Builder
	tokens int
	labels []uint64          // weight versions that produced the text, in order
	tried  []string          // engines tried, since every one was
	using  func(addr string) // told of each engine tried; may be nil
	// reached is set once an engine may have begun work on it.
	reached bool
}

// errTooStale ends a training generation whose first version is older than
// its entry allows: it can no longer become a sample.
var errTooStale = errors.New("generation began under a weight version that is now too old")

// run tries engines until the generation is whole. A stream cut after some
// tokens resumes on another engine from where it stopped. Engines that take
// no connection cost no attempt, since nothing was asked of them.
func (g *generation) run(ctx context.Context) (Event, error) {
	g.in.retries.Earn()
	var last error
	for attempts, tries := 0, 0; attempts < maxAttempts && tries < maxTried; tries++ {
		if err := g.in.quarantine.Guard.Check(g.content(), time.Now()); err != nil {
			last = err
			break
		}
		if attempts > 0 && g.tokens == 0 && !g.in.retries.Spend() {
			g.in.stats.retriesRefused.Inc(1)
			break
		}
		addr, err := g.pick()
		if err != nil {
			if last == nil {
				return Event{}, err
			}
			break
		}
		g.tried = append(g.tried, addr)
		if g.using != nil {
			g.using(addr)
		}
		done, err := g.stream(ctx, addr)
		if done {
			g.in.health.RecordSuccess(addr)
			return Event{Done: true, WeightVersions: g.labels, Tokens: g.tokens}, nil
		}
		last = err
		if ctx.Err() != nil || errors.Is(err, errTooStale) || errors.Is(err, errCaller) || errors.Is(err, quarantine.ErrQuarantined) {
			break
		}
		g.in.upstreamFailed(addr, err)
		if !httpjson.NotSent(err) {
			attempts++
			g.reached = true
		}
		if g.tokens > 0 {
			g.in.stats.resumed.Inc(1)
		}
	}
	return Event{}, g.failure(last)
}

// upstreamFailed counts a request to the upstream at addr that err ended.
// After one that got no answer in time no idle connection is used again: the
// others may have gone silent with it.
func (in *Instance) upstreamFailed(addr string, err error) {
	in.stats.upstreamErrors.Inc(1)
	if errors.Is(err, errIdle) || errors.Is(err, context.DeadlineExceeded) {
		in.http.CloseIdleConnections()
	}
	if in.health.RecordFailure(addr, in.cfg.Clock.Now(), httpjson.NotSent(err)) {
		in.stats.ejected.Inc(1)
		in.cfg.Logger.Info("upstream ejected", "address", addr, "err", err)
	}
}

// failure is the verdict of a generation that could not be completed. A
// generation has no side effects beyond the engine's work, so the caller
// may retry it whatever happened; NotRun is said only if no engine was
// reached.
func (g *generation) failure(err error) error {
	v, status := verdict.MayHaveRun, http.StatusBadGateway
	if !g.reached && g.tokens == 0 {
		v, status = verdict.NotRun, http.StatusServiceUnavailable
	}
	retryAt := g.in.comeBackAt()
	var refused *quarantine.RefusedError
	if errors.As(err, &refused) {
		retryAt = refused.Until
	}
	return &verdict.Error{Verdict: v, Status: status, RetryAt: retryAt,
		Err: fmt.Errorf("generate: gave up: %w", err)}
}

// pick chooses an engine not yet tried, or, when all have been, any again:
// what failed may have been a connection, not the engine. It takes a place
// at the engine.
func (g *generation) pick() (string, error) {
	addr, err := g.pickUntried()
	if err != nil && len(g.tried) > 0 {
		g.tried = nil
		return g.pickUntried()
	}
	return addr, err
}

// pickUntried chooses a live engine of the entry's pool not yet tried, a
// healthy one that is not loading weights if there is one.
func (g *generation) pickUntried() (string, error) {
	view := g.in.View()
	var ups []catalogue.Upstream
	for _, u := range view.LiveUpstreams(g.entry.Pool, catalogue.Engines) {
		if slices.Contains(g.tried, u.Address) || g.entry.Class == catalogue.Training && g.tooStale(view, u.Address) {
			continue
		}
		ups = append(ups, u)
	}
	loading := func(u catalogue.Upstream) bool { return view.ReportOrZero(u.Address).Loading }
	if addr, ok := g.in.choose(view, ups, loading, affinity(g.req.Prompt)); ok {
		return addr, nil
	}
	return "", g.in.noUpstream(g.entry)
}

// tooStale reports whether the engine at addr last reported a weight
// version older than the entry allows.
func (g *generation) tooStale(v *View, addr string) bool {
	rep, ok := v.Report(addr)
	return ok && v.VersionTooOld(g.entry, rep.WeightVersion)
}

// affinityLen is how much of a prompt decides which engine's prefix cache
// a request prefers.
const affinityLen = 64

func affinity(prompt string) string {
	if len(prompt) > affinityLen {
		return prompt[:affinityLen]
	}
	return prompt
}

// content is what identifies the generation whatever its request's ID.
func (g *generation) content() quarantine.Content {
	return quarantine.Content{Host: g.req.Customer, URI: g.req.Entry, Body: []byte(g.req.Prompt)}
}

// stream runs one attempt on the engine at addr, relaying chunks to the
// caller. It reports whether the generation is now whole.
func (g *generation) stream(ctx context.Context, addr string) (bool, error) {
	defer g.in.load.Release(addr) // taken by pick
	guarded, err := g.in.quarantine.Guard.Begin(ctx, g.content(), at(g.entry.Pool, addr))
	if err != nil {
		return false, err
	}
	done, err := g.ask(ctx, addr)
	o := outcomeOf(ctx, err)
	if errors.Is(err, errIdle) || errors.Is(err, errTooStale) {
		o = quarantine.Abandoned
	}
	guarded.Done(ctx, o)
	return done, err
}

// ask is stream without a guard.
func (g *generation) ask(ctx context.Context, addr string) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req := engine.GenerateRequest{
		RequestID: g.req.Customer + "." + g.req.RequestID,
		Prompt:    g.req.Prompt + g.text.String(),
		MaxTokens: g.req.MaxTokens - g.tokens,
		Priority:  g.entry.Class.Priority(),
	}
	quiet := g.in.watchSilence(ctx, cancel, addr, req.RequestID)
	defer quiet.stop()
	s, err := engine.NewClient(addr, g.in.http).Generate(ctx, req)
	if err != nil {
		return false, attemptError(ctx, err)
	}
	defer s.Close()
	if s.HasLoad {
		g.in.View().Loads.PutLoad(addr, s.Load, g.in.load.Get(addr))
	}
	watch := paceWatch{clock: g.in.cfg.Clock}
	defer watch.tell(g.in.paces, addr)
	for index := 0; ; {
		c, err := s.Next()
		if err != nil {
			return false, attemptError(ctx, err)
		}
		quiet.heard()
		watch.heard()
		switch err := follows(c, req.RequestID, index); {
		case errors.Is(err, errDuplicate):
			continue
		case err != nil:
			return false, err
		case c.Done:
			return true, nil
		}
		if err := g.relay(c); err != nil {
			return false, err
		}
		index++
	}
}

// Reasons a chunk is not the next one of its stream.
var (
	errForeign   = errors.New("engine sent a chunk of another request")
	errGap       = errors.New("engine left out a chunk")
	errDuplicate = errors.New("engine sent a chunk again")
)

// follows reports whether c is the chunk at index of the stream of id, or
// why not.
func follows(c engine.Chunk, id string, index int) error {
	switch {
	case c.RequestID != id:
		return errForeign
	case c.Index > index:
		return errGap
	case c.Index < index:
		return errDuplicate
	}
	return nil
}

// errCaller ends a generation whose caller can no longer be answered.
var errCaller = errors.New("caller gone")

// errIdle ends an attempt whose engine sent nothing for IdleTimeout.
var errIdle = errors.New("engine sent nothing within the idle timeout")

// attemptError names the cause of an attempt's end: the idle timeout if it
// fired, else err.
func attemptError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errIdle) {
		return fmt.Errorf("%w: %v", errIdle, err)
	}
	return err
}

// relay passes one chunk to the caller and records its version.
func (g *generation) relay(c engine.Chunk) error {
	if n := len(g.labels); n == 0 || g.labels[n-1] != c.WeightVersion {
		g.labels = append(g.labels, c.WeightVersion)
	}
	if g.entry.Class == catalogue.Training && g.in.View().VersionTooOld(g.entry, slices.Min(g.labels)) {
		return errTooStale
	}
	g.text.WriteString(c.Text)
	g.tokens++
	if err := g.emit(Event{Text: c.Text, WeightVersion: c.WeightVersion}); err != nil {
		return fmt.Errorf("%w: %v", errCaller, err)
	}
	return nil
}

// sample returns the training sample that the finished generation makes.
func (g *generation) sample(res Event) trainer.Sample {
	return trainer.Sample{
		ID:             g.req.Customer + "." + g.entry.Name + "." + g.req.RequestID,
		Customer:       g.req.Customer,
		Entry:          g.entry.Name,
		Group:          g.req.Group,
		WeightVersions: res.WeightVersions,
		Tokens:         res.Tokens,
		Text:           g.text.String(),
	}
}
