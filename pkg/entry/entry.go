// Package entry implements an entry instance. It accepts callers' requests over HTTP,
// selects an upstream for each from the catalogue, forwards the request, and returns the
// complete response with a verdict. Responses of training entries become samples, which it
// delivers to their trainers.
//
// Callers first ask GET /v1/route which instance to use, cache the response until its
// expires_at, and connect to that instance directly. There is no load balancer.
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

	"github.com/zinnialadder/zinnialadder/internal/tcp"
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

// reportIdleTimeout is how long an idle connection for load reports is kept open. If there
// are few engines, the connection is still open for the next report.
const reportIdleTimeout = 3 * time.Second

// maxResponseHeader limits the header of an upstream's or a trainer's response, in bytes. A
// faulty server may send one without end.
const maxResponseHeader = 16 << 10

// The retry budget: a fifth of the number of requests, of which up to retryBurst retries
// can be saved up.
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
	sends  errgroup.Group // sample deliveries that outlive their requests
	steps  errgroup.Group // shards of training steps
	// stepsCtx is cancelled when the instance drains. Other instances take over its shards.
	stepsCtx    context.Context
	cancelSteps context.CancelFunc
	// sendsCtx is cancelled by cancelSends to stop deliveries of recorded samples. The
	// sweeper delivers them later.
	sendsCtx    context.Context
	cancelSends context.CancelFunc
	http        *http.Client
	reportHTTP  *http.Client // for load reports; idle connections are closed soon because there are many engines
	policy      route.Policy
	load        admission.InFlight
	tokenTimes  *health.TokenTimes
	health      *health.Tracker
	retries     *retry.Budget
	peers       *peer.Hints
	// processID distinguishes this process from earlier ones with the same ID.
	processID string
	attempts  atomic.Uint64
	samples   *delivery.Sender
	// quarantine holds the fingerprints of requests that crash upstreams.
	quarantine    *quarantine.Syncer
	stats         *counters
	rolloutLeases sync.Map // pool name to *lease.Manager
}

// New checks cfg and returns an Instance that does not serve yet. It returns an error if a
// required field is missing.
func New(cfg Config) (*Instance, error) {
	cfg.setDefaults()
	if cfg.ID == "" || cfg.DataCentre == "" || cfg.Listen == "" || cfg.Platform == nil {
		return nil, errors.New("entry: ID, DataCentre, Listen and Platform are required")
	}
	dial := tcp.ResetOnClose(new(net.Dialer).DialContext)
	in := &Instance{
		cfg:  cfg,
		self: Member{ID: cfg.ID, Address: cfg.Advertise, PeerAddress: cfg.PeerAdvertise, DataCentre: cfg.DataCentre},
		timing: control.Timing{Refresh: cfg.RefreshInterval, FullReadInterval: cfg.FullReadInterval, LeaseTTL: cfg.LeaseTTL, ShardTTL: cfg.ShardLeaseTTL,
			Reports: cfg.ReportInterval, ReportBudget: cfg.ReportBudget, Sweep: cfg.SweepInterval, SweepGrace: cfg.SweepGrace, Purge: cfg.PurgeInterval,
			Steps: cfg.StepRefreshInterval,
			Rollout: weights.Config{SendMargin: cfg.RolloutLeaseTTL / 10, OrderTimeout: cfg.OrderTimeout,
				RetryDelay: cfg.RolloutPollInterval, ReportLag: cfg.ReportLag},
			RolloutRenew: cfg.RolloutLeaseTTL / control.RenewalsPerTTL, RolloutPollInterval: cfg.RolloutPollInterval, PoolPollInterval: cfg.PoolPollInterval},
		events:     make(chan control.Event, 64),
		http:       &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxResponseHeader}},
		reportHTTP: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: reportIdleTimeout, MaxResponseHeaderBytes: maxResponseHeader}},
		policy:     route.Policy{Slack: affinitySlack},
		health:     health.NewTracker(cfg.Health),
		tokenTimes: health.NewTokenTimes(cfg.SlowFactor),
		retries:    retry.NewBudget(retryRatio, retryBurst),
		stats:      newCounters(cfg.Metrics),
		processID:  newProcessID(),
	}
	in.stepsCtx, in.cancelSteps = context.WithCancel(context.Background())
	in.sendsCtx, in.cancelSends = context.WithCancel(context.Background())
	in.view.Store(control.New(in.self, in.timing).View)
	in.peers = newHints(in)
	in.quarantine = newQuarantine(in)
	in.samples = delivery.NewSender(delivery.Config{Platform: cfg.Platform, Clock: cfg.Clock, Logger: cfg.Logger, HTTP: in.http,
		View: in.View, NewAttemptID: in.newAttemptID, SendContext: in.sendsCtx, Counters: in.stats.delivery,
		Go: func(f func() error) { in.sends.Go(f) }})
	return in, nil
}

// Run serves until ctx is done and then drains: it rejects new requests, tells callers to
// use another instance, and waits for requests in flight.
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

// drainSendTimeout is how long a draining instance waits for trainers to acknowledge
// recorded samples. The sweeper delivers the rest.
const drainSendTimeout = 2 * time.Second

// drain rejects new requests, stops the shards so that other instances take them over,
// keeps listening for DrainNotice to redirect callers, and then waits for requests in
// flight and sample deliveries.
func (in *Instance) drain(srv *http.Server) {
	in.events <- control.DrainStarted{}
	in.cfg.Logger.Info("shutdown started; waiting for requests in flight", "in_flight", in.load.Total(entryKeyPrefix))
	in.cancelSteps()
	time.Sleep(in.cfg.DrainNotice)
	_ = srv.Shutdown(context.Background())
	_ = in.steps.Wait()
	leave := time.AfterFunc(drainSendTimeout, in.cancelSends)
	defer leave.Stop()
	_ = in.sends.Wait()
	in.cfg.Logger.Info("shutdown complete")
}

// newAttemptID returns an ID that is unique among all attempts of all instances.
func (in *Instance) newAttemptID() string {
	return fmt.Sprintf("%s/%s/%d", in.cfg.ID, in.processID, in.attempts.Add(1))
}

// newProcessID returns a random ID for this process.
func newProcessID() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Counter returns the value of a counter by its name in GET /metrics.
func (in *Instance) Counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, in.cfg.Metrics).Count()
}

// View returns the current control state.
func (in *Instance) View() *View { return in.view.Load() }
