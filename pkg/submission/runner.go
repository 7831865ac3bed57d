package submission

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

const (
	// firstEventTimeout bounds the time until an engine sends the first event of a
	// text. The engine's queue is short, since owners bound what they send.
	firstEventTimeout = 1500 * time.Millisecond
	// eventTimeout bounds the time between events of a text. An engine takes tens of
	// milliseconds for an event and a slow one some hundred. Moving to another engine
	// costs little: it reads the text so far in milliseconds.
	eventTimeout = 700 * time.Millisecond
	// FlushEvents and flushPeriod bound the number and the age of the events that are
	// not yet passed to the Run, and so would be lost to a successor.
	FlushEvents = 6
	flushPeriod = 250 * time.Millisecond
	// progressSavePeriod is how often partial texts are stored for a successor.
	progressSavePeriod = 700 * time.Millisecond
	// SlowEngineFactor is the ratio of an engine's time per event to the usual one from
	// which on a text moves to a faster engine, in pools that are not contended.
	SlowEngineFactor = 2
	// capacityPollPeriod is how often an owner looks for free slots while items wait.
	capacityPollPeriod = 15 * time.Millisecond
	// idlePollPeriod is how often an owner looks for work to start while no items wait.
	idlePollPeriod = 200 * time.Millisecond
	// minAppendBackoff is the delay before a failed write of results is repeated. It
	// doubles up to maxAppendBackoff, so as not to overload a failing store.
	minAppendBackoff = 50 * time.Millisecond
	maxAppendBackoff = 150 * time.Millisecond
	// tooLargeRecheckDelay is the time between checks whether an item that was too large
	// for the engines' memory fits, which takes a change of the configuration.
	tooLargeRecheckDelay = time.Second
	// updatesPerItem is the room in the queue of updates for each item: the last events
	// of an attempt are posted while its earlier ones may still be queued.
	updatesPerItem = 2
	// refusalBackoff is how long an engine that refused a text is sent no other.
	refusalBackoff = 100 * time.Millisecond
)

// Config configures a Runner.
type Config struct {
	Repository Repository
	Registry   *upstream.Registry
	Generator  Generator
	// Guard learns from the items which engines have crashed, and that what an engine has
	// answered does not crash it; nil for none. It holds no item back: an item under which
	// engines crash is still owed to its trainer, and is known not to be the cause.
	Guard *quarantine.Guard
	// Score makes one scorer call.
	Score func(ctx context.Context, c Call) ScoreResult
	// ScorerLimit returns how many calls of c's scorer may be in flight at once.
	ScorerLimit func(c Call) int
	// Route returns the route for a host and path. known is false while no
	// configuration is in force.
	Route func(host, path string) (rt routetable.Route, ok, known bool)
	// TargetVersion returns the newest target version of a model, 0 if it has none.
	TargetVersion func(model string) uint64
	// Priority returns the priority of a customer's items, if the customer has one of
	// its own; nil for none.
	Priority func(customer string) option.Of[int]
	// Previous returns what the previous submission of the same model and customer left.
	// The run starts after it has returned. Nil for none.
	Previous func(ctx context.Context) Previous
	// OnCarried is called when a run has a Previous; nil for none.
	OnCarried func(CarriedUse)
	// Rand returns a random number, uniform in [0, 1).
	Rand func() float64
	// OnEvent is called for each RunEvent; nil for none.
	OnEvent func(RunEvent)
	// Estimator estimates the time that the submission's texts take; nil for one that
	// knows no earlier texts.
	Estimator *completion.Estimator
	// OnOutlook is called for each OutlookEvent; nil for none.
	OnOutlook func(OutlookEvent)
}

// TextMoved is the What of the event of a text that continues at another engine, where a
// slot has been reserved for it.
const TextMoved = "moved"

// TextRestarted is the What of the event of a text that is discarded and starts again, as no
// engine can continue it. Events is the number of events that are lost.
const TextRestarted = "restarted"

// ItemTooLarge is the What of the event of an item that fits into no engine's memory. It
// waits, as engines with more memory may be configured.
const ItemTooLarge = "too_large"

// ResultsListed is the What of the event of results that have been written.
const ResultsListed = "listed"

// RunEvent is an event of an item or a submission, for log and metrics.
type RunEvent struct {
	What       string
	Submission string
	Item       string
	Content    quarantine.Fingerprint // set if the attempt failed and may have run
	Upstream   string
	Events     int
	Status     int
	Position   int
	Waiting    int           // items queued for an engine
	Running    int           // items in flight at an engine
	Took       time.Duration // of the attempt, for "generated"
	Fencing    uint64        // fencing token under which results were written, for "listed"
	Results    []Result      // that were written, for "listed"
	Objects    int           // those of Results that are stored as objects
	Largest    int           // bytes of the largest of Results, as encoded for a row
	Err        error
}

