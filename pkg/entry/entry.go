// Package entry is an entry instance: it answers callers over HTTP, picks
// the upstream for each request from the catalogue, forwards it, returns
// the whole answer with a verdict, and turns training answers into
// samples delivered to their trainers.
//
// Callers first ask GET /v1/route which instance to use, cache the answer
// until its expires_at, and connect there themselves; no balancer stands
// in front.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/health"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/retry"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

const memberPrefix = "member/"

// reportIdleTimeout is how long a connection for load reports is kept: long
// enough to serve the next report where engines are few.
const reportIdleTimeout = 3 * time.Second

// The retry budget: a fifth of the requests, and what is saved up.
const (
	retryRatio = 0.2
	retryBurst = 100
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

	Tick            time.Duration // control loop period; default 100ms
	Refresh         time.Duration // catalogue and membership reads; default 1s
	LeaseTTL        time.Duration // membership lease; default 5s
	ReportInterval  time.Duration // period of load report rounds; default 1s
	ReportBudget    int           // load reports read per round; default 6
	FullScan        time.Duration // whole catalogue read even if unchanged; default 30m
	PlatformTimeout time.Duration // per platform call; default 2s
	UpstreamTimeout time.Duration // per upstream request without a caller deadline; default 60s
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
	RolloutLeaseTTL time.Duration
	OrderTimeout    time.Duration // per load order; default 15s
	ReportLag       time.Duration // how far load reports may lag; default 500ms
	RolloutProbe    time.Duration // report reads of engines being rolled; default 250ms
	RolloutCheck    time.Duration // report reads of a whole pool; default 10s
	// StepPolicy says how stragglers of training steps are treated; its
	// MaxRunning is taken from the catalogue entry's limit.
	StepPolicy    step.Policy
	MaxInFlight   int // requests at once, over all entries; default 512
	Health        health.Config
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
	RouteTTL        time.Duration // how long callers may cache a route answer; default 30s
}

func (c *Config) setDefaults() {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&c.Tick, 100*time.Millisecond)
	def(&c.Refresh, time.Second)
	def(&c.LeaseTTL, 5*time.Second)
	def(&c.ReportInterval, time.Second)
	def(&c.PlatformTimeout, 2*time.Second)
	def(&c.UpstreamTimeout, 60*time.Second)
	def(&c.RouteTTL, 30*time.Second)
	def(&c.FullScan, 30*time.Minute)
	def(&c.PurgeInterval, 5*time.Minute)
	def(&c.MemberRetention, 10*time.Minute)
	def(&c.IdleTimeout, 5*time.Second)
	def(&c.SweepInterval, 5*time.Second)
	def(&c.SweepGrace, 10*time.Second)
	def(&c.RolloutLeaseTTL, 3*time.Second)
	def(&c.OrderTimeout, 15*time.Second)
	def(&c.ReportLag, 500*time.Millisecond)
	def(&c.RolloutProbe, 250*time.Millisecond)
	def(&c.RolloutCheck, 10*time.Second)
	def(&c.ShardLeaseTTL, 3*time.Second)
	def(&c.StepTick, 25*time.Millisecond)
	def(&c.StepRefresh, 2*time.Second)
	def(&c.StepRetention, 10*time.Minute)
	def(&c.StepPolicy.RetryDelay, 200*time.Millisecond)
	if c.StepPolicy.HedgeFactor == 0 {
		c.StepPolicy.HedgeFactor, c.StepPolicy.HedgeAfter = defaultHedgeFactor, defaultHedgeAfter
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = 512
	}
	if c.ShardGroups == 0 {
		c.ShardGroups = 64
	}
	if c.ReportBudget == 0 {
		c.ReportBudget = 6
	}
	if c.Listener != nil {
		c.Listen = c.Listener.Addr().String()
	}
	if c.PeerListener != nil {
		c.PeerListen = c.PeerListener.Addr().String()
	}
	if c.PeerAdvertise == "" {
		c.PeerAdvertise = c.PeerListen
	}
	def(&c.PeerKeepAlive, 5*time.Second)
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = log.Default()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}

