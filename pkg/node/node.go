// Package node is an instance that runs on the users' platform: it keeps what
// it knows up to date from the platform's store, forwards callers' requests,
// runs the submissions that it owns and, while it holds the lease for that,
// orders engines to load weights.
//
// One goroutine owns the control state: it reduces events to effects, which
// others carry out. Requests read snapshots that the effects publish.
package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
	"github.com/zinnialadder/zinnialadder/pkg/watch"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// UpstreamClient speaks to upstreams.
type UpstreamClient interface {
	forward.Transport
	forward.Opener
	submission.Generator
	weights.OrderClient
	// NotListening reports whether nothing listens at an upstream's address.
	NotListening(ctx context.Context, e upstream.Entry) bool
}

// Decoder reads the rows that the platform's operators, trainers and
// upstreams write.
type Decoder struct {
	OperatorTable string // the configuration and the versions named
	EntriesTable  string // the upstreams' entries

	Configuration func(platform.Row) (t *routetable.Table, ok bool, err error)
	TargetVersion func(platform.Row) (model string, version uint64, ok bool)
	Entry         func(platform.Row) (upstream.Entry, error)
	// RedactKeys returns a row of the operator's without callers' keys.
	RedactKeys func(platform.Row) platform.Row
	// EntryDigest returns the same number for rows of one upstream that tell the same
	// Entry, without reading them whole: nearly all writes are heartbeats that change
	// nothing else. It returns 0 for a row that is to be read. Nil for always 0.
	EntryDigest func(platform.Row) uint64
}

// StoreReachability tells whether a way leads to the store.
type StoreReachability interface {
	Unreachable() bool
	// WhileReachable returns a context that ends when no way leads to the store.
	WhileReachable(ctx context.Context) (context.Context, context.CancelFunc)
}

// alwaysReached is the Reach of a store that is never lost.
type alwaysReached struct{}

func (alwaysReached) Unreachable() bool { return false }

func (alwaysReached) WhileReachable(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

// Config configures a Node.
type Config struct {
	Name       string
	DataCentre string
	Address    string  // where callers connect
	Cores      float64 // processor cores that the instance has
	// PeerAddress is where other instances connect; empty for nowhere.
	PeerAddress string
	Store       platform.Store
	// Dial opens a link to another instance to follow tables through it; nil if each
	// instance reads them from the store.
	Dial                watch.Dial
	StoreReachability   StoreReachability // nil for a store that is never lost
	Upstreams           UpstreamClient
	Decoder             Decoder
	Logger              *log.Logger
	Metrics             metrics.Registry // counters and timers; nil for ones that nobody reads
	MaxRowBytes         int              // largest value of a row of the store, in bytes
	MinHolderInterval   time.Duration    // holders of orders must not alternate within it
	SubmissionRetention time.Duration    // submissions are kept so long after their acceptance; 0 for ever
	ShutdownGrace       time.Duration    // from the request to stop until the process is killed
	// CloudProvider takes the site's reports of use and orders of engines; nil for none.
	CloudProvider CloudProvider
	// Calendar is that of the reports of use; zero if none are wanted.
	Calendar usage.Schedule
}

const (
	// gaugePeriod is how often the gauges of the control state are set.
	gaugePeriod = time.Second
	// tickPeriod is how often the control state looks at the time.
	tickPeriod = 100 * time.Millisecond
	// eventQueue is how many events may wait for the control goroutine.
	eventQueue = 256
)

// Node is one instance. Call New, then Run.
type Node struct {
	cfg       Config
	start     string // identifies this start of the instance
	log       submission.Repository
	registry  *upstream.Registry
	forwarder *forward.Forwarder
	events    chan any
	group     errgroup.Group

	table    atomic.Pointer[routetable.Table]
	ready    atomic.Bool // what callers need is known
	draining atomic.Bool
	heads    headIndex
	readers  *readers
	observer *observer
	member   *memberRow
	orders   *orderSender
	dealer   *dealer
	follower *watch.Follower
	told     toldMembers
	duties   *duties
	usage    *teller
	begunAt  time.Time
	// reachedAt is since when the store has been reached without a break, as a Unix
	// nanosecond; 0 from the start on.
	reachedAt atomic.Int64
	// openItems are the texts of open submissions, by pool.
	openItems atomic.Pointer[map[string]int]
	// upstreams is how many upstreams there are.
	upstreams atomic.Int64
	// quarantine is what is known of requests that crash upstreams.
	quarantine *quarantine.Syncer
	named      atomic.Pointer[map[string]uint64]
	standing   atomic.Pointer[standing] // among the members; nil while none are known
	// membersCurrent means that what standing tells is recent enough for callers.
	membersCurrent atomic.Bool
}

// New returns a Node.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, start: membership.StartID(cfg.Name, time.Now()), begunAt: time.Now(), registry: upstream.NewRegistry(cfg.DataCentre),
		log: submission.Repository{Store: cfg.Store, MaxRow: cfg.MaxRowBytes}, events: make(chan any, eventQueue)}
	if n.cfg.Metrics == nil {
		n.cfg.Metrics = metrics.NewRegistry()
	}
	if n.cfg.StoreReachability == nil {
		n.cfg.StoreReachability = alwaysReached{}
	}
	n.observer = newObserver(n)
	n.quarantine = newQuarantine(n)
	n.forwarder = forward.New(forward.Config{Transport: cfg.Upstreams, Opener: cfg.Upstreams, Registry: n.registry, Affinity: cfg.Name, Guard: n.quarantine.Guard, OnAttempt: n.observer.attempt})
	n.heads.init()
	n.readers = newReaders(n)
	n.member = &memberRow{node: n, wake: clock.NewWakeup()}
	n.orders = newOrderSender(n)
	n.dealer = newDealer(n)
	n.duties = newDuties(n)
	n.usage = newTeller(n)
	n.follower = newFollower(n)
	n.told = toldMembers{}
	return n
}

