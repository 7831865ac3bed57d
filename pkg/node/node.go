// Package node implements an instance of the system on the users' platform. It follows
// the tables of the platform's store, forwards callers' requests, runs the submissions
// that it owns and, while it holds the orders lease, orders engines to load weights.
//
// One goroutine owns the control state: it reduces events to effects, which are then
// executed. Requests read snapshots that the effects publish.
package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/carryover"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/scaling"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
	"github.com/zinnialadder/zinnialadder/pkg/watch"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// UpstreamClient sends requests to upstreams.
type UpstreamClient interface {
	forward.Transport
	forward.Opener
	submission.Generator
	weights.OrderClient
	// NotListening reports whether nothing listens at an upstream's address.
	NotListening(ctx context.Context, e upstream.Entry) bool
}

// Decoder decodes the rows that the platform's operators, trainers and upstreams write.
type Decoder struct {
	OperatorTable string // the configuration and the target versions
	EntriesTable  string // the entries of upstreams

	// Configuration decodes a row of the operator table. ok is false if the row is not
	// a configuration, and err is set if it is a malformed one.
	Configuration func(platform.Row) (t *routetable.Table, ok bool, err error)
	// TargetVersion decodes a row of the operator table. ok is false if the row is not
	// the target version of a model.
	TargetVersion func(platform.Row) (model string, version uint64, ok bool)
	Entry         func(platform.Row) (upstream.Entry, error)
	// RedactKeys returns a row of the operator table without callers' API keys.
	RedactKeys func(platform.Row) platform.Row
	// EntryDigest returns equal digests for rows of one upstream that decode to equal
	// entries, without decoding them: nearly all writes are heartbeats that change
	// nothing else. It returns 0 for a row that must be decoded. A nil EntryDigest is
	// the same as one that always returns 0.
	EntryDigest func(platform.Row) uint64
}

// StoreReachability tells whether the store is reachable.
type StoreReachability interface {
	Unreachable() bool
	// WhileReachable returns a context that is cancelled when the store becomes
	// unreachable.
	WhileReachable(ctx context.Context) (context.Context, context.CancelFunc)
}

// alwaysReachable is the StoreReachability of a store that never becomes unreachable.
type alwaysReachable struct{}

func (alwaysReachable) Unreachable() bool { return false }

func (alwaysReachable) WhileReachable(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

// Config configures a Node.
type Config struct {
	Name       string
	DataCentre string
	Address    string  // address for callers
	Cores      float64 // processor cores of the instance
	// PeerAddress is the address for other instances. It is empty if there is none.
	PeerAddress string
	Store       platform.Store
	// ObjectLister is the store reached without a peer, since peers do not list objects. Only
	// deletions need it, which may wait until the store is reached directly.
	ObjectLister platform.ObjectLister
	// Dial opens a link to another instance to follow tables through it. If nil, each
	// instance reads the tables from the store.
	Dial                watch.Dial
	StoreReachability   StoreReachability // nil for a store that is always reachable
	Upstreams           UpstreamClient
	Decoder             Decoder
	Logger              *log.Logger
	Metrics             metrics.Registry // counters and timers; nil for a registry of its own
	MaxRowBytes         int              // largest value of a row of the store
	MinHolderInterval   time.Duration    // least time between orders of two different lease holders
	HeartbeatInterval   time.Duration    // interval at which engines write their entries; default 1.2 s
	SubmissionRetention time.Duration    // time from acceptance until a submission is deleted; 0 for no deletion
	ShutdownGrace       time.Duration    // time from the request to stop until the process is killed
	// CloudProvider accepts the site's usage reports and orders of engines. It is nil
	// for none.
	CloudProvider CloudProvider
	// UsageSchedule is the schedule of usage reports. Its zero value disables them.
	UsageSchedule usage.Schedule
	// Contended means that the capacity of all pools is contended, as in
	// upstream.Registry.
	Contended bool
}

const (
	// gaugePeriod is the period at which the gauges of the control state are updated.
	gaugePeriod = time.Second
	// tickPeriod is the period of tick events.
	tickPeriod = 100 * time.Millisecond
	// eventQueueSize is how many events may be queued for the control goroutine.
	eventQueueSize = 256
)

// Node is one instance. Call New, then Run.
type Node struct {
	cfg         Config
	startID     string // identifies this process of the instance
	submissions submission.Repository
	carryover   *carryover.Store
	registry    *upstream.Registry
	forwarder   *forward.Forwarder
	events      chan any
	group       errgroup.Group

	table          atomic.Pointer[routetable.Table]
	ready          atomic.Bool // the tables that callers' requests depend on have been read
	draining       atomic.Bool
	heads          headIndex
	reader         *submissionReader
	observer       *observer
	member         *memberRow
	orders         *orderSender
	assigner       *assigner
	stable         stableAssigners
	follower       *watch.Follower
	encodedMembers memberEncodings
	duties         *duties
	usage          *usageRecorder
	startedAt      time.Time
	// reachableSinceNanos is the time since which the store has been reachable without
	// a break, in Unix nanoseconds. It is 0 until the first outage has ended.
	reachableSinceNanos atomic.Int64
	// openSubmissions holds the open submissions by pool.
	openSubmissions atomic.Pointer[map[string][]scaling.Submission]
	// upstreams is the number of registered upstreams.
	upstreams atomic.Int64
	// quarantine tracks requests that crash upstreams.
	quarantine     *quarantine.Syncer
	targetVersions atomic.Pointer[map[string]uint64]
	ranking        atomic.Pointer[memberRanking] // rankings of the live members; nil until the members are known
	// membersCurrent means that ranking is recent enough to give addresses from it to
	// callers.
	membersCurrent atomic.Bool
}

// New returns a Node configured by cfg.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, stable: stableAssigners{byPool: map[string]*weights.StableAssigner{}}, startID: membership.StartID(cfg.Name, time.Now()), startedAt: time.Now(), registry: upstream.NewRegistry(cfg.DataCentre),
		submissions: submission.Repository{Store: cfg.Store, MaxRowBytes: cfg.MaxRowBytes, Lister: cfg.ObjectLister},
		carryover:   &carryover.Store{Objects: cfg.Store, Limit: carryoverLimit}, events: make(chan any, eventQueueSize)}
	if n.cfg.Metrics == nil {
		n.cfg.Metrics = metrics.NewRegistry()
	}
	if n.cfg.HeartbeatInterval <= 0 {
		n.cfg.HeartbeatInterval = defaultHeartbeatInterval
	}
	if n.cfg.StoreReachability == nil {
		n.cfg.StoreReachability = alwaysReachable{}
	}
	n.registry.SetContended(cfg.Contended)
	metrics.NewRegisteredFunctionalGauge("engines.loading_skipped", n.cfg.Metrics, n.registry.LoadingPauses)
	n.observer = newObserver(n)
	n.quarantine = newQuarantine(n)
	n.forwarder = forward.New(forward.Config{Transport: cfg.Upstreams, Opener: cfg.Upstreams, Registry: n.registry, Affinity: cfg.Name, Guard: n.quarantine.Guard, OnAttempt: n.observer.attempt, Metrics: n.cfg.Metrics})
	n.heads.init()
	n.reader = newSubmissionReader(n)
	metrics.NewRegisteredFunctionalGauge("submissions.results_held", n.cfg.Metrics, n.reader.heldResults)
	n.member = &memberRow{node: n, wake: clock.NewWakeup()}
	n.orders = newOrderSender(n)
	n.assigner = newAssigner(n)
	n.duties = newDuties(n)
	n.usage = newUsageRecorder(n)
	n.follower = newFollower(n)
	n.encodedMembers = memberEncodings{}
	return n
}

