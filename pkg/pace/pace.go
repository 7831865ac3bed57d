// Package pace estimates how long a unit of work takes at each upstream, from the times
// that requests took and from the pace that upstreams report of their machines.
package pace

import (
	"math"
	"sync"
	"time"
)

const (
	// maxReport is the largest ratio to the usual time, and the inverse of the smallest,
	// that is accepted in a report. No machine that still serves requests is slower.
	maxReport = 100
	// minObservations is the weight, in observations, that older observations keep at
	// least. An upstream that is seldom used is then judged by more than its last call,
	// the time of which varies by a factor of several.
	minObservations = 16
	// betweenVariance is the variance of the logarithm of the lasting pace among the
	// upstreams of a pool that is assumed before observations. It determines how many
	// observations outweigh the assumption that an upstream is usual.
	betweenVariance = 0.1
	// minVariance is the least variance of the logarithm of an observation that is
	// assumed. Times of texts vary by at least a tenth.
	minVariance = 0.01
	// maxUnit bounds the estimated time per unit, so that times of many units do not
	// overflow.
	maxUnit = time.Hour
	// priorVariance is the variance of the logarithm of an observation that is assumed
	// until a pool has many: plain calls vary by a factor of about two. It counts for as
	// much as priorObservations.
	priorVariance     = 0.5
	priorObservations = 4
)

// Config configures a Tracker.
type Config struct {
	// Memory is the time constant of the moving average of observations. The default is
	// 5 s.
	Memory time.Duration
	// Hold is how long a report holds; the default is 600 ms.
	Hold time.Duration
	// Retention is how long an estimate is kept without a new observation. The default
	// is 60 s.
	Retention time.Duration
}

// Tracker tracks the pace of upstreams. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu   sync.Mutex
	byID map[string]*upstream
}

// upstream is what is known of one upstream. Times are natural logarithms of seconds.
type upstream struct {
	weight     float64 // observations in mean, of which older ones count for less
	mean       float64
	squares    float64 // weighted sum of the squared differences from mean
	observedAt time.Time
	report     float64 // last reported pace; 0 for none
	reportedAt time.Time
}

// Estimate is the estimated pace of an upstream.
type Estimate struct {
	// Lasting is the upstream's own time per unit of work relative to the (geometric)
	// mean of the upstreams that it is compared with.
	Lasting float64
	// Passing is the factor by which work on its machine takes longer than usual now.
	Passing float64
	// Error is the standard error of Lasting, relative to it.
	Error float64
	// Unit is the upstream's own time per unit, without the passing factor; 0 if none of
	// the upstreams has been observed.
	Unit time.Duration
}

// New returns a Tracker without observations.
func New(cfg Config) *Tracker {
	if cfg.Memory == 0 {
		cfg.Memory = 5 * time.Second
	}
	if cfg.Hold == 0 {
		cfg.Hold = 600 * time.Millisecond
	}
	if cfg.Retention == 0 {
		cfg.Retention = time.Minute
	}
	return &Tracker{cfg: cfg, byID: map[string]*upstream{}}
}

// Observe records that a unit of work took unitTime at an upstream. Times that are not
// positive are ignored.
func (t *Tracker) Observe(id string, unitTime time.Duration, at time.Time) {
	if unitTime <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ensure(id)
	x := math.Log(unitTime.Seconds() / t.passing(u, at))
	keep := 0.0
	if u.weight > 0 && at.Sub(u.observedAt) < t.cfg.Retention {
		decayed := u.weight * math.Exp(-max(at.Sub(u.observedAt), 0).Seconds()/t.cfg.Memory.Seconds())
		keep = max(decayed, min(u.weight, minObservations)) / u.weight
	}
	u.weight *= keep
	u.squares *= keep
	difference := x - u.mean
	u.weight++
	u.mean += difference / u.weight
	u.squares += difference * (x - u.mean)
	if at.After(u.observedAt) {
		u.observedAt = at
	}
}

// Report records that an upstream reported that work takes pace times the usual time on
// its machine, and tells whether the report is used. Reports outside of [1/100, 100], and
// those that are not newer than the last, are not.
func (t *Tracker) Report(id string, pace float64, at time.Time) bool {
	if !(pace >= 1.0/maxReport && pace <= maxReport) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ensure(id)
	if !at.After(u.reportedAt) {
		return false
	}
	u.report, u.reportedAt = pace, at
	return true
}

// Forget discards what is known of an upstream.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

// Hold returns how long a report holds.
func (t *Tracker) Hold() time.Duration { return t.cfg.Hold }

// Estimates returns the pace at now of each of the upstreams, which are compared with
// each other. One without recent observations is assumed to be usual.
func (t *Tracker) Estimates(ids []string, now time.Time) []Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Estimate, len(ids))
	known := make([]*upstream, len(ids)) // nil without recent observations
	sum, weights := 0.0, 0.0
	squares, freedom := priorObservations*priorVariance, float64(priorObservations)
	for i, id := range ids {
		u := t.byID[id]
		out[i].Passing = 1
		if u == nil {
			continue
		}
		out[i].Passing = t.passing(u, now)
		if u.weight == 0 || now.Sub(u.observedAt) >= t.cfg.Retention {
			continue
		}
		known[i] = u
		w := u.weight / (u.weight + minObservations)
		sum += w * u.mean
		weights += w
		squares += u.squares
		freedom += max(u.weight-1, 0)
	}
	variance := max(squares/freedom, minVariance)
	mean, unit := 0.0, 0.0
	if weights > 0 {
		mean = sum / weights
		unit = math.Exp(mean)
	}
	// An upstream's mean is drawn towards that of the pool by as many observations as
	// are as uncertain as the assumption that it is usual.
	prior := variance / betweenVariance
	for i, u := range known {
		weight, lasting := 0.0, 1.0
		if u != nil {
			weight = u.weight
			lasting = math.Exp((u.mean - mean) * weight / (weight + prior))
		}
		out[i].Lasting = lasting
		out[i].Error = math.Sqrt(variance / (weight + prior))
		out[i].Unit = time.Duration(min(unit*lasting, maxUnit.Seconds()) * float64(time.Second))
	}
	return out
}

// ensure returns the state of an upstream, creating it if needed.
func (t *Tracker) ensure(id string) *upstream {
	u := t.byID[id]
	if u == nil {
		u = &upstream{}
		t.byID[id] = u
	}
	return u
}

// passing returns u's last report, of which the difference from 1 decays to nothing while
// it holds: the machine may have changed since.
func (t *Tracker) passing(u *upstream, now time.Time) float64 {
	age := max(now.Sub(u.reportedAt), 0)
	if u.report == 0 || age >= t.cfg.Hold {
		return 1
	}
	return 1 + (u.report-1)*(1-age.Seconds()/t.cfg.Hold.Seconds())
}
