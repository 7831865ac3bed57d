package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

const (
	// returnAfter is when a caller may come back that the store could not serve:
	// it is asked again by then, or another instance reaches it.
	returnAfter = 400 * time.Millisecond
	// elsewhereAfter is when the sender of a submission may come back that this
	// instance cannot keep: at once, as it asks another one then, which reaches the
	// store itself or is the next to say no within milliseconds. The pause spares
	// instances while all have lost it.
	elsewhereAfter = 100 * time.Millisecond
	// acceptTime bounds what a submission may take to be kept. Its sender tries
	// another instance after it.
	acceptTime = 2500 * time.Millisecond
	// scoreTime bounds one call of a scorer on a route that sets no time.
	scoreTime = 2 * time.Second
)

var errStoreLost = errors.New("node: no way to the store")

// Ready reports whether the instance takes requests.
func (n *Node) Ready() bool { return n.ready.Load() && !n.draining.Load() }

// Draining reports whether the instance is told to stop.
func (n *Node) Draining() bool { return n.draining.Load() }

// Owns reports whether the instance runs the submission.
func (n *Node) Owns(id string) bool { return n.readers.run(id) != nil }

// Limits returns the limits in force for callers' requests.
func (n *Node) Limits() routetable.Limits {
	if t := n.table.Load(); t != nil {
		return t.Limits
	}
	return routetable.Limits{}
}

// Forward forwards r by route rt.
func (n *Node) Forward(ctx context.Context, rt routetable.Route, r forward.Request) (forward.Response, error) {
	begun := time.Now()
	a, err := n.forwarder.Do(ctx, rt, r)
	n.observer.request(rt, r, a.Status, begun, err)
	return a, err
}

// Stream forwards a request for a stream of events by route rt. prompt names the
// prompt that it shares, if any.
func (n *Node) Stream(ctx context.Context, rt routetable.Route, r forward.Request, prompt string, sink forward.Sink) error {
	begun := time.Now()
	if r.Model != "" {
		n.dealer.need()
	}
	err := n.forwarder.Stream(ctx, rt, r, prompt, sink)
	n.observer.request(rt, r, 0, begun, err)
	return err
}

// Submit keeps a submission and runs it. After its errors of verdict NotRun no
// part of it runs.
func (n *Node) Submit(ctx context.Context, s submission.Spec) error {
	if o, ok := n.heads.get(s.ID); ok {
		return kept(o, s)
	}
	if n.draining.Load() {
		return verdict.Refuse(http.StatusServiceUnavailable, time.Now(), errors.New("node: draining"))
	}
	if n.cfg.StoreReachability.Unreachable() {
		return verdict.Refuse(http.StatusServiceUnavailable, time.Now().Add(elsewhereAfter), errStoreLost)
	}
	// The sender's leaving does not end it: what has begun may be kept.
	ctx, cancel := n.whileReached(ctx)
	defer cancel()
	begun := time.Now()
	owner := n.owner(s)
	o, err := n.log.Accept(ctx, s, owner, owner == n.start, begun)
	if err != nil {
		n.observer.count("submissions.not_kept")
		n.cfg.Logger.Warn("submission not kept", "submission", s.ID, "took", time.Since(begun), "err", err)
		if errors.Is(err, platform.ErrNotApplied) {
			return verdict.Refuse(http.StatusServiceUnavailable, time.Now().Add(elsewhereAfter), err)
		}
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, err)
	}
	n.observer.count("submissions.kept")
	n.observer.time("submissions.keep", time.Since(begun))
	n.cfg.Logger.Info("submission kept", "submission", s.ID, "items", len(s.Items), "min_version", s.MinVersion, "owner", o.Owner, "took", time.Since(begun))
	n.heads.set(o)
	if err := kept(o, s); err != nil {
		n.dropSpec(context.WithoutCancel(ctx), s)
		return err
	}
	n.tell(ctx, accepted{o, s})
	return nil
}

// dropSpec deletes what was written of a submission that is not kept.
func (n *Node) dropSpec(ctx context.Context, s submission.Spec) {
	n.group.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, storeTime)
		defer cancel()
		if err := n.log.DeleteSpec(ctx, s); err != nil {
			n.cfg.Logger.Warn("refused submission not dropped", "submission", s.ID, "err", err)
		}
		return nil
	})
}

// whileReached returns a context for calls of the store that a caller waits for. It
// does not end when the caller leaves, as what has begun may be kept, but when no way
// leads to the store: another instance may have one, and a caller that waited here for
// acceptTime would have asked it long since.
func (n *Node) whileReached(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, reachedNoMore := n.cfg.StoreReachability.WhileReachable(context.WithoutCancel(ctx))
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	return ctx, func() { cancel(); reachedNoMore() }
}

