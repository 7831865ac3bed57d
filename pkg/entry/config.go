package entry

import (
	"net"
	"time"

	"github.com/charmbracelet/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/health"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// Defaults of step.Policy. docs/design/steps.md explains them.
const (
	defaultHedgeFactor = 2.0
	defaultHedgeAfter  = 8
)

// Config configures an Instance.
type Config struct {
	ID         string // unique among entry instances
	DataCentre string
	Listen     string // caller-facing HTTP address, such as "127.0.0.1:7400"
	Advertise  string // address that callers are given; default Listen
	PeerListen string // listen address of the peer protocol; empty disables it
	// PeerAdvertise is the address that other instances connect to. The default is
	// PeerListen.
	PeerAdvertise string
	// PeerKeepAlive is the interval of keepalives on peer connections. A connection on
	// which a keepalive is not acknowledged is closed. The default is 5s.
	PeerKeepAlive time.Duration
	// Listener and PeerListener, if set, are used instead of listening on Listen and
	// PeerListen.
	Listener     net.Listener
	PeerListener net.Listener

	Platform *platform.Client
	Clock    clock.Clock      // default clock.System
	Logger   *log.Logger      // default log.Default()
	Metrics  metrics.Registry // default a new registry

	TickInterval     time.Duration // interval of the control loop; default 100ms
	RefreshInterval  time.Duration // interval of catalogue and membership reads; default 1s
	LeaseTTL         time.Duration // duration of the membership lease; default 5s
	ReportInterval   time.Duration // interval of load report reads; default 1s
	ReportBudget     int           // load reports read per ReportInterval; default 6
	FullReadInterval time.Duration // interval of full catalogue reads, made even if nothing changed; default 30m
	PlatformTimeout  time.Duration // timeout of a platform call; default 2s
	UpstreamTimeout  time.Duration // timeout of requests for which the caller sets none; default 60s
	// IdleTimeout is how long an engine's stream may be silent before the engine is checked
	// on another connection. If the check does not explain the silence, the generation is
	// retried elsewhere. The default is 5s.
	IdleTimeout time.Duration
	// SweepInterval is the interval at which the holder of the sweeper lease sends samples
	// whose records other instances left behind. The default is 5s.
	SweepInterval time.Duration
	SweepGrace    time.Duration // minimum age of a record for it to be swept; default 10s
	// RolloutLeaseTTL is the duration of the lease under which one instance orders the
	// engines of a pool to load weights. The default is 3s.
	RolloutLeaseTTL     time.Duration
	OrderTimeout        time.Duration // timeout of a load order; default 15s
	ReportLag           time.Duration // maximum age of the state that a load report describes; default 500ms
	RolloutPollInterval time.Duration // interval of report reads from engines not yet at the target version; default 250ms
	PoolPollInterval    time.Duration // interval of report reads from all engines of a pool; default 10s
	// StepPolicy sets how slow generations of training steps are handled. Its MaxRunning is
	// set to the limit of the catalogue entry.
	StepPolicy          step.Policy
	MaxInFlight         int // limit of concurrent requests over all entries; default 512
	Health              health.Config
	SlowFactor          float64       // multiple of the usual token time from which an engine is slow; see health.NewTokenTimes
	ShardGroups         int           // groups of a step in one shard; default 64
	ShardLeaseTTL       time.Duration // duration of the lease of a step's shard; default 3s
	StepTickInterval    time.Duration // interval of a shard's control loop; default 25ms
	StepRefreshInterval time.Duration // interval of reads of the stored steps; default 2s
	// StepRetention is how long the status of a closed step can be read. The default is
	// 10m.
	StepRetention time.Duration
	// MemberRetention is how long the row of a member is kept after its lease expired. The
	// default is 10m.
	MemberRetention time.Duration
	PurgeInterval   time.Duration // interval of deletions of expired rows and steps; default 5m
	// DrainNotice is how long a draining instance keeps listening to redirect callers. The
	// default is 1s.
	DrainNotice time.Duration
	RouteTTL    time.Duration // how long callers may cache a RouteResponse; default 30s
}

// setDefaults sets fields that are zero to their defaults.
func (c *Config) setDefaults() {
	c.setTimes()
	c.setCounts()
	c.setAddresses()
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = log.Default()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Platform != nil {
		c.Platform = c.Platform.WithTimeout(c.PlatformTimeout) // requests are rejected promptly if the platform is slow
	}
}

func (c *Config) setTimes() {
	orDefault(&c.TickInterval, 100*time.Millisecond)
	orDefault(&c.RefreshInterval, time.Second)
	orDefault(&c.LeaseTTL, 5*time.Second)
	orDefault(&c.ReportInterval, time.Second)
	orDefault(&c.PlatformTimeout, 2*time.Second)
	orDefault(&c.UpstreamTimeout, 60*time.Second)
	orDefault(&c.DrainNotice, time.Second)
	orDefault(&c.RouteTTL, 30*time.Second)
	orDefault(&c.FullReadInterval, 30*time.Minute)
	orDefault(&c.PurgeInterval, 5*time.Minute)
	orDefault(&c.MemberRetention, 10*time.Minute)
	orDefault(&c.IdleTimeout, 5*time.Second)
	orDefault(&c.SweepInterval, 5*time.Second)
	orDefault(&c.SweepGrace, 10*time.Second)
	orDefault(&c.RolloutLeaseTTL, 3*time.Second)
	orDefault(&c.OrderTimeout, 15*time.Second)
	orDefault(&c.ReportLag, 500*time.Millisecond)
	orDefault(&c.RolloutPollInterval, 250*time.Millisecond)
	orDefault(&c.PoolPollInterval, 10*time.Second)
	orDefault(&c.ShardLeaseTTL, 3*time.Second)
	orDefault(&c.StepTickInterval, 25*time.Millisecond)
	orDefault(&c.StepRefreshInterval, 2*time.Second)
	orDefault(&c.StepRetention, 10*time.Minute)
	orDefault(&c.StepPolicy.RetryDelay, 200*time.Millisecond)
	orDefault(&c.PeerKeepAlive, 5*time.Second)
}

func (c *Config) setCounts() {
	orDefault(&c.ReportBudget, 6)
	orDefault(&c.MaxInFlight, 512)
	orDefault(&c.ShardGroups, 64)
	orDefault(&c.StepPolicy.HedgeFactor, defaultHedgeFactor)
	orDefault(&c.StepPolicy.HedgeAfter, defaultHedgeAfter)
}

func (c *Config) setAddresses() {
	if c.Listener != nil {
		c.Listen = c.Listener.Addr().String()
	}
	if c.PeerListener != nil {
		c.PeerListen = c.PeerListener.Addr().String()
	}
	orDefault(&c.PeerAdvertise, c.PeerListen)
	orDefault(&c.Advertise, c.Listen)
}

// orDefault sets *v to def if it is zero.
func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