// Run runs the node until stop is done, then drains it: submissions that it owns are
// handed over, and Run returns after drainDuration.
func (n *Node) Run(stop context.Context) error { return n.RunUntil(context.Background(), stop) }

// RunUntil is like Run, but ends without draining when life is done.
func (n *Node) RunUntil(life, stop context.Context) error {
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	n.cfg.Logger.Info("start", "start", n.startID, "address", n.cfg.Address)
	n.group.Go(func() error { return n.follower.Run(ctx) })
	n.group.Go(func() error { return n.member.run(ctx) })
	n.group.Go(func() error { return n.orders.run(ctx) })
	n.group.Go(func() error { return n.duties.run(ctx) })
	n.group.Go(func() error { return n.usage.run(ctx) })
	n.group.Go(func() error { return n.quarantine.Run(ctx) })
	err := n.controlLoop(ctx, stop)
	cancel()
	cancelledAt := time.Now()
	_ = n.group.Wait() // all functions of the group return when ctx is done, with nil
	n.cfg.Logger.Info("stop", "start", n.startID, "waited", time.Since(cancelledAt))
	return err
}

// enqueue sends ev to the control goroutine.
func (n *Node) enqueue(ctx context.Context, ev any) {
	select {
	case n.events <- ev:
	case <-ctx.Done():
	}
}

// controlLoop owns the control state: it reduces events and executes the effects.
func (n *Node) controlLoop(ctx, stop context.Context) error {
	s := newState(n.cfg.Name, n.startID, n.cfg.Decoder, n.cfg.SubmissionRetention)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	stopped := stop.Done()
	var deadline <-chan time.Time
	var gaugedAt time.Time
	for {
		var ev any
		select {
		case ev = <-n.events:
		case at := <-ticker.C:
			ev = tick{At: at, Relays: n.follower.IsRelay()}
			if at.Sub(gaugedAt) >= gaugePeriod {
				gaugedAt = at
				n.observer.state(s)
			}
		case <-stopped:
			stopped = nil
			n.draining.Store(true)
			n.cfg.Logger.Info("draining", "owned", len(s.running))
			deadline = time.After(drainDuration(n.cfg.ShutdownGrace))
			ev = drain{}
		case <-deadline:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, eff := range s.reduce(ev) {
			eff.execute(ctx, n)
		}
	}
}

// drainDuration returns how long a node drains. Callers go on using its address for
// seconds, and requests in flight need the rest of the grace period.
func drainDuration(grace time.Duration) time.Duration { return grace * 6 / 8 }

func randomFloat() float64 { return rand.Float64() }

// reachableSince returns the time since which the store has been reachable without a
// break.
func (n *Node) reachableSince() time.Time {
	if at := n.reachableSinceNanos.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return n.startedAt
}

// configurationVersion returns the version of the configuration in force, 0 if there is
// none.
func (n *Node) configurationVersion() uint64 {
	if t := n.table.Load(); t != nil {
		return t.Version
	}
	return 0
}
