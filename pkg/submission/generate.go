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

// start starts item i and reports whether an engine had room for it.
func (r *Runner) start(ctx context.Context, i int, rt routetable.Route, now time.Time) bool {
	it := r.spec.Items[i]
	after, versions := r.run.LastEvent(i)
	expect := uint64(0)
	w := upstream.Requirements{Pool: rt.PickPool(r.cfg.Rand()), Now: now, Model: r.spec.Model, MinVersion: r.spec.MinVersion, Affinity: it.Affinity, NeedFreeSlot: true}
	again := w // if it is moved
	t, ok := r.cfg.Registry.Acquire(w)
	named := r.cfg.TargetVersion(r.spec.Model)
	if !ok && named >= r.spec.MinVersion && named > 0 && !r.cfg.Guard.NeedsTrial(r.generation(i, after).content(r.spec.Model), now) {
		// An engine may hold the version before its entry tells so. It is asked
		// to turn the request away if it does not.
		w.Outdated, expect = true, named
		t, ok = r.cfg.Registry.Acquire(w)
	}
	if !ok {
		return false
	}
	g := r.generation(i, after)
	if rt.SingleVersion && len(versions) > 0 {
		g.Version = versions[0]
	}
	if expect != 0 {
		g.Version = expect
	}
	r.run.Started(i, now)
	r.cfg.OnEvent(RunEvent{What: "generating", Submission: r.spec.ID, Item: it.ID, Upstream: t.ID, Events: after})
	r.group.Go(func() error {
		p, err := r.generate(ctx, t, again, g, func(p AttemptOutput) {
			r.tell(ctx, func(time.Time) { r.run.AddEvents(i, p, terms(rt)) })
		})
		ended := RunEvent{What: "generated", Submission: r.spec.ID, Item: it.ID, Upstream: t.ID, Events: len(p.Events), Status: p.Status, Err: err}
		if err != nil && !errors.Is(err, forward.ErrNotRun) {
			ended.Content = g.content(r.spec.Model).Fingerprint()
		}
		r.cfg.OnEvent(ended)
		r.tell(ctx, func(now time.Time) { r.run.AttemptEnded(i, p, terms(rt), now) })
		return nil
	})
	return true
}

// generate reads one text, or a part of it, from the ticket's engine. again is
// what it would ask of another one. flush is given the events as they come; the
// last of them are returned.
func (r *Runner) generate(owned context.Context, t *upstream.Reservation, again upstream.Requirements, g GenerateRequest, flush func(AttemptOutput)) (AttemptOutput, error) {
	guarded, err := r.cfg.Guard.Begin(owned, g.content(r.spec.Model), t.Entry)
	if err != nil {
		t.Release()
		return AttemptOutput{}, err
	}
	ctx, cancel := context.WithCancel(owned)
	defer cancel()
	silence := time.AfterFunc(firstEventLimit, cancel)
	defer silence.Stop()
	var p AttemptOutput
	s, load, err := r.cfg.Generator.Generate(ctx, t.Entry, g)
	if err == nil {
		defer s.Close()
		t.Observe(upstream.AttemptResult{At: time.Now(), Load: load, Versions: r.version(s.Version())})
		p, err = r.read(t, again, s, silence, flush)
	}
	now := time.Now()
	rep := upstream.AttemptResult{At: now, Load: load}
	var se *StatusError
	switch {
	case err == nil:
		p.Complete = true
	case errors.Is(err, errSlow):
	case errors.As(err, &se):
		p.Status, rep.Load = se.Status, se.Load
		rep.Failed = se.Status > http.StatusInternalServerError
	case errors.Is(err, ErrVersionMismatch):
		rep.VersionRefused = true
	case forward.RecordRefusal(&rep, err, refusedPause):
	case owned.Err() != nil:
		// Cancelled here: that says nothing of the engine.
	case ctx.Err() == nil && s != nil && s.Last() > g.After:
		// Its engine ended a stream that went well: it loads weights, is moved
		// away or has crashed, which the next request finds out.
		rep.Busy, rep.BusyUntil = true, now.Add(refusedPause)
	default:
		rep.Failed = true
	}
	t.Done(rep)
	guarded.Done(owned, outcome(ctx, p, err))
	return p, err
}

// outcome returns how an attempt at a text ended whose context was ctx.
func outcome(ctx context.Context, p AttemptOutput, err error) quarantine.Outcome {
	switch {
	case err == nil, p.Status != 0 && p.Status < http.StatusInternalServerError:
		return quarantine.Answered
	case p.Status != 0, errors.Is(err, errTooOld):
		return quarantine.Failed
	case errors.Is(err, forward.ErrUnreachable):
		return quarantine.Unreachable
	case errors.Is(err, forward.ErrNotRun):
		return quarantine.NotRun
	case errors.Is(err, errSlow), ctx.Err() != nil:
		return quarantine.Abandoned
	}
	return quarantine.ConnectionLost
}

// version tells what an engine's answer showed of its weights.
func (r *Runner) version(v uint64) map[string]uint64 {
	if r.spec.Model == "" || v == 0 {
		return nil
	}
	return map[string]uint64{r.spec.Model: v}
}

// read reads the events of s. It ends early, with an error, at a version that
// is too old for the submission, and when the engine is slow and another has room.
func (r *Runner) read(t *upstream.Reservation, again upstream.Requirements, s Stream, silence *time.Timer, flush func(AttemptOutput)) (AttemptOutput, error) {
	var p AttemptOutput
	version := s.Version()
	last := time.Now()
	for {
		e, err := s.Next()
		if err == io.EOF {
			return p, nil
		}
		if err != nil {
			return p, err
		}
		silence.Reset(eventGapLimit)
		if e.Version != 0 {
			version = e.Version
		}
		if version != 0 && version < r.spec.MinVersion {
			return p, errTooOld
		}
		if version != 0 && (len(p.Versions) == 0 || p.Versions[len(p.Versions)-1] != version) {
			p.Versions = append(p.Versions, version)
		}
		p.Events = append(p.Events, e)
		now := time.Now()
		if len(p.Events) < FlushEvents && now.Sub(last) < flushPeriod {
			continue
		}
		t.Observe(upstream.AttemptResult{At: now, TimePerUnit: now.Sub(last) / time.Duration(len(p.Events))})
		again.Now = now
		if t.FasterAvailable(again, SlowEngineFactor) {
			return p, errSlow
		}
		flush(p)
		p, last = AttemptOutput{Versions: []uint64{version}}, now
		if version == 0 {
			p.Versions = nil
		}
	}
}

// errSlow ends a text that goes on at a faster engine.
var errSlow = errors.New("submission: another engine is faster")

var errTooOld = errors.New("submission: the engine's weights are too old")
