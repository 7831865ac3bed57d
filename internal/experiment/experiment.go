// Package experiment compares policies by the idle time of trainers and the staleness
// of their samples, on a whole site in one process: engines of which one is slow, a
// rate-limited weight store, and trainers that submit steps, train and set new target
// versions. Policies are compared in one run.
//
// Times are a tenth of the deployments': a version loads in 90 ms instead of 900 ms,
// and training takes 100 ms instead of 1 s.
package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// Trainer describes the steps of one trainer.
type Trainer struct {
	Entry       string
	Groups      int // groups in a step
	GroupSize   int // generations in a group
	UsualTokens int // tokens of most generations; on average one group in eight has three times as many
}

// Deployment describes a deployment: its size and its trainers.
type Deployment struct {
	Name     string
	Engines  int
	Entries  int
	Trainers []Trainer
}

// The deployments that are compared.
var (
	Minho = Deployment{Name: "minho", Engines: 9, Entries: 3, Trainers: []Trainer{
		{Entry: "script-draft", Groups: 9, GroupSize: 8, UsualTokens: 14},
		{Entry: "call-summary", Groups: 19, GroupSize: 4, UsualTokens: 24}}}
	Rodokmen = Deployment{Name: "rodokmen", Engines: 9, Entries: 3, Trainers: []Trainer{
		{Entry: "match-batch", Groups: 18, GroupSize: 8, UsualTokens: 16}}}
)

// Policy is a setting of steps and rollouts.
type Policy struct {
	Name         string
	DesiredShare float64 // share of a step's groups that the trainer waits for
	HedgeFactor  float64 // step.Policy.HedgeFactor; 0 for no hedging
	MaxLoading   int     // limit of engines that load a version at once
	SlowFactor   float64 // entry.Config.SlowFactor; negative if no engine counts as slow
}

// Config is the configuration of a run.
type Config struct {
	Deployment Deployment
	Policy     Policy
	Steps      int // steps of each trainer
	Seed       uint64
}

// Parameters of the engines, of the weight store and of the trainers. Times are a tenth
// of the deployments'.
const (
	slots         = 8
	tokenInterval = 2 * time.Millisecond
	slowFactor    = 8 // factor on the token interval of the slow engine
	fetchTime     = 90 * time.Millisecond
	freeFetches   = 2
	trainTime     = 100 * time.Millisecond
	stepTimeout   = 20 * time.Second
	poolName      = "model-pool"
)

// Result is the measurements of one run.
type Result struct {
	Deployment string
	Policy     string
	IdleShare  float64         // share of the trainers' time spent waiting for samples
	StepWaits  []time.Duration // times from a step's submission to its desired groups, sorted
	LagMean    float64         // weight versions behind the target, mean over samples
	AgeMean    time.Duration   // mean time since the version after a sample's became the target; 0 for a current sample
	Samples    int
	Duplicates int // samples delivered more than once
	TooOld     int // samples older than the version lag allows when received
}

// Run runs one experiment. An error is one of starting the site, of submitting a step
// or setting a target version, or that of a step that missed its deadline.
func Run(cfg Config) (Result, error) {
	s, err := start(cfg)
	if err != nil {
		return Result{}, err
	}
	defer s.Close()
	// All trainers train the model of one pool, so only the first one sets target
	// versions.
	m := newMeter(s)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	if err := m.setTarget(ctx, cfg.Deployment.Trainers[0].Entry, 1); err != nil {
		return Result{}, err
	}
	watch, stopWatch := context.WithCancel(ctx)
	var watching errgroup.Group
	watching.Go(func() error { return m.watch(watch) })
	g, gctx := errgroup.WithContext(ctx)
	for i, tr := range cfg.Deployment.Trainers {
		g.Go(func() error { return m.train(gctx, cfg, tr, i == 0) })
	}
	err = g.Wait()
	stopWatch()
	_ = watching.Wait()
	return m.result(cfg), err
}

// start starts the site, with one slow engine, and applies a catalogue with an entry
// for each trainer.
func start(cfg Config) (*site.Site, error) {
	store := &enginetest.WeightStore{FetchTime: fetchTime, FullRateFetches: freeFetches}
	hedge := cfg.Policy.HedgeFactor
	if hedge == 0 {
		hedge = -1 // never
	}
	s, err := site.Start(site.Config{Engines: cfg.Deployment.Engines, Entries: cfg.Deployment.Entries,
		Engine: enginetest.Config{Slots: slots, TokenInterval: tokenInterval, WeightVersion: 1, ChecksFencing: true, WeightStore: store},
		Entry: entry.Config{RefreshInterval: 100 * time.Millisecond, TickInterval: 10 * time.Millisecond, ReportInterval: 100 * time.Millisecond,
			StepTickInterval: 5 * time.Millisecond, StepRefreshInterval: 100 * time.Millisecond, RolloutPollInterval: 25 * time.Millisecond,
			ReportLag: 50 * time.Millisecond, ShardGroups: 8, SlowFactor: cfg.Policy.SlowFactor, StepPolicy: step.Policy{HedgeFactor: hedge, HedgeAfter: 8, RetryDelay: 20 * time.Millisecond}}})
	if err != nil {
		return nil, err
	}
	s.Engines[0].SetFaults(enginetest.Faults{SlowFactor: slowFactor})
	pool := s.EnginePool(poolName)
	pool.MaxLoading = cfg.Policy.MaxLoading
	f := catalogue.File{Pools: []catalogue.Pool{pool}}
	for _, tr := range cfg.Deployment.Trainers {
		f.Entries = append(f.Entries, catalogue.Entry{Name: tr.Entry, Owner: cfg.Deployment.Name, Class: catalogue.Training, Pool: poolName,
			Limits: catalogue.Limits{MaxInFlight: 64, MaxTokens: 512}, Trainer: s.TrainerAddr, MaxVersionLag: 1})
	}
	if err := s.Apply(f); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// spec returns step k of trainer tr.
func spec(cfg Config, tr Trainer, k int) step.Spec {
	rnd := rand.New(rand.NewPCG(cfg.Seed, uint64(k)))
	s := step.Spec{Customer: cfg.Deployment.Name, Entry: tr.Entry, ID: fmt.Sprintf("%s-%d", tr.Entry, k),
		Desired: max(1, int(cfg.Policy.DesiredShare*float64(tr.Groups)+0.5)), Deadline: time.Now().Add(stepTimeout)}
	for i := range tr.Groups {
		tokens := tr.UsualTokens
		if rnd.IntN(8) == 0 {
			tokens *= 3
		}
		s.Groups = append(s.Groups, step.Group{ID: fmt.Sprintf("%s-%d-%d", tr.Entry, k, i), Prompt: fmt.Sprintf("%s prompt %d of step %d", tr.Entry, i, k),
			Size: tr.GroupSize, MaxTokens: tokens})
	}
	return s
}
