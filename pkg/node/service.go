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
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

const (
	// unavailableRetryAfter is the delay after which a caller may retry if the instance
	// is not ready to serve it. By then the store has been tried again, or another
	// instance can reach it.
	unavailableRetryAfter = 400 * time.Millisecond
	// elsewhereRetryAfter is the delay after which the sender of a submission may retry
	// if this instance cannot store it. It is short because the sender then tries
	// another instance, which reaches the store or also refuses within milliseconds.
	// The delay limits the load of instances while none of them can reach the store.
	elsewhereRetryAfter = 100 * time.Millisecond
	// acceptTimeout is the timeout of storing a submission, after which its sender
	// tries another instance.
	acceptTimeout = 2500 * time.Millisecond
	// defaultScoreTimeout is the timeout of one call of a scorer on a route that sets
	// none.
	defaultScoreTimeout = 2 * time.Second
)

var errStoreUnreachable = errors.New("node: store unreachable")

// Ready reports whether the instance accepts requests.
func (n *Node) Ready() bool { return n.ready.Load() && !n.draining.Load() }

// Draining reports whether the instance has been told to stop.
func (n *Node) Draining() bool { return n.draining.Load() }

// Owns reports whether the instance runs the submission.
func (n *Node) Owns(id string) bool { return n.reader.run(id) != nil }

// Upstream returns the upstream with the ID, and whether it is registered.
func (n *Node) Upstream(id string) (upstream.Entry, bool) { return n.registry.Entry(id) }

// Configured reports whether the instance has a configuration.
func (n *Node) Configured() bool { return n.table.Load() != nil }

// Limits returns the limits in force for callers' requests.
func (n *Node) Limits() routetable.Limits {
	if t := n.table.Load(); t != nil {
		return t.Limits
	}
	return routetable.Limits{}
}

// Forward forwards r on route rt.
func (n *Node) Forward(ctx context.Context, rt routetable.Route, r forward.Request) (forward.Response, error) {
	started := time.Now()
	r.Report = new(forward.Report)
	a, err := n.forwarder.Do(ctx, rt, r)
	n.observer.request(rt, r, a.Status, started, err)
	return a, err
}

// Stream forwards a request for a stream of events on route rt. prompt identifies the
// prompt that the request shares with others, empty for none.
func (n *Node) Stream(ctx context.Context, rt routetable.Route, r forward.Request, prompt string, sink forward.Sink) error {
	started := time.Now()
	if r.Model != "" {
		n.assigner.ensureCurrent()
	}
	r.Report = new(forward.Report)
	err := n.forwarder.Stream(ctx, rt, r, prompt, sink)
	n.observer.request(rt, r, 0, started, err)
	return err
}

// Submit stores a submission, to be run by its owner. After an error with verdict
// NotRun no part of it runs.
func (n *Node) Submit(ctx context.Context, s submission.Spec) error {
	if head, ok := n.heads.get(s.ID); ok {
		return checkCustomer(head, s)
	}
	if n.draining.Load() {
		return verdict.Refuse(http.StatusServiceUnavailable, time.Now(), errors.New("node: draining"))
	}
	if n.cfg.StoreReachability.Unreachable() {
		return verdict.Refuse(http.StatusServiceUnavailable, time.Now().Add(elsewhereRetryAfter), errStoreUnreachable)
	}
	// The call of the store continues if the sender disconnects, because the submission
	// may have been stored already.
	ctx, cancel := n.withReachable(ctx)
	defer cancel()
	started := time.Now()
	owner := n.owner(s)
	head, err := n.submissions.Accept(ctx, s, owner, owner == n.startID, started)
	if err != nil {
		n.observer.count("submissions.not_kept")
		rejection := verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, err)
		if errors.Is(err, platform.ErrNotApplied) {
			rejection = verdict.Refuse(http.StatusServiceUnavailable, time.Now().Add(elsewhereRetryAfter), err)
		}
		fields := []any{"submission", s.ID, "took", time.Since(started), "err", err}
		n.cfg.Logger.Warn("submission not kept", append(fields, rejectionFields(rejection, time.Now())...)...)
		return rejection
	}
	n.observer.count("submissions.kept")
	n.observer.time("submissions.keep", time.Since(started))
	n.cfg.Logger.Info("submission kept", "submission", s.ID, "items", len(s.Items), "min_version", s.MinVersion, "owner", head.Owner, "took", time.Since(started))
	n.heads.set(head)
	if err := checkCustomer(head, s); err != nil {
		n.deleteSpec(context.WithoutCancel(ctx), s)
		return err
	}
	n.enqueue(ctx, accepted{head, s})
	return nil
}

// deleteSpec deletes the stored specification of a submission that is refused.
func (n *Node) deleteSpec(ctx context.Context, s submission.Spec) {
	n.group.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := n.submissions.DeleteSpec(ctx, s); err != nil {
			n.cfg.Logger.Warn("specification of a refused submission not deleted; leaving it", "submission", s.ID, "err", err)
		}
		return nil
	})
}

// withReachable returns a context for calls of the store that a caller waits for. It is
// not cancelled when the caller disconnects, because the call may have taken effect
// already, but when the store becomes unreachable: another instance may be able to
// reach it, and a caller that waited here for acceptTimeout could have tried that one
// long before.
func (n *Node) withReachable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancelReachable := n.cfg.StoreReachability.WhileReachable(context.WithoutCancel(ctx))
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	return ctx, func() { cancel(); cancelReachable() }
}

