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

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/admission"
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/delivery"
	"github.com/zinnialadder/zinnialadder/pkg/health"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/retry"
	"github.com/zinnialadder/zinnialadder/pkg/route"
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

// Instance is a running entry instance. Create it with New and start it
// with Run.
type Instance struct {
	cfg    Config
	self   Member
	timing control.Timing
	view   atomic.Pointer[View]
	events chan control.Event
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
	load       admission.InFlight
	paces      *health.TokenTimes
	health     *health.Tracker
	retries    *retry.Budget
	peers      *peer.Hints
	// life tells this process from earlier ones with the same ID, and
	// attempts numbers its claims on non-idempotent calls.
	life     string
	attempts atomic.Uint64
	samples  *delivery.Sender
	// quarantine is what is known of requests that crash upstreams.
	quarantine *quarantine.Syncer
	stats      *counters
	keepers    sync.Map // pool → its *lease.Keeper
}

// New checks cfg and returns an Instance that is not yet serving.
func New(cfg Config) (*Instance, error) {
	cfg.setDefaults()
	if cfg.ID == "" || cfg.DataCentre == "" || cfg.Listen == "" || cfg.Platform == nil {
		return nil, errors.New("entry: ID, DataCentre, Listen and Platform are required")
	}
	in := &Instance{
		cfg:  cfg,
		self: Member{ID: cfg.ID, Address: cfg.Advertise, PeerAddress: cfg.PeerAdvertise, DataCentre: cfg.DataCentre},
		timing: control.Timing{Refresh: cfg.Refresh, FullScan: cfg.FullReadInterval, LeaseTTL: cfg.LeaseTTL, ShardTTL: cfg.ShardLeaseTTL,
			Reports: cfg.ReportInterval, ReportBudget: cfg.ReportBudget, Sweep: cfg.SweepInterval, SweepGrace: cfg.SweepGrace, Purge: cfg.PurgeInterval,
			Steps: cfg.StepRefresh,
			Rollout: weights.Config{SendMargin: cfg.RolloutLeaseTTL / 10, OrderTimeout: cfg.OrderTimeout,
				RetryDelay: cfg.RolloutPollInterval, ReportLag: cfg.ReportLag},
			RolloutRenew: cfg.RolloutLeaseTTL / control.RenewalsPerTTL, RolloutProbe: cfg.RolloutPollInterval, RolloutCheck: cfg.PoolPollInterval},
		events:     make(chan control.Event, 64),
		http:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}},
		reportHTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: reportIdleTimeout}},
		policy:     route.Policy{Slack: affinitySlack},
		health:     health.NewTracker(cfg.Health),
		paces:      health.NewTokenTimes(cfg.SlowFrom),
		retries:    retry.NewBudget(retryRatio, retryBurst),
		stats:      newCounters(cfg.Metrics),
		life:       newLife(),
	}
	in.stepsCtx, in.stopSteps = context.WithCancel(context.Background())
	in.sendsCtx, in.leaveSends = context.WithCancel(context.Background())
	in.view.Store(control.New(in.self, in.timing).View)
	in.peers = newLinks(in)
	in.quarantine = newQuarantine(in)
	in.samples = delivery.NewSender(delivery.Config{Platform: cfg.Platform, Clock: cfg.Clock, Logger: cfg.Logger, HTTP: in.http,
		View: in.View, NewAttemptID: in.attempt, SendContext: in.sendsCtx, Counters: in.stats.delivery,
		Go: func(f func() error) { in.sends.Go(f) }})
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
	g.Go(func() error { return in.peers.Serve(gctx) })
	g.Go(func() error { return in.quarantine.Run(gctx) })
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

// drain tells callers for a while to move, stops new work, and waits for
// requests in flight.
func (in *Instance) drain(srv *http.Server) {
	in.events <- control.DrainStarted{}
	in.cfg.Logger.Info("shutdown begun; finishing requests in flight", "in_flight", in.load.Total(entryPlace))
	in.stopSteps()
	time.Sleep(in.cfg.DrainNotice)
	_ = srv.Shutdown(context.Background())
	_ = in.steps.Wait()
	leave := time.AfterFunc(drainSends, in.leaveSends)
	defer leave.Stop()
	_ = in.sends.Wait()
	in.cfg.Logger.Info("shutdown done")
}

// attempt returns a name that no other attempt of any instance has.
func (in *Instance) attempt() string {
	return fmt.Sprintf("%s/%s/%d", in.cfg.ID, in.life, in.attempts.Add(1))
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
