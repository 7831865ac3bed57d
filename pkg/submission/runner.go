package submission

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

const (
	// firstEventLimit is how long an engine may take to begin a text: its
	// queue is short, since owners bound what they send.
	firstEventLimit = 1500 * time.Millisecond
	// eventGapLimit is how long a text may stand still; an engine takes tens of
	// milliseconds for an event and a slow one some hundred. To go on elsewhere
	// costs little: the engine there reads the text so far in milliseconds.
	eventGapLimit = 700 * time.Millisecond
	// FlushEvents and flushPeriod bound the events of a text that are not yet
	// told to the owner's goroutine, and with it to a successor.
	FlushEvents = 6
	flushPeriod = 250 * time.Millisecond
	// progressPeriod is how often the texts so far are kept for a successor.
	progressPeriod = 700 * time.Millisecond
	// SlowEngineFactor is how many times the usual time an engine takes from which on
	// a text goes on at another.
	SlowEngineFactor = 2
	// roomPeriod is how often an owner looks for room at engines while items wait.
	roomPeriod = 15 * time.Millisecond
	// idlePeriod is how often it looks otherwise.
	idlePeriod = 200 * time.Millisecond
	// appendPause is the pause before results are written again after a failure,
	// which doubles up to maxAppendPause so that a store in trouble is not pressed.
	appendPause    = 50 * time.Millisecond
	maxAppendPause = 150 * time.Millisecond
	// quarantinePause is how soon an item in quarantine is looked at again: it may have
	// been let out.
	quarantinePause = 500 * time.Millisecond
	// refusedPause is how long an engine that refused a text is left alone.
	refusedPause = 100 * time.Millisecond
)

// Config configures a Runner.
type Config struct {
	Repository Repository
	Registry   *upstream.Registry
	Generator  Generator
	// Guard keeps items that crash engines from them; nil for none.
	Guard *quarantine.Guard
	// Score sends one call of a scorer.
	Score func(ctx context.Context, c Call) ScoreResult
	// ScorerLimit returns how many calls of c's scorer may be under way at once.
	ScorerLimit func(c Call) int
	// Route returns the route in force for a host and path; known is false
	// while no configuration is.
	Route func(host, path string) (rt routetable.Route, ok, known bool)
	// TargetVersion returns the newest version that is named of a model, 0 if none is.
	TargetVersion func(model string) uint64
	// Priority returns the priority of a customer's items, if it has one; nil for none.
	Priority func(customer string) option.Of[int]
	// Rand returns a number drawn evenly from [0, 1).
	Rand func() float64
	// OnEvent is told what happens; nil for nothing.
	OnEvent func(RunEvent)
}

// RunEvent is something that happened to an item or a submission, for the log.
type RunEvent struct {
	What       string
	Submission string
	Item       string
	Content    quarantine.Fingerprint // of an attempt that failed after it may have run
	Upstream   string
	Events     int
	Status     int
	Position   int
	Waiting    int // items that wait for an engine
	Running    int // items at one
	Err        error
}

// Runner runs one submission at the instance that owns it.
type Runner struct {
	cfg     Config
	owned   HeadRow // without a fencing token once it is lost
	spec    Spec
	fencing uint64 // that the submission was claimed with
	run     *Run
	events  chan func(now time.Time)
	group   errgroup.Group

	scoring   int // calls of scorers under way
	appending bool
	pause     time.Duration // before the next append, after a failure
	keepAt    time.Time     // when progress is kept next
	keeping   bool
	before    uint64 // fencing token under which the owner before kept texts; 0 once they are deleted
	batch     *Batch // not known to be written

	begunAt, endedAt time.Time

	mu      sync.Mutex
	results []Result
	changed chan struct{} // closed when results grow
}

// NewRunner returns the Runner of a submission.
func NewRunner(cfg Config, o HeadRow, s Spec, left PriorWork) *Runner {
	if cfg.OnEvent == nil {
		cfg.OnEvent = func(RunEvent) {}
	}
	if cfg.Priority == nil {
		cfg.Priority = func(string) option.Of[int] { return option.Of[int]{} }
	}
	before := left.ProgressToken
	if before == o.Fencing {
		before = 0 // this instance's own, of before it adopted what it owned
	}
	return &Runner{cfg: cfg, owned: o, fencing: o.Fencing, spec: s, run: NewRun(s, left.Results, left.Partials), results: left.Results,
		events: make(chan func(time.Time), len(s.Items)), changed: make(chan struct{}), pause: appendPause,
		before: before}
}

