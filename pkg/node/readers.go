package node

import (
	"context"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

const (
	// pollPeriod is how often the store is asked for results that a reader
	// waits for, when another instance runs the submission.
	pollPeriod = 90 * time.Millisecond
	// pageResults is how many results are read in one call.
	pageResults = 100
	// maxPageBytes bounds the results of one answer: readers take up to 1 MB.
	maxPageBytes = 700 << 10
	// keptSpecs and keptResults bound what is kept of submissions for readers.
	keptSpecs   = 12
	keptResults = 12
)

// ResultPage is a part of a submission's results.
type ResultPage struct {
	Total   int
	Next    int // position after the last result
	Results []submission.Result
}

// ownRun is a submission that runs here.
type ownRun struct {
	runner *submission.Runner
	spec   submission.Spec
	cancel context.CancelFunc
	ended  chan struct{} // closed when the runner has returned
}

// readers serves those who read submissions, from the runs here, from what it
// keeps of earlier reads, and from the store.
type readers struct {
	node *Node

	mu      sync.Mutex
	runs    map[string]*ownRun
	specs   *recent[submission.Spec]
	results *recent[*resultCache]
}

// resultCache holds the first results of a submission: positions never change.
type resultCache struct {
	mu      sync.Mutex // held while the store is asked, so that readers ask it once
	results []submission.Result
}

func newReaders(n *Node) *readers {
	return &readers{node: n, runs: map[string]*ownRun{}, specs: newRecent[submission.Spec](keptSpecs), results: newRecent[*resultCache](keptResults)}
}

func (r *readers) own(id string, run *ownRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = run
}

func (r *readers) disown(id string, runner *submission.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.runs[id]; run != nil && run.runner == runner {
		delete(r.runs, id)
		r.specs.put(id, run.spec)
		written, _ := runner.Results(0)
		r.results.put(id, &resultCache{results: written})
	}
}

// owning returns how many submissions run here.
func (r *readers) owning() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

func (r *readers) stop(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.runs[id]; run != nil {
		run.cancel()
	}
}

func (r *readers) run(id string) *ownRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// spec returns what a submission's sender handed over.
func (r *readers) spec(ctx context.Context, o submission.HeadRow) (submission.Spec, error) {
	id := o.ID
	r.mu.Lock()
	if run := r.runs[id]; run != nil {
		r.mu.Unlock()
		return run.spec, nil
	}
	s, ok := r.specs.get(id)
	r.mu.Unlock()
	if ok {
		return s, nil
	}
	s, err := r.node.log.Spec(ctx, o)
	if err != nil {
		return s, err
	}
	r.mu.Lock()
	r.specs.put(id, s)
	r.mu.Unlock()
	return s, nil
}

// page returns the results of a submission from position after on, waiting
// until there is one, wait is over or ctx ends.
func (r *readers) page(ctx context.Context, o submission.HeadRow, after int, until time.Time) (ResultPage, error) {
	for {
		results, changed, err := r.from(ctx, o, after)
		if err != nil {
			return ResultPage{}, err
		}
		left := time.Until(until)
		if len(results) > 0 || after >= o.Total || left <= 0 || ctx.Err() != nil {
			results = fitting(results)
			return ResultPage{Total: o.Total, Next: after + len(results), Results: results}, nil
		}
		if changed == nil {
			left = min(left, pollPeriod)
		}
		t := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// from returns results from a position on, and a channel that tells of more if
// the submission runs here.
func (r *readers) from(ctx context.Context, o submission.HeadRow, after int) ([]submission.Result, <-chan struct{}, error) {
	if run := r.run(o.ID); run != nil {
		results, changed := run.runner.Results(after)
		return results, changed, nil
	}
	r.mu.Lock()
	c, ok := r.results.get(o.ID)
	if !ok {
		c = &resultCache{}
		r.results.put(o.ID, c)
	}
	r.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.results) <= after && len(c.results) < o.Total {
		more, err := r.node.log.Results(ctx, o.ID, len(c.results), pageResults)
		if err != nil {
			return nil, nil, err
		}
		if len(more) == 0 {
			return nil, nil, nil
		}
		c.results = append(c.results, more...)
	}
	return c.results[min(after, len(c.results)):], nil, nil
}

// fitting returns as many of the results as fit into one answer, at least one.
func fitting(results []submission.Result) []submission.Result {
	size := 0
	for i, res := range results {
		if size += len(res.Output) + len(res.Score) + len(res.Item) + 100; size > maxPageBytes && i > 0 {
			return results[:i]
		}
	}
	return results
}

// recent keeps the values of the last keys put.
type recent[T any] struct {
	limit  int
	keys   []string // oldest first
	values map[string]T
}

func newRecent[T any](limit int) *recent[T] {
	return &recent[T]{limit: limit, values: map[string]T{}}
}

func (r *recent[T]) get(key string) (T, bool) {
	v, ok := r.values[key]
	return v, ok
}

func (r *recent[T]) put(key string, v T) {
	if _, ok := r.values[key]; !ok {
		r.keys = append(r.keys, key)
		if len(r.keys) > r.limit {
			delete(r.values, r.keys[0])
			r.keys = r.keys[1:]
		}
	}
	r.values[key] = v
}

// headIndex holds the heads of all submissions for readers.
type headIndex struct {
	mu    sync.Mutex
	heads map[string]submission.HeadRow
	last  map[string]submission.HeadRow // by ownerKey, that which changed last
}

func (x *headIndex) init() {
	x.heads, x.last = map[string]submission.HeadRow{}, map[string]submission.HeadRow{}
}

func (x *headIndex) set(o submission.HeadRow) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if o.Fencing <= x.heads[o.ID].Fencing {
		return
	}
	x.heads[o.ID] = o
	if key := ownerKey(o.Head); o.Owner != "" && o.Fencing > x.last[key].Fencing {
		x.last[key] = o
	}
}

// drop forgets a submission that has been swept.
func (x *headIndex) drop(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.heads, id)
}

// lastOwner returns the owner of the submission of a kind whose head changed
// last, empty for none.
func (x *headIndex) lastOwner(key string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.last[key].Owner
}

func (x *headIndex) get(id string) (submission.HeadRow, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	o, ok := x.heads[id]
	return o, ok
}
