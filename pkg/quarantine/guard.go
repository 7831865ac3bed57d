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
	// claimTime bounds the claim of a trial.
	claimTime = 500 * time.Millisecond
	// claimedPause is when a request may come back whose trial another instance has.
	claimedPause = time.Second
)

// ErrQuarantined is wrapped by a *RefusedError.
var ErrQuarantined = errors.New("quarantine: the request has crashed the upstreams that ran it")

// RefusedError is the error of a request that is not to be run now.
type RefusedError struct {
	Until time.Time // when it may be tried next
	Err   error     // what kept it from a trial; nil for nothing
}

func (e *RefusedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%v: %v", ErrQuarantined, e.Err)
	}
	return ErrQuarantined.Error()
}

// Unwrap makes a RefusedError an ErrQuarantined.
func (e *RefusedError) Unwrap() error { return ErrQuarantined }

// Outcome is how an attempt at an upstream ended.
type Outcome int

// The outcomes of attempts.
const (
	NotRun         Outcome = iota // the upstream did not run it
	Unreachable                   // nor does it take connections
	Answered                      // the upstream answered it
	Failed                        // the upstream answered with a failure
	ConnectionLost                // its connection ended without a whole answer
	Abandoned                     // it was given up here without an answer
)

// ErrTrialClaimed is returned by a Config's Claim for a trial that is claimed already.
var ErrTrialClaimed = errors.New("quarantine: another instance has the trial")

// Event is something that a Guard found or decided, for the log.
type Event struct {
	What     string
	Content  Fingerprint
	Upstream string // its ID; empty for none
	Crashes  int    // of upstreams under the content
	// Unexplained is how many of the ends nothing else explains.
	Unexplained int
	Trials      int // that it has had
	Err         error
}

// Config configures a Guard.
type Config struct {
	// NotListening reports whether an upstream takes no connection as nothing listens at its
	// address.
	NotListening func(ctx context.Context, e upstream.Entry) bool
	// IsLeaving reports whether an upstream leaves by its own account.
	IsLeaving func(e upstream.Entry) bool
	// ClaimTrial claims a trial for this instance and returns the version of its row, or
	// ErrClaimed.
	ClaimTrial func(ctx context.Context, trial Fact) (uint64, error)
	// Go starts a goroutine.
	Go func(func() error)
	// OnChange is told when there may be rows to write.
	OnChange func()
	// OnEvent is told what happens.
	OnEvent func(Event)
}

// Guard lets requests through to upstreams. A nil Guard lets all through. It is safe
// for concurrent use.
type Guard struct {
	cfg Config
	// known is how many contents the ledger has: without any, no request's need be
	// worked out.
	known   atomic.Int64
	probing atomic.Int64 // how many probes there are

	mu     sync.Mutex
	ledger *CrashTracker
	probes map[string]*probe        // by the upstream's start
	left   map[string][]leftRequest // by the upstream's start
	ended  map[string]startEnds     // by the upstream's start
	held   map[Fingerprint]bool     // contents that are known to be in quarantine, for the log
}

// NewGuard returns a Guard that knows nothing.
func NewGuard(cfg Config) *Guard {
	return &Guard{cfg: cfg, ledger: NewCrashTracker(), probes: map[string]*probe{}, left: map[string][]leftRequest{},
		ended: map[string]startEnds{}, held: map[Fingerprint]bool{}}
}

// startOf identifies the start of an upstream.
func startOf(e upstream.Entry) string { return e.ID + "@" + strconv.FormatInt(e.Born, 10) }

// Check returns a *RefusedError if a request of content c is not to be run at now.
func (g *Guard) Check(c Content, now time.Time) error {
	if g == nil || g.known.Load() == 0 {
		return nil
	}
	f := c.Fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusal(f, g.ledger.Decide(f, now))
}

// refusal returns the error of a request that is refused, or nil.
func (g *Guard) refusal(f Fingerprint, d Decision) error {
	if d.RefusedUntil.IsZero() {
		return nil
	}
	g.cfg.OnEvent(Event{What: "request refused", Content: f, Crashes: g.ledger.Crashes(f), Trials: g.ledger.Trials(f)})
	return &RefusedError{Until: d.RefusedUntil}
}

// NeedsTrial reports whether a request of content c runs as a trial only at now.
func (g *Guard) NeedsTrial(c Content, now time.Time) bool {
	if g == nil || g.known.Load() == 0 {
		return false
	}
	f := c.Fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Decide(f, now).Trial > 0
}

// Begin is called before a request of content c is sent to the upstream to. It claims
// a trial if the request needs one, and returns a *RefusedError if it may not be sent.
func (g *Guard) Begin(ctx context.Context, c Content, to upstream.Entry) (*Attempt, error) {
	if g == nil {
		return nil, nil
	}
	a := &Attempt{guard: g, content: c, to: to, begunAt: time.Now()}
	if g.known.Load() == 0 {
		return a, nil
	}
	f := c.Fingerprint()
	g.mu.Lock()
	d := g.ledger.Decide(f, time.Now())
	err := g.refusal(f, d)
	g.mu.Unlock()
	if err != nil || d.Trial == 0 {
		return a, err
	}
	err = g.claim(ctx, f, d.Trial, to)
	a.trial, a.begunAt = d.Trial, time.Now()
	return a, err
}

// claim claims a trial of a content at the upstream to.
func (g *Guard) claim(ctx context.Context, f Fingerprint, number int, to upstream.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	version, err := g.cfg.ClaimTrial(ctx, trial(f, number))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if err == nil || errors.Is(err, ErrTrialClaimed) {
		g.ledger.RecordTrial(f, number, version, now)
	}
	g.cfg.OnEvent(Event{What: "trial", Content: f, Upstream: to.ID, Crashes: g.ledger.Crashes(f), Trials: number, Err: err})
	if err == nil {
		return nil
	}
	until := now.Add(claimedPause)
	g.ledger.PostponeTrial(f, until)
	return &RefusedError{Until: until, Err: err}
}

// Attempt is a request at an upstream. A nil Attempt is one of a nil Guard.
type Attempt struct {
	guard   *Guard
	content Content
	to      upstream.Entry
	trial   int // its number; 0 for none
	begunAt time.Time
}

// Done tells how the attempt ended. After one that broke off it waits until it is
// known whether the upstream has ended, if that may put the content in quarantine:
// else the request would be sent on to the next upstream meanwhile.
func (a *Attempt) Done(ctx context.Context, o Outcome) {
	if a == nil {
		return
	}
	switch o {
	case Answered:
		a.guard.heard(a)
		a.guard.answered(a.content)
	case Failed, NotRun:
		a.guard.heard(a)
	case ConnectionLost:
		a.guard.broken(ctx, a)
	case Abandoned:
		a.guard.leave(a, time.Now())
	case Unreachable:
		a.guard.unreachable(a.to)
		a.guard.giveBack(a)
	}
}

// giveBack gives back the trial of an attempt that was not sent.
func (g *Guard) giveBack(a *Attempt) {
	if a.trial == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.ReturnTrial(a.content.Fingerprint(), a.trial)
	g.settle()
}

func (g *Guard) answered(c Content) {
	if g.known.Load() == 0 {
		return
	}
	f := c.Fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	ends := g.ledger.Crashes(f)
	if ends == 0 || !g.ledger.RecordAnswer(f) {
		return
	}
	g.settle()
	g.cfg.OnEvent(Event{What: "request answered", Content: f, Crashes: ends})
}
