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

// Defaults of step.Policy, see docs/design/steps.md.
const (
	defaultHedgeFactor = 2.0
	defaultHedgeAfter  = 8
)

// Config configures an Instance.
type Config struct {
	ID         string // unique among entry instances
	DataCentre string
	Listen     string // caller-facing HTTP address, such as "127.0.0.1:7400"
	Advertise  string // address callers are told to use; default Listen
	PeerListen string // address of the peer protocol; empty for none
	// PeerAdvertise is the address other instances connect to; default
	// PeerListen.
	PeerAdvertise string
	// PeerKeepAlive is the period of keepalives on peer links; a link that
	// does not answer one is closed. Default 5s.
	PeerKeepAlive time.Duration
	// Listener and PeerListener, if set, are used in place of listening
	// on Listen and PeerListen.
	Listener     net.Listener
	PeerListener net.Listener

	Platform *platform.Client
	Clock    clock.Clock      // default clock.System
	Logger   *log.Logger      // default log.Default()
	Metrics  metrics.Registry // default a new registry

	Tick             time.Duration // control loop period; default 100ms
	Refresh          time.Duration // catalogue and membership reads; default 1s
	LeaseTTL         time.Duration // membership lease; default 5s
	ReportInterval   time.Duration // period of load report rounds; default 1s
	ReportBudget     int           // load reports read per round; default 6
	FullReadInterval time.Duration // whole catalogue read even if unchanged; default 30m
	PlatformTimeout  time.Duration // per platform call; default 2s
	UpstreamTimeout  time.Duration // per upstream request without a caller deadline; default 60s
	// IdleTimeout is how long an engine stream may send nothing before the
	// connection is taken for dead and the generation moves on; default 5s.
	IdleTimeout time.Duration
	// SweepInterval is the period at which one instance, holding the
	// sweeper lease, sends samples whose records were left behind; a
	// record is left alone for SweepGrace after it was made. Defaults 5s
	// and 10s.
	SweepInterval time.Duration
	SweepGrace    time.Duration
	// RolloutLeaseTTL is the time of the lease under which one instance
	// orders a pool's engines to load weights; default 3s.
	RolloutLeaseTTL     time.Duration
	OrderTimeout        time.Duration // per load order; default 15s
	ReportLag           time.Duration // how far load reports may lag; default 500ms
	RolloutPollInterval time.Duration // report reads of engines being rolled; default 250ms
	PoolPollInterval    time.Duration // report reads of a whole pool; default 10s
	// StepPolicy says how stragglers of training steps are treated; its
	// MaxRunning is taken from the catalogue entry's limit.
	StepPolicy    step.Policy
	MaxInFlight   int // requests at once, over all entries; default 512
	Health        health.Config
	SlowFrom      float64       // times the median's time from which an engine is slow; see health.NewPaces
	ShardGroups   int           // groups of a step that one instance runs; default 64
	ShardLeaseTTL time.Duration // lease of a step's shard; default 3s
	StepTick      time.Duration // period of a shard's decisions; default 25ms
	StepRefresh   time.Duration // reads of the steps kept; default 2s
	// StepRetention is how long a closed step can still be asked about;
	// default 10m.
	StepRetention time.Duration
	// MemberRetention is how long after its lease ran out a member's row is
	// kept; default 10m. Rows and steps past their time are removed every
	// PurgeInterval; default 5m.
	MemberRetention time.Duration
	PurgeInterval   time.Duration
	// DrainNotice is how long a draining instance keeps listening, to tell
	// callers to move; default 1s.
	DrainNotice time.Duration
	RouteTTL    time.Duration // how long callers may cache a route answer; default 30s
}

// setDefaults fills in what was left out.
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
		c.Platform = c.Platform.WithTimeout(c.PlatformTimeout) // a slow platform gives callers a prompt refusal
	}
}

func (c *Config) setTimes() {
	orDefault(&c.Tick, 100*time.Millisecond)
	orDefault(&c.Refresh, time.Second)
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
	orDefault(&c.StepTick, 25*time.Millisecond)
	orDefault(&c.StepRefresh, 2*time.Second)
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