// owner returns the instance that is to run s: the one that was chosen for the
// last submission of its kind if that can, so that ownership does not wander as
// instances come and go.
func (n *Node) owner(s submission.Spec) string {
	h := submission.Head{Host: s.Host, Path: s.Path, Model: s.Model}
	st := n.standing.Load()
	if st == nil {
		return n.start
	}
	able := owners(st.roster.Members, h)
	last := n.heads.lastOwner(ownerKey(h))
	if slices.ContainsFunc(able, func(m *membership.Member) bool { return m.StartID == last }) {
		return last
	}
	if len(able) > 0 {
		return able[0].StartID
	}
	return n.start
}

// head returns the head of a customer's submission, from the store if it is not
// known. Another's is unknown.
func (n *Node) head(ctx context.Context, id, customer string) (submission.HeadRow, error) {
	o, ok := n.heads.get(id)
	if !ok {
		var err error
		if o, err = n.log.Head(ctx, id); err != nil {
			return o, err
		}
		n.heads.set(o)
	}
	if !o.BelongsTo(customer) {
		return submission.HeadRow{}, submission.ErrNotFound
	}
	return o, nil
}

// Results returns results of a customer's submission from position after on, waiting for
// one until the time given. Its errors are submission.ErrUnknown and ErrNotSure.
func (n *Node) Results(ctx context.Context, id, customer string, after int, until time.Time) (ResultPage, error) {
	o, err := n.head(ctx, id, customer)
	if err != nil {
		return ResultPage{}, err
	}
	return n.readers.page(ctx, o, after, until)
}

// Body returns the body of an item that a customer's submission holds. Its errors are
// submission.ErrUnknown, ErrNoItem and ErrNotSure.
func (n *Node) Body(ctx context.Context, id, customer, item string) ([]byte, error) {
	o, err := n.head(ctx, id, customer)
	if err != nil {
		return nil, err
	}
	s, err := n.readers.spec(ctx, o)
	if err != nil {
		return nil, err
	}
	for _, it := range s.Items {
		if it.ID == item {
			return it.Body, nil
		}
	}
	return nil, submission.ErrItemNotFound
}

// End ends a customer's submission: what runs of it is cancelled, its results stay.
func (n *Node) End(ctx context.Context, id, customer string) error {
	o, err := n.head(ctx, id, customer)
	if err != nil {
		return err
	}
	ctx, cancel := n.whileReached(ctx)
	defer cancel()
	o, err = n.log.UpdateHead(ctx, o, func(h submission.Head) (submission.Head, bool) {
		if h.Ended {
			return h, false
		}
		h.Ended = true
		return h, true
	})
	if err != nil {
		return fmt.Errorf("%w: %w", submission.ErrStoreUnavailable, err)
	}
	n.cfg.Logger.Info("submission ended", "submission", id)
	n.heads.set(o)
	n.readers.stop(id)
	return nil
}

// runnerConfig returns the configuration of the runners here.
func (n *Node) runnerConfig() submission.Config {
	return submission.Config{
		Priority:   n.priority,
		Repository: n.log, Registry: n.registry, Generator: n.cfg.Upstreams, Guard: n.quarantine.Guard, Score: n.score, Rand: draw, OnEvent: n.observer.step,
		ScorerLimit: n.scoreRoom,
		TargetVersion: func(model string) uint64 {
			if named := n.named.Load(); named != nil {
				return (*named)[model]
			}
			return 0
		},
		Route: func(host, path string) (routetable.Route, bool, bool) {
			t := n.table.Load()
			if t == nil {
				return routetable.Route{}, false, false
			}
			rt, ok := t.Match(host, path)
			return rt, ok, true
		},
	}
}

// minScoreRoom is how many calls of a scorer an instance has under way at least
// where there are items to score.
const minScoreRoom = 8

// scoreRoom returns how many calls of c's scorer may be under way at once: this
// instance's part of its upstreams' slots, as each model's submissions run at one
// instance.
func (n *Node) scoreRoom(c submission.Call) int {
	rt, err := n.Route(c.Host, c.Path)
	if err != nil {
		return 1
	}
	slots := 0
	for _, s := range rt.Shares {
		_, more := n.registry.NonDraining(s.Pool)
		slots += more
	}
	models := 1
	if named := n.named.Load(); named != nil {
		models = max(1, len(*named))
	}
	return max(slots/models, min(slots, minScoreRoom), 1)
}

// score sends a scorer's call once.
func (n *Node) score(ctx context.Context, c submission.Call) submission.ScoreResult {
	rt, err := n.Route(c.Host, c.Path)
	if err != nil {
		return submission.ScoreResult{}
	}
	s := submission.ScoreResult{MaxAttempts: rt.MaxAttempts}
	wait := rt.Timeout
	if wait == 0 {
		wait = scoreTime
	}
	rt.MaxAttempts = 1 // each of its failures is counted
	a, err := n.forwarder.Do(ctx, rt, forward.Request{ID: c.ID, Method: http.MethodPost, URI: c.Path, Host: c.Host,
		Header: http.Header{}, Body: c.Body, Deadline: time.Now().Add(wait)})
	if err != nil {
		s.Quarantined = errors.Is(err, quarantine.ErrQuarantined)
		return s
	}
	s.Status = a.Status
	if a.Status/100 == 2 {
		s.Score = a.Proof
	}
	return s
}
