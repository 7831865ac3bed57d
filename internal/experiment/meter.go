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

// pollInterval is how often the meter looks at what the trainers received.
const pollInterval = 2 * time.Millisecond

// versionLag is the bound of the experiment's entries.
const versionLag = 1

// meter plays the trainers and measures.
type meter struct {
	site *site.Site

	mu      sync.Mutex
	version uint64
	namedAt map[uint64]time.Time
	seen    map[string]bool // sample IDs received
	whole   map[string]int  // group → samples received
	lag     int             // summed over samples
	age     time.Duration   // summed over samples
	tooOld  int
	waits   []time.Duration
	trained time.Duration
}

func newMeter(s *site.Site) *meter {
	return &meter{site: s, namedAt: map[uint64]time.Time{}, seen: map[string]bool{}, whole: map[string]int{}}
}

// name names version v through an entry instance.
func (m *meter) name(ctx context.Context, entryName string, v uint64) error {
	e := m.site.Entries[0]
	m.site.Trainer.SetTargetVersion(v)
	err := entry.NewClient(e.Addr(), nil).SetTargetVersion(ctx, entry.WeightsRequest{Customer: e.View().Entries[entryName].Owner, Entry: entryName, Version: v})
	m.mu.Lock()
	m.version, m.namedAt[v] = v, time.Now()
	m.mu.Unlock()
	return err
}

// watch takes note of every sample the trainers receive.
func (m *meter) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		m.look()
		time.Sleep(pollInterval)
	}
	return nil
}

func (m *meter) look() {
	received := m.site.Trainer.Received()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range received {
		if m.seen[r.Sample.ID] {
			continue
		}
		m.seen[r.Sample.ID] = true
		m.whole[r.Sample.Group]++
		oldest := r.Sample.OldestVersion()
		lag := m.lagAt(oldest, r.At)
		m.lag += lag
		if lag > 0 {
			m.age += r.At.Sub(m.namedAt[oldest+1])
		}
		if lag > versionLag {
			m.tooOld++
		}
	}
}

// lagAt returns how many versions after the given one were named by at.
func (m *meter) lagAt(version uint64, at time.Time) int {
	lag := 0
	for v := version + 1; v <= m.version; v++ {
		if m.namedAt[v].Before(at) {
			lag++
		}
	}
	return lag
}

// wholeGroups counts the groups of step k of tr that are whole.
func (m *meter) wholeGroups(tr Trainer, k int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for i := range tr.Groups {
		if m.whole[fmt.Sprintf("%s-%d-%d", tr.Entry, k, i)] == tr.GroupSize {
			n++
		}
	}
	return n
}

// train submits steps, waits for the desired groups, trains, and, for the
// trainer that names versions, names the next one.
func (m *meter) train(ctx context.Context, cfg Config, tr Trainer, names bool) error {
	for k := range cfg.Steps {
		s := spec(cfg, tr, k)
		begun := time.Now()
		addr := m.site.Entries[k%len(m.site.Entries)].Addr()
		if err := entry.NewClient(addr, nil).SubmitStep(ctx, s); err != nil {
			return err
		}
		for m.wholeGroups(tr, k) < s.Desired {
			if time.Now().After(s.Deadline) {
				return fmt.Errorf("step %s: %d of %d groups when due", s.ID, m.wholeGroups(tr, k), s.Desired)
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
		if names {
			if err := m.name(ctx, tr.Entry, next); err != nil {
				return err
			}
		}
	}
	return nil
}

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

// Policies are the ways compared: baselines of this project's own first,
// the default last.
var Policies = []Policy{
	{Name: "every group, no hedging, none slow", DesiredShare: 1, MaxLoading: 3, SlowFrom: -1},
	{Name: "every group, no hedging", DesiredShare: 1, MaxLoading: 3},
	{Name: "desired groups, no hedging", DesiredShare: 0.9, MaxLoading: 3},
	{Name: "desired, hedging 2x, 1 loading", DesiredShare: 0.9, HedgeFactor: 2, MaxLoading: 1},
	{Name: "desired, hedging 2x, 9 loading", DesiredShare: 0.9, HedgeFactor: 2, MaxLoading: 9},
	{Name: "desired, hedging 1.3x, 3 loading", DesiredShare: 0.9, HedgeFactor: 1.3, MaxLoading: 3},
	{Name: "desired, hedging 2x, 3 loading, none slow", DesiredShare: 0.9, HedgeFactor: 2, MaxLoading: 3, SlowFrom: -1},
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