// Instance is a running entry instance. Create it with New and start it
// with Run.
type Instance struct {
	cfg    Config
	self   Member
	timing timing
	view   atomic.Pointer[View]
	events chan event
	group  *errgroup.Group
	sends  errgroup.Group // sample sends after their requests answered
	steps  errgroup.Group // shards of training steps
	// stepsCtx ends when the instance drains: its shards go to others.
	stepsCtx  context.Context
	stopSteps context.CancelFunc
	// leaveSends ends the sends of recorded samples; others send them.
	sendsCtx   context.Context
	leaveSends context.CancelFunc
	http       *http.Client
	reportHTTP *http.Client // for load reports: its connections are kept briefly, as engines are many
	policy     route.Policy
	load       inFlight
	health     *health.Tracker
	retries    *retry.Budget
	peers      *peers
	// life tells this process from earlier ones with the same ID, and
	// attempts numbers its claims on non-idempotent calls.
	life     string
	attempts atomic.Uint64
	stats    *counters
	keepers  sync.Map // pool → its *lease.Keeper
}

// New checks cfg and returns an Instance that is not yet serving.
func New(cfg Config) (*Instance, error) {
	cfg.setDefaults()
	if cfg.ID == "" || cfg.DataCentre == "" || cfg.Listen == "" || cfg.Platform == nil {
		return nil, errors.New("entry: ID, DataCentre, Listen and Platform are required")
	}
	in := &Instance{
		cfg:  cfg,
		self: Member{ID: cfg.ID, Address: cfg.Advertise, Peer: cfg.PeerAdvertise, DataCentre: cfg.DataCentre},
		timing: timing{refresh: cfg.Refresh, fullScan: cfg.FullScan, leaseTTL: cfg.LeaseTTL, renew: cfg.LeaseTTL / 3,
			reports: cfg.ReportInterval, reportBudget: cfg.ReportBudget, sweep: cfg.SweepInterval, sweepGrace: cfg.SweepGrace, purge: cfg.PurgeInterval,
			steps: cfg.StepRefresh,
			rollout: weights.Config{SendMargin: cfg.RolloutLeaseTTL / 10, OrderTimeout: cfg.OrderTimeout,
				RetryDelay: cfg.RolloutProbe, ReportLag: cfg.ReportLag},
			rolloutRenew: cfg.RolloutLeaseTTL / 3, rolloutProbe: cfg.RolloutProbe, rolloutCheck: cfg.RolloutCheck},
		events:     make(chan event, 64),
		http:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}},
		reportHTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: reportIdleTimeout}},
		policy:     route.Policy{Slack: 2},
		health:     health.NewTracker(cfg.Health),
		retries:    retry.NewBudget(retryRatio, retryBurst),
		stats:      newCounters(cfg.Metrics),
		life:       newLife(),
	}
	in.stepsCtx, in.stopSteps = context.WithCancel(context.Background())
	in.sendsCtx, in.leaveSends = context.WithCancel(context.Background())
	in.view.Store(newState(in.self, in.timing).view)
	in.peers = newPeers(in)
	return in, nil
}

// Run serves until ctx ends, then drains: it stops taking new requests,
// tells callers to move, and waits for requests in flight to finish.
func (in *Instance) Run(ctx context.Context) error {
	ln := in.cfg.Listener
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", in.cfg.Listen); err != nil {
			return fmt.Errorf("entry: listen %s: %w", in.cfg.Listen, err)
		}
	}
	srv := &http.Server{Handler: in.Handler(), ReadHeaderTimeout: 5 * time.Second}
	ctlCtx, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	g, gctx := errgroup.WithContext(ctlCtx)
	in.group = g
	g.Go(func() error { return in.control(gctx) })
	g.Go(func() error { return in.peers.serve(gctx) })
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	in.cfg.Logger.Info("serving", "id", in.cfg.ID, "listen", ln.Addr().String(), "data_centre", in.cfg.DataCentre)
	<-ctx.Done()
	in.drain(srv)
	stopControl()
	return g.Wait()
}

// Addr returns the caller-facing address of the instance.
func (in *Instance) Addr() string { return in.cfg.Advertise }

// drainSends is how long a drain waits for trainers to acknowledge recorded
// samples before it leaves them to the instance that sweeps.
const drainSends = 2 * time.Second

// drain stops new work and waits for requests in flight.
func (in *Instance) drain(srv *http.Server) {
	in.events <- drainBegun{}
	in.cfg.Logger.Info("shutdown begun; finishing requests in flight", "in_flight", in.load.total())
	in.stopSteps()
	_ = srv.Shutdown(context.Background())
	_ = in.steps.Wait()
	leave := time.AfterFunc(drainSends, in.leaveSends)
	defer leave.Stop()
	_ = in.sends.Wait()
	in.cfg.Logger.Info("shutdown done")
}

// newLife returns a random name for this process's life.
func newLife() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Counter returns the value of the named counter of GET /metrics.
func (in *Instance) Counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, in.cfg.Metrics).Count()
}

// View returns the control state traffic is using now.
func (in *Instance) View() *View { return in.view.Load() }