// Run runs the node until stop ends, then drains it: what it owns is handed
// over, and Run returns after drainTime.
func (n *Node) Run(stop context.Context) error { return n.RunUntil(context.Background(), stop) }

// RunUntil is Run for a node that ends without draining when life ends.
func (n *Node) RunUntil(life, stop context.Context) error {
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	n.cfg.Logger.Info("start", "start", n.start, "address", n.cfg.Address)
	n.group.Go(func() error { return n.follower.Run(ctx) })
	n.group.Go(func() error { return n.member.keep(ctx) })
	n.group.Go(func() error { return n.orders.keep(ctx) })
	n.group.Go(func() error { return n.duties.keep(ctx) })
	n.group.Go(func() error { return n.usage.keep(ctx) })
	n.group.Go(func() error { return n.quarantine.Run(ctx) })
	err := n.control(ctx, stop)
	cancel()
	_ = n.group.Wait() // its functions end with ctx
	n.cfg.Logger.Info("stop", "start", n.start)
	return err
}

// tell hands ev to the control goroutine.
func (n *Node) tell(ctx context.Context, ev any) {
	select {
	case n.events <- ev:
	case <-ctx.Done():
	}
}

// control owns the control state.
func (n *Node) control(ctx, stop context.Context) error {
	s := newState(n.cfg.Name, n.start, n.cfg.Decoder, n.cfg.SubmissionRetention)
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
			deadline = time.After(drainTime(n.cfg.ShutdownGrace))
			ev = drain{}
		case <-deadline:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, eff := range s.reduce(ev) {
			eff.carryOut(ctx, n)
		}
	}
}

// drainTime is when a node that is told to stop ends: callers go on using its
// address for seconds, and requests under way need the rest of the grace.
func drainTime(grace time.Duration) time.Duration { return grace * 6 / 8 }

func draw() float64 { return rand.Float64() }

// reachedSince returns since when the store has been reached without a break.
func (n *Node) reachedSince() time.Time {
	if at := n.reachedAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return n.begunAt
}

// configurationVersion returns the version in force, 0 for none.
func (n *Node) configurationVersion() uint64 {
	if t := n.table.Load(); t != nil {
		return t.Version
	}
	return 0
}