// Runner runs one submission at its owner.
type Runner struct {
	cfg     Config
	head    HeadRow // with a zero fencing token once the submission is lost
	spec    Spec
	fencing uint64 // fencing token that the submission was claimed with
	prior   PriorWork
	run     *Run
	updates chan func(now time.Time)
	group   errgroup.Group

	scoring        int // scorer calls in flight
	appending      bool
	appendBackoff  time.Duration // delay before the next write of results after a failure
	nextSaveAt     time.Time     // when partial texts are stored next
	savingProgress bool
	priorToken     uint64 // fencing token under which the previous owner stored partial texts; 0 once they are deleted
	batch          *Batch // batch whose write failed or has an unknown outcome; nil for none

	short, everShort bool      // the step is, or has been, short of engines as last reported
	nextOutlookAt    time.Time // when a change of that is reported next

	reportedTooLarge map[int]bool // items whose ItemTooLarge event has been sent

	startedAt, endedAt time.Time
	writtenAt          []time.Time // by position of the result; zero if a previous owner wrote it

	held          atomic.Int64  // see HeldResults
	eventsPerUnit atomic.Uint64 // bits of the estimator's EventsPerUnit, for the moves of texts

	mu      sync.Mutex
	results []Result
	changed chan struct{} // closed when results are added
}

// NewRunner returns a Runner of submission s with the given head, which continues prior.
func NewRunner(cfg Config, head HeadRow, s Spec, prior PriorWork) *Runner {
	if cfg.OnEvent == nil {
		cfg.OnEvent = func(RunEvent) {}
	}
	if cfg.OnCarried == nil {
		cfg.OnCarried = func(CarriedUse) {}
	}
	if cfg.OnOutlook == nil {
		cfg.OnOutlook = func(OutlookEvent) {}
	}
	if cfg.Priority == nil {
		cfg.Priority = func(string) option.Of[int] { return option.Of[int]{} }
	}
	r := &Runner{cfg: cfg, head: head, fencing: head.Fencing, spec: s, prior: prior, results: prior.Results,
		writtenAt: make([]time.Time, len(prior.Results)),
		updates:   make(chan func(time.Time), updatesPerItem*len(s.Items)), changed: make(chan struct{}), appendBackoff: minAppendBackoff,
		priorToken: prior.ProgressToken, reportedTooLarge: map[int]bool{}}
	r.run = r.newRun(prior.Partials)
	return r
}

// newRun returns the Run of the submission, with the results and texts that it starts
// from.
func (r *Runner) newRun(partials []PartialText) *Run {
	run := NewRun(r.spec, r.prior.Results, partials)
	if r.cfg.Estimator != nil {
		run.UseEstimator(r.cfg.Estimator)
	}
	return run
}

// Results returns the written results from position on, and a channel that is closed
// when there are more.
func (r *Runner) Results(position int) ([]Result, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results[min(position, len(r.results)):], r.changed
}

// HeldResults returns the number of results that are finished and not yet written, which
// would have to be generated again if this instance were lost. It may be called
// concurrently with Run.
func (r *Runner) HeldResults() int { return int(r.held.Load()) }

// Run runs the submission until every result is written. It returns ErrNotOwner if the
// instance does not own the submission any more, and ctx's error when ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	r.startedAt = time.Now()
	defer func() {
		cancel()
		r.endedAt = time.Now()
		_ = r.group.Wait() // the group's functions return no errors
		r.applyQueued()    // the last events of the attempts, for a successor
	}()
	r.resumeCarried(ctx)
	for !r.run.Done() {
		now := time.Now()
		r.eventsPerUnit.Store(math.Float64bits(r.run.estimator.EventsPerUnit()))
		_, unwritten := r.run.Unwritten()
		r.held.Store(int64(len(unwritten)))
		r.startAll(ctx, now)
		if err := r.appendResults(ctx); err != nil {
			return err
		}
		r.saveProgress(ctx, now)
		period := idlePollPeriod
		if waits, _, _ := r.run.Counts(); waits > 0 {
			period = capacityPollPeriod
		}
		if err := r.applyUpdates(ctx, period); err != nil {
			return err
		}
	}
	r.held.Store(0)
	return r.complete(ctx)
}

// Summary holds the times and attempts of a run, for the log.
type Summary struct {
	LastItem                ItemTiming // of the item that got its result last
	StartedAt, EndedAt      time.Time
	Fencing                 uint64 // fencing token that the submission was claimed with
	Attempts, EmptyAttempts int    // generation attempts of all items, and those that produced no events
}

// Summary returns the times and attempts. It must not be called before Run has
// returned.
func (r *Runner) Summary() Summary {
	s := Summary{StartedAt: r.startedAt, EndedAt: r.endedAt, Fencing: r.fencing}
	s.LastItem, s.Attempts, s.EmptyAttempts = r.run.LastFinished()
	return s
}

