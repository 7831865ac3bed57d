package quarantine

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

const (
	// claimTimeout bounds the claim of a trial.
	claimTimeout = 500 * time.Millisecond
	// claimedRetryDelay is how long a request is refused after the claim of its trial
	// failed.
	claimedRetryDelay = time.Second
)

// ErrQuarantined is the error that a *RefusedError wraps.
var ErrQuarantined = errors.New("quarantine: the request has crashed the upstreams that ran it")

// RefusedError is returned for a request that must not run now.
type RefusedError struct {
	Until time.Time // earliest time of the next attempt
	Err   error     // why its trial could not be claimed; nil if no claim was made
}

func (e *RefusedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%v: %v", ErrQuarantined, e.Err)
	}
	return ErrQuarantined.Error()
}

// Unwrap returns ErrQuarantined.
func (e *RefusedError) Unwrap() error { return ErrQuarantined }

// Outcome is the outcome of an attempt at an upstream.
type Outcome int

// The outcomes of attempts.
const (
	NotRun         Outcome = iota // the upstream answered that it did not run the request
	Unreachable                   // the upstream accepted no connection
	Answered                      // the upstream answered the request
	Failed                        // the upstream answered with an error
	ConnectionLost                // the connection closed before a complete answer
	Abandoned                     // this instance gave the request up without an answer
)

// ErrTrialClaimed is returned by Config.ClaimTrial if the trial is already claimed.
var ErrTrialClaimed = errors.New("quarantine: trial already claimed by another instance")

// Event is a finding or decision of a Guard, for logs and metrics.
type Event struct {
	What               string // message of the log line and name of the metric
	Content            Fingerprint
	Upstream           string // its ID; empty for none
	Crashes            int    // crashes of the content
	UnexplainedCrashes int    // crashes without another explanation
	Trials             int    // trials of the content so far
	Err                error
}

// Config holds the callbacks of a Guard.
type Config struct {
	// NotListening reports whether nothing listens at the upstream's address.
	NotListening func(ctx context.Context, e upstream.Entry) bool
	// IsLeaving reports whether the upstream has announced that it stops.
	IsLeaving func(e upstream.Entry) bool
	// ClaimTrial claims a trial for this instance. It returns the version of its row,
	// or ErrTrialClaimed.
	ClaimTrial func(ctx context.Context, trial Fact) (uint64, error)
	// Go runs a function in a new goroutine.
	Go func(func() error)
	// OnChange is called when there may be rows to write.
	OnChange func()
	// OnEvent is called with each event.
	OnEvent func(Event)
}

// Guard decides whether requests may be sent to upstreams, and records the outcomes of
// their attempts. A nil Guard lets all requests through. It is safe for concurrent use.
type Guard struct {
	cfg Config
	// contentCount is the number of contents that the tracker keeps. If it is 0,
	// requests pass without the cost of a fingerprint.
	contentCount atomic.Int64
	probeCount   atomic.Int64 // probes in progress
	probeCtx     context.Context
	cancelProbes context.CancelFunc

	mu          sync.Mutex
	tracker     *CrashTracker
	probes      map[string]*probe             // by process ID
	abandoned   map[string][]abandonedRequest // by process ID
	crashes     map[string]processCrashes     // by process ID
	quarantined map[Fingerprint]bool          // contents in quarantine when the tracker last changed, to find the changes
}

// NewGuard returns a Guard without any known crash.
func NewGuard(cfg Config) *Guard {
	g := &Guard{cfg: cfg, tracker: NewCrashTracker(), probes: map[string]*probe{}, abandoned: map[string][]abandonedRequest{},
		crashes: map[string]processCrashes{}, quarantined: map[Fingerprint]bool{}}
	g.probeCtx, g.cancelProbes = context.WithCancel(context.Background())
	return g
}

// Stop ends the probes in progress, which then find no crash, and later ones at once. An
// instance that stops must not wait for upstreams that do not answer.
func (g *Guard) Stop() { g.cancelProbes() }

// processID identifies the process of an upstream by the upstream's ID and start time.
func processID(e upstream.Entry) string { return e.ID + "@" + strconv.FormatInt(e.Born, 10) }

// Check returns a *RefusedError if a request of content c must not run at now.
func (g *Guard) Check(c Content, now time.Time) error {
	if g == nil || g.contentCount.Load() == 0 {
		return nil
	}
	f := c.Fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusal(f, g.tracker.Decide(f, now))
}

