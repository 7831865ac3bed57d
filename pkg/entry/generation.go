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
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Limits of one generation's attempts.
const (
	maxAttempts = 3 // attempts that reached an engine
	maxTried    = 8 // all attempts
)

// generation is the state of a caller's generation.
type generation struct {
	in       *Instance
	entry    catalogue.Entry
	req      GenerateRequest
	emit     func(Event) error // sends an event to the caller
	text     strings.Builder
	tokens   int
	versions []uint64          // weight versions that produced the text, in order, without consecutive repetitions
	tried    []string          // engines tried; cleared once all have been tried
	exempt   bool              // known not to crash engines, see quarantine.Guard.BeginExempt
	onEngine func(addr string) // called with the address of each engine tried; may be nil
	// reached is set once an engine may have started the request.
	reached bool
}

// errTooStale ends a training generation whose first weight version has become older than
// its entry allows, so that it can no longer become a sample.
var errTooStale = errors.New("generation started with a weight version that is now too old")

// run tries engines until the generation is complete. A stream that is cut off after some
// tokens is resumed on another engine. Engines that refuse the connection do not count as
// attempts because they received nothing.
func (g *generation) run(ctx context.Context) (Event, error) {
	g.in.retries.Deposit()
	var last error
	for attempts, tries := 0, 0; attempts < maxAttempts && tries < maxTried; tries++ {
		if !g.exempt {
			if err := g.in.quarantine.Guard.Check(g.content(), time.Now()); err != nil {
				last = err
				break
			}
		}
		if attempts > 0 && g.tokens == 0 && !g.in.retries.Withdraw() {
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
		if g.onEngine != nil {
			g.onEngine(addr)
		}
		done, err := g.attempt(ctx, addr)
		if done {
			g.in.health.RecordSuccess(addr)
			return Event{Done: true, WeightVersions: g.versions, Tokens: g.tokens}, nil
		}
		last = err
		if ctx.Err() != nil || errors.Is(err, errTooStale) || errors.Is(err, errCallerGone) || errors.Is(err, quarantine.ErrQuarantined) {
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
	return Event{}, g.finalError(last)
}

// upstreamFailed records that err ended a request to the upstream at addr. After a timeout
// it closes all idle connections, because the others may have become unresponsive for the
// same reason.
func (in *Instance) upstreamFailed(addr string, err error) {
	in.stats.upstreamErrors.Inc(1)
	if errors.Is(err, errIdleTimeout) || errors.Is(err, context.DeadlineExceeded) {
		in.http.CloseIdleConnections()
	}
	if in.health.RecordFailure(addr, in.cfg.Clock.Now(), httpjson.NotSent(err)) {
		in.stats.ejected.Inc(1)
		in.cfg.Logger.Info("upstream ejected", "address", addr, "err", err)
	}
}

// finalError returns the error of a generation that could not be completed. A generation has
// no side effects other than the engine's work, so callers may always retry it. The verdict
// is NotRun only if no engine was reached.
func (g *generation) finalError(err error) error {
	v, status := verdict.MayHaveRun, http.StatusBadGateway
	if !g.reached && g.tokens == 0 {
		v, status = verdict.NotRun, http.StatusServiceUnavailable
	}
	retryAt := g.in.defaultRetryAt()
	var refused *quarantine.RefusedError
	if errors.As(err, &refused) {
		retryAt = refused.Until
	}
	return &verdict.Error{Verdict: v, Status: status, RetryAt: retryAt,
		Err: fmt.Errorf("generate: no engine completed the request: %w", err)}
}

// pick selects an engine that has not been tried, or any engine if all have been, because a
// failure may have been of the connection rather than the engine. It reserves a slot at the
// engine.
func (g *generation) pick() (string, error) {
	addr, err := g.pickUntried()
	if err != nil && len(g.tried) > 0 {
		g.tried = nil
		return g.pickUntried()
	}
	return addr, err
}

// pickUntried selects a live engine of the entry's pool that has not been tried. It prefers
// engines that are neither ejected nor loading weights.
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
	return "", g.in.noUpstreamError(g.entry)
}

// tooStale reports whether the last weight version that the engine at addr reported is
// older than the entry allows.
func (g *generation) tooStale(v *View, addr string) bool {
	rep, ok := v.Report(addr)
	return ok && v.VersionTooOld(g.entry, rep.WeightVersion)
}

// affinityLen is the length in bytes of the prompt prefix that determines which engine's
// prefix cache a request prefers.
const affinityLen = 64

func affinity(prompt string) string {
	if len(prompt) > affinityLen {
		return prompt[:affinityLen]
	}
	return prompt
}

// content returns what is fingerprinted for the quarantine. It does not include the request
// ID.
func (g *generation) content() quarantine.Content {
	return quarantine.Content{Host: g.req.Customer, URI: g.req.Entry, Body: []byte(g.req.Prompt)}
}

// attempt runs one attempt on the engine at addr under the quarantine's guard and relays
// chunks to the caller. It reports whether the generation is complete.
func (g *generation) attempt(ctx context.Context, addr string) (bool, error) {
	defer g.in.load.Release(addr) // reserved by pick
	guarded, err := g.beginGuarded(ctx, upstreamEntry(g.entry.Pool, addr))
	if err != nil {
		return false, err
	}
	done, err := g.stream(ctx, addr)
	o := outcomeOf(ctx, err)
	if errors.Is(err, errIdleTimeout) || errors.Is(err, errTooStale) {
		o = quarantine.Abandoned
	}
	guarded.Done(ctx, o)
	return done, err
}

// beginGuarded must be called before the generation is sent to the engine to. It returns an
// error if it must not be sent.
func (g *generation) beginGuarded(ctx context.Context, to upstream.Entry) (*quarantine.Attempt, error) {
	if g.exempt {
		return g.in.quarantine.Guard.BeginExempt(g.content(), to), nil
	}
	return g.in.quarantine.Guard.Begin(ctx, g.content(), to)
}

// stream runs one attempt without the guard.
func (g *generation) stream(ctx context.Context, addr string) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req := engine.GenerateRequest{
		RequestID: g.req.Customer + "." + g.req.RequestID,
		Prompt:    g.req.Prompt + g.text.String(),
		MaxTokens: g.req.MaxTokens - g.tokens,
		Priority:  g.entry.Class.Priority(),
	}
	monitor := g.in.startWatchdog(ctx, cancel, addr, req.RequestID)
	defer monitor.stop()
	s, err := engine.NewClient(addr, g.in.http).Generate(ctx, req)
	if err != nil {
		return false, attemptError(ctx, err)
	}
	defer s.Close()
	if s.HasLoad {
		g.in.View().Loads.PutLoad(addr, s.Load, g.in.load.Get(addr))
	}
	timer := tokenTimer{clock: g.in.cfg.Clock}
	defer timer.record(g.in.tokenTimes, addr)
	for index := 0; ; {
		c, err := s.Next()
		if err != nil {
			return false, attemptError(ctx, err)
		}
		monitor.received()
		timer.received()
		switch err := checkChunk(c, req, index); {
		case errors.Is(err, errRepeatedChunk):
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

// Reasons why a chunk is not the next one of its stream.
var (
	errForeignChunk  = errors.New("engine sent a chunk of another request")
	errSkippedChunk  = errors.New("engine skipped a chunk")
	errRepeatedChunk = errors.New("engine repeated a chunk")
	errExcessChunk   = errors.New("engine sent more chunks than tokens were asked for")
)

// checkChunk returns nil if c is the chunk at index of the stream of req, and otherwise the
// reason why it is not.
func checkChunk(c engine.Chunk, req engine.GenerateRequest, index int) error {
	switch {
	case c.RequestID != req.RequestID:
		return errForeignChunk
	case c.Index > index:
		return errSkippedChunk
	case c.Index < index:
		return errRepeatedChunk
	case !c.Done && index >= req.MaxTokens:
		return errExcessChunk
	}
	return nil
}

// errCallerGone ends a generation if writing to its caller fails.
var errCallerGone = errors.New("caller closed the connection")

// errIdleTimeout ends an attempt whose engine was silent for IdleTimeout without a reason,
// see watchdog.
var errIdleTimeout = errors.New("engine sent nothing within the idle timeout")

// attemptError returns err, wrapped in errIdleTimeout if that is why ctx was cancelled.
func attemptError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errIdleTimeout) {
		return fmt.Errorf("%w: %v", errIdleTimeout, err)
	}
	return err
}

// relay sends one chunk to the caller and records its weight version. It returns
// errTooStale if that makes a training generation too old.
func (g *generation) relay(c engine.Chunk) error {
	if n := len(g.versions); n == 0 || g.versions[n-1] != c.WeightVersion {
		g.versions = append(g.versions, c.WeightVersion)
	}
	if g.entry.Class == catalogue.Training && g.in.View().VersionTooOld(g.entry, slices.Min(g.versions)) {
		return errTooStale
	}
	g.text.WriteString(c.Text)
	g.tokens++
	if err := g.emit(Event{Text: c.Text, WeightVersion: c.WeightVersion}); err != nil {
		return fmt.Errorf("%w: %v", errCallerGone, err)
	}
	return nil
}

// sample returns the training sample made from the completed generation.
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