// owner returns the start ID of the instance that is to run s: the one chosen for the
// last submission with the same ownerKey if it can, so that ownership does not move as
// instances come and go.
func (n *Node) owner(s submission.Spec) string {
	h := submission.Head{Host: s.Host, Path: s.Path, Model: s.Model}
	st := n.ranking.Load()
	if st == nil {
		return n.startID
	}
	candidates := owners(st.roster.Members, h)
	last := n.heads.lastOwner(ownerKey(h))
	if slices.ContainsFunc(candidates, func(m *membership.Member) bool { return m.StartID == last }) {
		return last
	}
	if len(candidates) > 0 {
		return candidates[0].StartID
	}
	return n.startID
}

// head returns the head of a customer's submission, from the store if it is not cached.
// The submission of another customer is reported as not found.
func (n *Node) head(ctx context.Context, id, customer string) (submission.HeadRow, error) {
	row, ok := n.heads.get(id)
	if !ok {
		var err error
		if row, err = n.submissions.Head(ctx, id); err != nil {
			return row, err
		}
		n.heads.set(row)
	}
	if !row.BelongsTo(customer) {
		return submission.HeadRow{}, submission.ErrNotFound
	}
	return row, nil
}

// Results returns results of a customer's submission from position after on. It blocks
// until there is one or until has passed. Its errors are submission.ErrNotFound and
// ErrStoreUnavailable.
func (n *Node) Results(ctx context.Context, id, customer string, after int, until time.Time) (ResultPage, error) {
	head, err := n.head(ctx, id, customer)
	if err != nil {
		return ResultPage{}, err
	}
	return n.reader.page(ctx, head, after, until)
}

// Body returns the body of an item of a customer's submission. Its errors are
// submission.ErrNotFound, ErrItemNotFound and ErrStoreUnavailable.
func (n *Node) Body(ctx context.Context, id, customer, item string) ([]byte, error) {
	head, err := n.head(ctx, id, customer)
	if err != nil {
		return nil, err
	}
	s, err := n.reader.spec(ctx, head)
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

// End ends a customer's submission: its runs are cancelled, its results remain.
func (n *Node) End(ctx context.Context, id, customer string) error {
	head, err := n.head(ctx, id, customer)
	if err != nil {
		return err
	}
	ctx, cancel := n.withReachable(ctx)
	defer cancel()
	head, err = n.submissions.UpdateHead(ctx, head, func(h submission.Head) (submission.Head, bool) {
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
	n.heads.set(head)
	n.reader.cancelRun(id)
	return nil
}

// targetVersion returns the newest target version of a model, 0 if it has none.
func (n *Node) targetVersion(model string) uint64 {
	if named := n.targetVersions.Load(); named != nil {
		return (*named)[model]
	}
	return 0
}

// runnerConfig returns the configuration of the runners of this instance.
func (n *Node) runnerConfig() submission.Config {
	return submission.Config{
		Priority:   n.priority,
		Repository: n.submissions, Registry: n.registry, Generator: n.cfg.Upstreams, Guard: n.quarantine.Guard, Score: n.score, Rand: randomFloat, OnEvent: n.observer.step, OnOutlook: n.observer.outlook,
		ScorerLimit:   n.scorerLimit,
		TargetVersion: n.targetVersion,
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

// minScorerLimit is the lower bound of the calls of a scorer that an instance has in
// flight at once, as far as the scorer has slots.
const minScorerLimit = 8

// scorerLimit returns how many calls of c's scorer may be in flight at once: this
// instance's share of the slots of its upstreams, as the submissions of each model run
// at one instance.
func (n *Node) scorerLimit(c submission.Call) int {
	rt, err := n.Route(c.Host, c.Path)
	if err != nil {
		return 1
	}
	slots := 0
	for _, s := range rt.Shares {
		_, poolSlots := n.registry.NonDraining(s.Pool)
		slots += poolSlots
	}
	models := 1
	if named := n.targetVersions.Load(); named != nil {
		models = max(1, len(*named))
	}
	return max(slots/models, min(slots, minScorerLimit), 1)
}

// score sends a call to a scorer, without retries.
func (n *Node) score(ctx context.Context, c submission.Call) submission.ScoreResult {
	rt, err := n.Route(c.Host, c.Path)
	if err != nil {
		return submission.ScoreResult{}
	}
	s := submission.ScoreResult{MaxAttempts: rt.MaxAttempts}
	wait := rt.Timeout
	if wait == 0 {
		wait = defaultScoreTimeout
	}
	rt.MaxAttempts = 1 // the caller counts each failure
	a, err := n.forwarder.Do(ctx, rt, forward.Request{ID: c.ID, Method: http.MethodPost, URI: c.Path, Host: c.Host,
		Header: http.Header{}, Body: c.Body, Deadline: time.Now().Add(wait), MaxRuns: s.MaxAttempts,
		Exempt: true}) // as the item that it scores
	if err != nil {
		return s
	}
	s.Status = a.Status
	if a.Status/100 == 2 {
		s.Score = a.Proof
	}
	return s
}
