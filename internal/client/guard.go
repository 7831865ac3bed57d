// Package client limits what the clients of a process may hold and for how long: the bytes of a
// request's head, the memory that heads take together, the time for heads, bodies and responses,
// and the number of connections at each address. One Guard does it for all addresses that the
// process listens on.
//
// A connection that exceeds a limit is closed. Requests that have been received completely are
// served: a connection is closed for room, or because its client is slow, only before that or
// when the client does not read the response.
package client

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/holding"
	"github.com/zinnialadder/zinnialadder/pkg/option"
)

const (
	// headMemoryFraction is the fraction of the process's memory limit that parsed heads may
	// take beyond headReserve each.
	headMemoryFraction = 0.125
	// headReserve is how much memory, in bytes, a head may take whatever others take, so that
	// ordinary requests are not refused because of large heads.
	headReserve = 8 << 10
	// headRate is how often per second the memory for heads may be taken. What a head has
	// taken is garbage after its request, and must not arise faster than it is collected.
	headRate = 8
	// headBurstFraction is the fraction of the memory for heads that may be taken at once.
	headBurstFraction = 0.25
	// maxHeadDelay limits for how long one part of a head waits because of headRate.
	maxHeadDelay = 500 * time.Millisecond
	// headClientShare is the share of the memory for heads that one client's address may have
	// while others hold or request some of it.
	headClientShare = 0.5
	// lineCost is an upper estimate of the memory that a header line takes beside its bytes,
	// once it is parsed and copied for an upstream.
	lineCost = 64
	// headSlack is how many bytes beyond the limit of a head are accepted, because what is read
	// at once may hold the end of a head and the beginning of its body.
	headSlack = 4 << 10

	// defaultHeaderBytes limits heads unless the operator sets a limit.
	defaultHeaderBytes = 1 << 20
	// timeoutSlack is added to the operator's limits on times for delays on the way.
	timeoutSlack = 2 * time.Second
	// defaultHeaderTimeout limits the time for a head unless the operator's limit is longer.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept unless the operator sets a limit.
	defaultIdleTimeout = 2 * time.Minute
	// limitsRetention is how long a limit still applies that a new configuration has narrowed,
	// to clients that know the one before.
	limitsRetention = 2 * time.Minute

	// bodyTimeout limits the time for a body, and minBodyRate, in bytes per second, adds time
	// for what has arrived of it.
	bodyTimeout = 30 * time.Second
	minBodyRate = 16 << 10
	// writeTimeout limits the time in which a client accepts writeChunk bytes of a response.
	writeTimeout = 15 * time.Second
	writeChunk   = 64 << 10
	// minWriteStall is the time after which a client that accepts nothing of a response may be
	// disconnected to make room.
	minWriteStall = time.Second

	// sweepInterval is how often the time limits are checked.
	sweepInterval = time.Second
)

// Limits are the operator's limits on requests. Zero fields mean the defaults: heads of 1 MiB,
// 5 s for a head, and 2 minutes for an idle connection. 2 s are added to the times for delays on
// the way; the time for a head is at least 5 s.
type Limits struct {
	HeaderBytes   int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// GuardConfig configures a Guard.
type GuardConfig struct {
	MemoryLimit int64 // of the process, in bytes; parsed heads may take an eighth of it, and all of it in a second
	// Limits returns the operator's limits, or nothing if they are not known yet. Limits that
	// become narrower apply two minutes later. Nil means that there are none.
	Limits  func() option.Of[Limits]
	Metrics metrics.Registry
	Logger  *log.Logger
}

// Guard limits what clients hold. Use NewGuard to create one. It is safe for concurrent use.
type Guard struct {
	cfg   GuardConfig
	heads *holding.Budget[netip.Addr] // by the client's address
	pace  *rate.Limiter               // of what heads take beyond headReserve

	mu         sync.Mutex
	listeners  []*Listener
	current    Limits
	known      bool // the operator's limits
	superseded []supersededLimits
}

// supersededLimits are limits that apply until a time although there are newer ones.
type supersededLimits struct {
	Limits
	until time.Time
}

// NewGuard returns a Guard without listeners and registers a gauge of the memory of heads. The caller
// must call Run for its time limits.
func NewGuard(cfg GuardConfig) *Guard {
	memory := headMemoryFraction * float64(cfg.MemoryLimit)
	g := &Guard{
		cfg:   cfg,
		heads: holding.New[netip.Addr](holding.Config{Limit: int64(memory), Reserve: headReserve, CustomerShare: headClientShare}),
		pace:  rate.NewLimiter(rate.Limit(headRate*memory), int(headBurstFraction*memory)),
	}
	metrics.NewRegisteredFunctionalGauge("clients.heads.bytes", cfg.Metrics, func() int64 { return g.heads.Stats().Bytes })
	return g
}

// Run checks the time limits of connections until ctx is done.
func (g *Guard) Run(ctx context.Context) error {
	for clock.Sleep(ctx, sweepInterval) {
		g.Sweep(time.Now())
	}
	return nil
}

// Sweep ends what has exceeded its time limit at now, on all connections.
func (g *Guard) Sweep(now time.Time) {
	g.mu.Lock()
	listeners := append([]*Listener(nil), g.listeners...)
	g.mu.Unlock()
	limits, _ := g.limits(now)
	for _, l := range listeners {
		l.sweep(now, limits)
	}
}

// limits returns the limits that apply at now, and whether the operator's are known.
func (g *Guard) limits(now time.Time) (applied Limits, known bool) {
	var configured option.Of[Limits]
	if g.cfg.Limits != nil {
		configured = g.cfg.Limits()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := configured.Get(); ok {
		if g.known && l != g.current {
			g.superseded = append(g.superseded, supersededLimits{Limits: g.current, until: now.Add(limitsRetention)})
		}
		g.current, g.known = l, true
	}
	applied = g.current.withDefaults()
	kept := g.superseded[:0]
	for _, s := range g.superseded {
		if now.Before(s.until) {
			kept = append(kept, s)
			applied = applied.widened(s.withDefaults())
		}
	}
	g.superseded = kept
	return applied, g.known
}

// paceHead returns how long a head waits before it takes more memory, in bytes. It fails if that is
// longer than maxHeadDelay.
func (g *Guard) paceHead(size int64, now time.Time) (time.Duration, error) {
	r := g.pace.ReserveN(now, min(int(size), g.pace.Burst()))
	delay := r.DelayFrom(now)
	if delay > maxHeadDelay {
		r.CancelAt(now)
		return 0, errHeadRate
	}
	return delay, nil
}

var errHeadRate = errors.New("client: large heads arrive too fast")

// withDefaults returns l with the default instead of each zero field.
func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	l.HeaderTimeout = max(l.HeaderTimeout+timeoutSlack, defaultHeaderTimeout)
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	l.IdleTimeout += timeoutSlack
	return l
}

// widened returns the wider of each of the limits l and other.
func (l Limits) widened(other Limits) Limits {
	return Limits{HeaderBytes: max(l.HeaderBytes, other.HeaderBytes), HeaderTimeout: max(l.HeaderTimeout, other.HeaderTimeout), IdleTimeout: max(l.IdleTimeout, other.IdleTimeout)}
}
