package submission

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// requirements returns what an attempt at item i requires of an engine.
func (r *Runner) requirements(i int, rt routetable.Route, now time.Time) upstream.Requirements {
	it, length := r.spec.Items[i], r.run.Length(i)
	return upstream.Requirements{Pool: rt.PickPool(r.cfg.Rand()), Now: now, Model: r.spec.Model, MinVersion: r.spec.MinVersion, Newest: r.cfg.TargetVersion(r.spec.Model),
		Affinity: it.Affinity, NeedFreeSlot: true, Work: length.Work, Units: length.MeanEvents, Tokens: it.Tokens.Expected(it.Length)}
}

// start starts an attempt at item i in a slot. elsewhere is what another engine must offer for
// the text to be moved there.
func (r *Runner) start(ctx context.Context, i int, rt routetable.Route, p placement, elsewhere upstream.Requirements) {
	after, _ := r.run.LastEvent(i)
	g := r.generation(i, after)
	g.Version = p.version
	r.run.Started(i, elsewhere.Now)
	elsewhere.First = ""
	m := &mover{runner: r, item: i, elsewhere: elsewhere, singleVersion: rt.SingleVersion}
	rsv := p.rsv
	r.group.Go(func() error {
		for rsv != nil {
			rsv = r.attempt(ctx, i, rt, rsv, m, &g)
		}
		return nil
	})
}

// attempt makes one attempt at item i and posts what it produced. If the text moves to
// an engine where a slot is reserved for it, attempt returns that reservation and changes
// g to continue there; otherwise it returns nil.
func (r *Runner) attempt(ctx context.Context, i int, rt routetable.Route, rsv *upstream.Reservation, m *mover, g *GenerateRequest) *upstream.Reservation {
	event := RunEvent{What: "generating", Submission: r.spec.ID, Item: g.ID, Upstream: rsv.ID, Events: g.After}
	r.cfg.OnEvent(event)
	started := time.Now()
	result, err := r.generate(ctx, rsv, m, *g, func(out AttemptOutput) {
		r.post(ctx, func(time.Time) { r.run.AddEvents(i, out, itemPolicy(rt)) })
	})
	event.What, event.Events, event.Status, event.Err = "generated", len(result.Events), result.Status, err
	event.Took = time.Since(started)
	if err != nil && !errors.Is(err, forward.ErrNotRun) {
		event.Content = g.content(r.spec.Model).Fingerprint()
	}
	r.cfg.OnEvent(event)
	next := m.takeReserved()
	r.post(ctx, func(now time.Time) {
		r.run.AttemptEnded(i, result, itemPolicy(rt), now)
		if next != nil {
			r.run.Started(i, now)
		}
	})
	if next == nil {
		return nil
	}
	g.After = result.Events[len(result.Events)-1].ID
	if m.version != 0 || !rt.SingleVersion {
		g.Version = m.version
	}
	r.cfg.OnEvent(RunEvent{What: TextMoved, Submission: r.spec.ID, Item: g.ID, Upstream: next.ID, Events: g.After})
	return next
}

