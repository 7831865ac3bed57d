package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
)

// pollInterval is the period of reading the samples that the trainers have received.
const pollInterval = 2 * time.Millisecond

// versionLag is the version lag that the experiment's entries allow.
const versionLag = 1

// meter runs the trainers and measures idle time and staleness.
type meter struct {
	site *site.Site

	mu             sync.Mutex
	version        uint64               // target version
	targetSetAt    map[uint64]time.Time // when a version became the target
	seen           map[string]bool      // IDs of the samples received
	samplesByGroup map[string]int       // samples received
	lag            int                  // sum over samples
	age            time.Duration        // sum over samples
	tooOld         int
	waits          []time.Duration // see Result.StepWaits
	trained        time.Duration   // time spent in training
}

func newMeter(s *site.Site) *meter {
	return &meter{site: s, targetSetAt: map[uint64]time.Time{}, seen: map[string]bool{}, samplesByGroup: map[string]int{}}
}

// setTarget makes v the target version through an entry instance.
func (m *meter) setTarget(ctx context.Context, entryName string, v uint64) error {
	e := m.site.Entries[0]
	m.site.Trainer.SetTargetVersion(v)
	err := entry.NewClient(e.Addr(), nil).SetTargetVersion(ctx, entry.WeightsRequest{Customer: e.View().Entries[entryName].Owner, Entry: entryName, Version: v})
	m.mu.Lock()
	m.version, m.targetSetAt[v] = v, time.Now()
	m.mu.Unlock()
	return err
}

// watch records the samples that the trainers receive until ctx ends.
func (m *meter) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		m.recordReceived()
		time.Sleep(pollInterval)
	}
	return nil
}

// recordReceived records the samples received since the last call.
func (m *meter) recordReceived() {
	received := m.site.Trainer.Received()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range received {
		if m.seen[r.Sample.ID] {
			continue
		}
		m.seen[r.Sample.ID] = true
		m.samplesByGroup[r.Sample.Group]++
		oldest := r.Sample.OldestVersion()
		lag := m.lagAt(oldest, r.At)
		m.lag += lag
		if lag > 0 {
			m.age += r.At.Sub(m.targetSetAt[oldest+1])
		}
		if lag > versionLag {
			m.tooOld++
		}
	}
}

// lagAt returns the number of versions newer than version that became the target
// before at.
func (m *meter) lagAt(version uint64, at time.Time) int {
	lag := 0
	for v := version + 1; v <= m.version; v++ {
		if m.targetSetAt[v].Before(at) {
			lag++
		}
	}
	return lag
}

// completeGroups returns the number of complete groups of step k of tr.
func (m *meter) completeGroups(tr Trainer, k int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for i := range tr.Groups {
		if m.samplesByGroup[fmt.Sprintf("%s-%d-%d", tr.Entry, k, i)] == tr.GroupSize {
			n++
		}
	}
	return n
}

// train runs a trainer: it submits each step, waits for the desired groups, trains, and
// sets the next target version if setsTarget. An error is one of a call, or that of a
// step that missed its deadline.
func (m *meter) train(ctx context.Context, cfg Config, tr Trainer, setsTarget bool) error {
	for k := range cfg.Steps {
		s := spec(cfg, tr, k)
		begun := time.Now()
		addr := m.site.Entries[k%len(m.site.Entries)].Addr()
		if err := entry.NewClient(addr, nil).SubmitStep(ctx, s); err != nil {
			return err
		}
		for m.completeGroups(tr, k) < s.Desired {
			if time.Now().After(s.Deadline) {
				return fmt.Errorf("step %s: %d of %d desired groups complete at its deadline", s.ID, m.completeGroups(tr, k), s.Desired)
			}
			time.Sleep(pollInterval)
		}
		waited := time.Since(begun)
		time.Sleep(trainTime)
		m.mu.Lock()
		m.waits = append(m.waits, waited)
		m.trained += trainTime
		next := m.version + 1
		m.mu.Unlock()
		if setsTarget {
			if err := m.setTarget(ctx, tr.Entry, next); err != nil {
				return err
			}
		}
	}
	return nil
}

// result returns the measurements.
func (m *meter) result(cfg Config) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Result{Deployment: cfg.Deployment.Name, Policy: cfg.Policy.Name, StepWaits: m.waits, Samples: len(m.seen), TooOld: m.tooOld}
	var waited time.Duration
	for _, w := range m.waits {
		waited += w
	}
	r.IdleShare = float64(waited) / float64(waited+m.trained)
	if len(m.seen) > 0 {
		r.LagMean = float64(m.lag) / float64(len(m.seen))
		r.AgeMean = m.age / time.Duration(len(m.seen))
	}
	for _, rec := range m.site.Trainer.Received() {
		if rec.Deliveries > 1 {
			r.Duplicates++
		}
	}
	slices.Sort(r.StepWaits)
	return r
}

// Policies are the policies to compare: baselines first, the default last.
var Policies = []Policy{
	{Name: "every group, no hedging, none slow", DesiredShare: 1, MaxLoading: 3, SlowFactor: -1},
	{Name: "every group, no hedging", DesiredShare: 1, MaxLoading: 3},
	{Name: "desired groups, no hedging", DesiredShare: 0.9, MaxLoading: 3},
	{Name: "desired, hedging 2x, 1 loading", DesiredShare: 0.9, HedgeFactor: 2, MaxLoading: 1},
	{Name: "desired, hedging 2x, 9 loading", DesiredShare: 0.9, HedgeFactor: 2, MaxLoading: 9},
	{Name: "desired, hedging 1.3x, 3 loading", DesiredShare: 0.9, HedgeFactor: 1.3, MaxLoading: 3},
	{Name: "desired, hedging 2x, 3 loading, none slow", DesiredShare: 0.9, HedgeFactor: 2, MaxLoading: 3, SlowFactor: -1},
	{Name: "desired, hedging 2x, 3 loading", DesiredShare: 0.9, HedgeFactor: 2, MaxLoading: 3},
}

// WriteReport writes results as a Markdown table.
func WriteReport(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| deployment | policy | idle share | step wait p50 ms | p90 ms | versions behind | age ms | samples | twice | too old |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %s | %.3f | %d | %d | %.3f | %d | %d | %d | %d |\n", r.Deployment, r.Policy, r.IdleShare,
			quantile(r.StepWaits, 0.5).Milliseconds(), quantile(r.StepWaits, 0.9).Milliseconds(), r.LagMean, r.AgeMean.Milliseconds(),
			r.Samples, r.Duplicates, r.TooOld)
	}
}

// quantile returns the q-quantile of sorted ds, or 0 if there are none.
func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	return ds[min(len(ds)-1, int(q*float64(len(ds))))]
}