// refusal returns the error for a request that d refuses, or nil.
func (g *Guard) refusal(f Fingerprint, d Decision) error {
	if d.RefusedUntil.IsZero() {
		return nil
	}
	g.cfg.OnEvent(Event{What: "request refused", Content: f, Crashes: g.tracker.Crashes(f), Trials: g.tracker.Trials(f)})
	return &RefusedError{Until: d.RefusedUntil}
}

// NeedsTrial reports whether a request of content c may run at now only as a trial.
func (g *Guard) NeedsTrial(c Content, now time.Time) bool {
	if g == nil || g.contentCount.Load() == 0 {
		return false
	}
	f := c.Fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Decide(f, now).Trial > 0
}

// Begin must be called before a request of content c is sent to the upstream to. It
// claims a trial if the request needs one. It returns a *RefusedError if the request
// must not be sent.
func (g *Guard) Begin(ctx context.Context, c Content, to upstream.Entry) (*Attempt, error) {
	if g == nil {
		return nil, nil
	}
	a := &Attempt{guard: g, content: c, to: to, startedAt: time.Now()}
	if g.contentCount.Load() == 0 {
		return a, nil
	}
	f := c.Fingerprint()
	g.mu.Lock()
	d := g.tracker.Decide(f, time.Now())
	err := g.refusal(f, d)
	g.mu.Unlock()
	if err != nil || d.Trial == 0 {
		return a, err
	}
	err = g.claimTrial(ctx, f, d.Trial, to)
	a.trial, a.startedAt = d.Trial, time.Now()
	return a, err
}

// BeginExempt must be called before a request of content c is sent to the upstream to, if
// the request is known not to crash upstreams by itself. Such a request is never refused,
// and no crash counts against its content. Its outcome still tells which upstreams have
// crashed, and an answer shows that the content does not crash them.
func (g *Guard) BeginExempt(c Content, to upstream.Entry) *Attempt {
	if g == nil {
		return nil
	}
	return &Attempt{guard: g, content: c, to: to, startedAt: time.Now(), exempt: true}
}

// claimTrial claims a trial of a content, to run at the upstream to.
func (g *Guard) claimTrial(ctx context.Context, f Fingerprint, number int, to upstream.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	version, err := g.cfg.ClaimTrial(ctx, trial(f, number))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if err == nil || errors.Is(err, ErrTrialClaimed) {
		g.tracker.RecordTrial(f, number, version, now)
	}
	g.cfg.OnEvent(Event{What: "trial", Content: f, Upstream: to.ID, Crashes: g.tracker.Crashes(f), Trials: number, Err: err})
	if err == nil {
		return nil
	}
	until := now.Add(claimedRetryDelay)
	g.tracker.PostponeTrial(f, until)
	return &RefusedError{Until: until, Err: err}
}

// Attempt is a request sent to an upstream. A nil Guard returns a nil Attempt.
type Attempt struct {
	guard     *Guard
	content   Content
	to        upstream.Entry
	trial     int // number of its trial; 0 for none
	startedAt time.Time
	exempt    bool // see BeginExempt
}

// Done records the outcome of the attempt. After a lost connection it waits until it is
// known whether the upstream has crashed, if a crash could put the content in
// quarantine: the request would otherwise be sent to the next upstream before that is
// known.
func (a *Attempt) Done(ctx context.Context, o Outcome) {
	if a == nil {
		return
	}
	switch o {
	case Answered:
		a.guard.noteResponse(a)
		a.guard.onAnswered(a.content)
	case Failed, NotRun:
		a.guard.noteResponse(a)
	case ConnectionLost:
		a.guard.onConnectionLost(ctx, a)
	case Abandoned:
		if !a.exempt {
			a.guard.noteAbandoned(a, time.Now())
		}
	case Unreachable:
		a.guard.onUnreachable(a.to)
		a.guard.returnTrial(a)
	}
}

// returnTrial returns the trial of an attempt that was not sent.
func (g *Guard) returnTrial(a *Attempt) {
	if a.trial == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ReturnTrial(a.content.Fingerprint(), a.trial)
	g.onTrackerChanged()
}

func (g *Guard) onAnswered(c Content) {
	if g.contentCount.Load() == 0 {
		return
	}
	f := c.Fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	crashes := g.tracker.Crashes(f)
	if crashes == 0 || !g.tracker.RecordAnswer(f) {
		return
	}
	g.onTrackerChanged()
	g.cfg.OnEvent(Event{What: "request answered", Content: f, Crashes: crashes})
}