// generate makes one attempt: it reads the text, or the part that the attempt produces,
// from the engine of reservation rsv, and releases rsv. m decides whether the text moves
// to another engine. flush is called with events as they arrive; the events not flushed
// are returned. The attempt is cancelled with ownerCtx, and when the engine sends nothing
// for firstEventTimeout or eventTimeout.
func (r *Runner) generate(ownerCtx context.Context, rsv *upstream.Reservation, m *mover, g GenerateRequest, flush func(AttemptOutput)) (AttemptOutput, error) {
	attempt := r.cfg.Guard.BeginExempt(g.content(r.spec.Model), rsv.Entry)
	ctx, cancel := context.WithCancel(ownerCtx)
	defer cancel()
	idleTimer := time.AfterFunc(firstEventTimeout, cancel)
	defer idleTimer.Stop()
	var out AttemptOutput
	s, load, err := r.cfg.Generator.Generate(ctx, rsv.Entry, g)
	headerAt := time.Now()
	if err == nil {
		defer s.Close()
		rsv.Observe(upstream.AttemptResult{At: headerAt, Load: load, Versions: r.observedVersions(s.Version())})
		if rsv.Alone {
			r.post(ctx, func(time.Time) {}) // others may be sent to the engine now
		}
		out, err = r.read(rsv, m, s, idleTimer, flush)
	}
	now := time.Now()
	res := upstream.AttemptResult{At: now, Load: load, LoadAt: headerAt}
	var se *StatusError
	var mismatch *VersionMismatchError
	switch {
	case err == nil:
		out.Complete = true
	case errors.Is(err, errSlowEngine):
		res.Cancelled = true
	case errors.Is(err, ErrTextTooLong):
		out.Overlong, res.Failed = true, true
	case errors.As(err, &se):
		out.Status, res.Load = se.Status, se.Load
		res.Failed = se.Status > http.StatusInternalServerError
	case errors.As(err, &mismatch):
		res.VersionRefused, res.Versions = true, r.observedVersions(mismatch.Held)
	case forward.RecordRefusal(&res, err, refusalBackoff):
		// An engine refuses with free slots while it loads weights.
		res.Loading = res.Busy && load.FreeSlot() && rsv.Versions[r.spec.Model] < r.cfg.TargetVersion(r.spec.Model)
	case ownerCtx.Err() != nil:
		res.Cancelled = true // by this instance: this says nothing about the engine
	case ctx.Err() == nil && s != nil && s.Last() > g.After:
		// The engine ended a stream that had sent events: it loads weights, is being
		// taken away or has crashed. The next request to it shows which.
		res.Busy, res.BusyUntil = true, now.Add(refusalBackoff)
		// An engine that holds the target version does not load another.
		res.Interrupted = !errors.Is(err, errVersionTooOld) && rsv.Versions[r.spec.Model] >= r.cfg.TargetVersion(r.spec.Model)
	default:
		res.Failed = true
	}
	rsv.Done(res)
	attempt.Done(ownerCtx, outcome(ctx, out, err))
	return out, err
}

// outcome returns the quarantine outcome of an attempt that ended with out and err and
// ran under ctx.
func outcome(ctx context.Context, out AttemptOutput, err error) quarantine.Outcome {
	switch {
	case err == nil, out.Status != 0 && out.Status < http.StatusInternalServerError:
		return quarantine.Answered
	case out.Status != 0, errors.Is(err, errVersionTooOld):
		return quarantine.Failed
	case errors.Is(err, forward.ErrUnreachable):
		return quarantine.Unreachable
	case errors.Is(err, forward.ErrNotRun):
		return quarantine.NotRun
	case errors.Is(err, errSlowEngine), ctx.Err() != nil:
		return quarantine.Abandoned
	}
	return quarantine.ConnectionLost
}

// observedVersions returns the weight version v of an engine's response by model, or
// nil if it is not known.
func (r *Runner) observedVersions(v uint64) map[string]uint64 {
	if r.spec.Model == "" || v == 0 {
		return nil
	}
	return map[string]uint64{r.spec.Model: v}
}

// read reads the events of s and passes them to flush in portions, returning those that
// are left. It stops with errVersionTooOld at a weight version below the submission's
// minimum, and with errSlowEngine when the text continues at a faster engine.
func (r *Runner) read(rsv *upstream.Reservation, m *mover, s Stream, idleTimer *time.Timer, flush func(AttemptOutput)) (AttemptOutput, error) {
	var out AttemptOutput
	version := s.Version()
	last := time.Now()
	for {
		e, err := s.Next()
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		idleTimer.Reset(eventTimeout)
		if e.Version != 0 && e.Version != version {
			version = e.Version
			if r.cfg.Registry.Contended(rsv.Pool) {
				// The engine has loaded a version and accepts requests again.
				rsv.Observe(upstream.AttemptResult{At: time.Now(), Versions: r.observedVersions(version)})
			}
		}
		if version != 0 && version < r.spec.MinVersion {
			return out, errVersionTooOld
		}
		if version != 0 && (len(out.Versions) == 0 || out.Versions[len(out.Versions)-1] != version) {
			out.Versions = append(out.Versions, version)
		}
		out.Events = append(out.Events, e)
		now := time.Now()
		if len(out.Events) < FlushEvents && now.Sub(last) < flushPeriod {
			continue
		}
		rsv.Observe(upstream.AttemptResult{At: now, TimePerUnit: now.Sub(last) / time.Duration(len(out.Events))})
		if m.leave(rsv, e.ID, version, now) {
			return out, errSlowEngine
		}
		flush(out)
		out, last = AttemptOutput{Versions: []uint64{version}}, now
		if version == 0 {
			out.Versions = nil
		}
	}
}

// errSlowEngine ends an attempt whose text continues at a faster engine.
var errSlowEngine = errors.New("submission: another engine is faster")

var errVersionTooOld = errors.New("submission: weight version of the engine is below the submission's minimum")