// applyUpdates waits up to period for an update and applies it with all others that are
// due.
func (r *Runner) applyUpdates(ctx context.Context, period time.Duration) error {
	t := time.NewTimer(period)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	case apply := <-r.updates:
		apply(time.Now())
	}
	r.applyQueued()
	return nil
}

// applyQueued applies the updates that are due.
func (r *Runner) applyQueued() {
	for {
		select {
		case apply := <-r.updates:
			apply(time.Now())
		default:
			return
		}
	}
}

// post passes f to the goroutine of Run, which calls it. After the end of ctx, f is
// still called if there is room in the queue.
func (r *Runner) post(ctx context.Context, f func(now time.Time)) {
	select {
	case r.updates <- f:
		return
	default:
	}
	select {
	case r.updates <- f:
	case <-ctx.Done():
	}
}

func itemPolicy(rt routetable.Route) ItemPolicy {
	return ItemPolicy{MaxAttempts: rt.MaxAttempts, MaxAge: rt.MaxAge, SingleVersion: rt.SingleVersion}
}

// startAll starts the generations and scorer calls that may run now.
func (r *Runner) startAll(ctx context.Context, now time.Time) {
	rt, ok, known := r.cfg.Route(r.spec.Host, r.spec.Path)
	if !known {
		return
	}
	r.run.GiveUp(now.Sub(r.head.AcceptedAt), itemPolicy(rt), !ok, now)
	if !ok {
		return
	}
	r.startWaiting(ctx, rt, now)
	r.startScoring(ctx, rt, now)
}

// startWaiting starts waiting items while engines have free slots. Items for which engines
// have too little memory are passed over; the first of them is given priority by the
// registry. Items whose text waits for an engine with its weight version are passed over too.
func (r *Runner) startWaiting(ctx context.Context, rt routetable.Route, now time.Time) {
	room, first := math.MaxInt, true // room: most tokens that may fit
	placer := r.newPlacer(rt)
	for _, i := range r.waiting(rt, now) {
		use := r.spec.Items[i].Tokens
		if use.Expected(r.spec.Items[i].Length) > room {
			continue
		}
		fits := rt.Without(func(pool string) bool { return r.cfg.Registry.TooLarge(pool, use.Total()) })
		if len(fits.Shares) == 0 {
			r.reportTooLarge(i, use)
			r.run.Postpone(i, now.Add(tooLargeRecheckDelay))
			continue
		}
		req := r.requirements(i, fits, now)
		if first {
			req.First = r.spec.ID + "/" + r.spec.Items[i].ID
		}
		switch p, result := placer.place(i, fits.Shares, req); result {
		case placed:
			r.start(ctx, i, fits, p, req)
			continue
		case noEngineForText:
			continue
		}
		left, lacking := r.cfg.Registry.MemoryRoom(req)
		if !lacking {
			return
		}
		room, first = min(room, left), false
	}
}

// reportTooLarge reports, once, that item i fits into no engine's memory.
func (r *Runner) reportTooLarge(i int, use upstream.TokenUse) {
	if r.reportedTooLarge[i] {
		return
	}
	r.reportedTooLarge[i] = true
	r.cfg.OnEvent(RunEvent{What: ItemTooLarge, Submission: r.spec.ID, Item: r.spec.Items[i].ID, Err: fmt.Errorf("%w: %d tokens", upstream.ErrTooLarge, use.Total())})
}

// generation returns the request for item i's text, to continue after the given event.
func (r *Runner) generation(i, after int) GenerateRequest {
	it := r.spec.Items[i]
	return GenerateRequest{ID: it.ID, Host: r.spec.Host, Path: it.Path, Header: it.Header, Body: it.Body, After: after,
		Customer: r.spec.Customer, Priority: r.cfg.Priority(r.spec.Customer)}
}

// startScoring calls the scorers of complete texts.
func (r *Runner) startScoring(ctx context.Context, rt routetable.Route, now time.Time) {
	for _, i := range r.unscored(rt, now) {
		if r.scoring >= r.cfg.ScorerLimit(*r.spec.Items[i].Scorer) {
			break // further calls would only queue at the scorer, each on a connection of its own
		}
		r.scoring++
		r.run.Started(i, now)
		r.group.Go(func() error {
			s := r.cfg.Score(ctx, *r.spec.Items[i].Scorer)
			r.cfg.OnEvent(RunEvent{What: "scored", Submission: r.spec.ID, Item: r.spec.Items[i].ID, Status: s.Status})
			r.post(ctx, func(now time.Time) {
				r.scoring--
				r.run.ScoringEnded(i, s, now)
			})
			return nil
		})
	}
}