// Results returns the results written from position on, and a channel that is
// closed when there are more.
func (r *Runner) Results(position int) ([]Result, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results[min(position, len(r.results)):], r.changed
}

// Run runs the submission until every result is written, it is no longer
// owned (ErrLost), or ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	r.begunAt = time.Now()
	defer func() {
		cancel()
		r.endedAt = time.Now()
		_ = r.group.Wait() // its functions return nil
	}()
	for !r.run.Done() {
		now := time.Now()
		r.startAll(ctx, now)
		if err := r.append(ctx); err != nil {
			return err
		}
		r.keep(ctx, now)
		period := idlePeriod
		if waits, _, _ := r.run.Counts(); waits > 0 {
			period = roomPeriod
		}
		if err := r.await(ctx, period); err != nil {
			return err
		}
	}
	return r.complete(ctx)
}

// Summary is what a run of a submission took, for the log.
type Summary struct {
	LastItem                ItemTiming // of the item that had its result last
	StartedAt, EndedAt      time.Time
	Attempts, EmptyAttempts int // of all items, at engines
}

// Summary is called after Run has returned.
func (r *Runner) Summary() Summary {
	s := Summary{StartedAt: r.begunAt, EndedAt: r.endedAt}
	s.LastItem, s.Attempts, s.EmptyAttempts = r.run.LastFinished()
	return s
}

// await applies what ends within period, all that has ended at once.
func (r *Runner) await(ctx context.Context, period time.Duration) error {
	t := time.NewTimer(period)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	case apply := <-r.events:
		apply(time.Now())
	}
	for {
		select {
		case apply := <-r.events:
			apply(time.Now())
		default:
			return nil
		}
	}
}

// tell has the owner's goroutine apply f.
func (r *Runner) tell(ctx context.Context, f func(now time.Time)) {
	select {
	case r.events <- f:
	case <-ctx.Done():
	}
}

func terms(rt routetable.Route) ItemPolicy {
	return ItemPolicy{MaxAttempts: rt.MaxAttempts, MaxAge: rt.MaxAge, SingleVersion: rt.SingleVersion}
}

// startAll starts what may run now.
func (r *Runner) startAll(ctx context.Context, now time.Time) {
	rt, ok, known := r.cfg.Route(r.spec.Host, r.spec.Path)
	if !known {
		return
	}
	r.run.GiveUp(now.Sub(r.owned.AcceptedAt), terms(rt), !ok, now)
	if !ok {
		return
	}
	r.startWaiting(ctx, rt, now)
	r.startScoring(ctx, now)
}

// startWaiting starts the items that find room at an engine.
func (r *Runner) startWaiting(ctx context.Context, rt routetable.Route, now time.Time) {
	for _, i := range r.run.Waiting(now) {
		if r.cfg.Guard.Check(r.generation(i, 0).content(r.spec.Model), now) != nil {
			r.run.Postpone(i, now.Add(quarantinePause))
			continue
		}
		if !r.start(ctx, i, rt, now) {
			return
		}
	}
}

// generation returns what is asked of an engine for item i, to go on after an event.
func (r *Runner) generation(i, after int) GenerateRequest {
	it := r.spec.Items[i]
	return GenerateRequest{ID: it.ID, Host: r.spec.Host, Path: it.Path, Header: it.Header, Body: it.Body, After: after,
		Customer: r.spec.Customer, Priority: r.cfg.Priority(r.spec.Customer)}
}

// startScoring starts calls of scorers for texts that are whole.
func (r *Runner) startScoring(ctx context.Context, now time.Time) {
	for _, i := range r.run.Unscored(now) {
		if r.scoring >= r.cfg.ScorerLimit(*r.spec.Items[i].Scorer) {
			break // more would only wait at the scorers, on connections of their own
		}
		r.scoring++
		r.run.Started(i, now)
		r.group.Go(func() error {
			s := r.cfg.Score(ctx, *r.spec.Items[i].Scorer)
			r.cfg.OnEvent(RunEvent{What: "scored", Submission: r.spec.ID, Item: r.spec.Items[i].ID, Status: s.Status})
			r.tell(ctx, func(now time.Time) {
				r.scoring--
				r.run.ScoringEnded(i, s, now)
			})
			return nil
		})
	}
}
