package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

const (
	// pollPeriod is the period at which the store is polled for results that a reader
	// waits for, while another instance runs the submission.
	pollPeriod = 90 * time.Millisecond
	// resultsPerRead is how many results are read from the store in one call.
	resultsPerRead = 100
	// maxPageBytes limits the size of a page of results: readers accept up to 1 MB.
	maxPageBytes = 700 << 10
	// specCacheSize and resultCacheSize are the numbers of submissions whose
	// specification and results are cached for readers.
	specCacheSize   = 12
	resultCacheSize = 12
	// estimatorCacheSize is the number of customers' models whose estimators are kept.
	estimatorCacheSize = 32
)

// ResultPage is one page of a submission's results.
type ResultPage struct {
	Total   int
	Next    int // position after the last result
	Results []submission.Result
}

// localRun is a submission that runs here.
type localRun struct {
	runner *submission.Runner
	spec   submission.Spec
	cancel context.CancelFunc
	ended  chan struct{} // closed when the runner has returned
}

// submissionReader serves reads of submissions: from the runs here, from its caches of
// earlier reads, and from the store.
type submissionReader struct {
	node *Node

	mu      sync.Mutex
	runs    map[string]*localRun
	specs   *fifoCache[submission.Spec]
	results *fifoCache[*resultCache]
	// estimators estimate the time that texts take, by estimatorKey.
	estimators *fifoCache[*completion.Estimator]
}

// resultCache holds the first results of a submission. It needs no invalidation, because a
// position keeps its result until the submission is deleted.
type resultCache struct {
	reading sync.Mutex // held while the store is read, so that concurrent readers cause one read

	mu      sync.Mutex
	results []submission.Result // only appended to
}

// all returns the results that are cached.
func (c *resultCache) all() []submission.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}

// add caches the results that follow those cached.
func (c *resultCache) add(results []submission.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, results...)
}

func newSubmissionReader(n *Node) *submissionReader {
	return &submissionReader{node: n, runs: map[string]*localRun{}, specs: newFIFOCache[submission.Spec](specCacheSize), results: newFIFOCache[*resultCache](resultCacheSize),
		estimators: newFIFOCache[*completion.Estimator](estimatorCacheSize)}
}

// estimator returns the estimator of the time that a submission's texts take. It learns
// from all submissions of the same customer and model that run here.
func (r *submissionReader) estimator(h submission.Head) *completion.Estimator {
	key := estimatorKey(h)
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.estimators.get(key)
	if !ok {
		e = &completion.Estimator{}
		r.estimators.put(key, e)
	}
	return e
}

// estimatorKey returns what the lengths of a submission's texts and the meaning of its
// hints depend on.
func estimatorKey(h submission.Head) string {
	return strings.Join([]string{h.Customer, h.Host, h.Path, h.Model}, "\x00")
}

func (r *submissionReader) addRun(id string, run *localRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = run
}

func (r *submissionReader) finishRun(id string, runner *submission.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.runs[id]; run != nil && run.runner == runner {
		delete(r.runs, id)
		r.specs.put(id, run.spec)
		written, _ := runner.Results(0)
		r.results.put(id, &resultCache{results: written})
	}
}

// heldResults returns the number of results of the runs here that are finished and not
// yet written.
func (r *submissionReader) heldResults() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := 0
	for _, run := range r.runs {
		held += run.runner.HeldResults()
	}
	return int64(held)
}

// runCount returns the number of submissions that run here.
func (r *submissionReader) runCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

func (r *submissionReader) cancelRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.runs[id]; run != nil {
		run.cancel()
	}
}

func (r *submissionReader) run(id string) *localRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// spec returns the specification of a submission, from the store if it is not cached.
func (r *submissionReader) spec(ctx context.Context, head submission.HeadRow) (submission.Spec, error) {
	id := head.ID
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
	s, err := r.node.submissions.Spec(ctx, head)
	if err != nil {
		return s, err
	}
	r.mu.Lock()
	r.specs.put(id, s)
	r.mu.Unlock()
	return s, nil
}

// page returns the results of a submission from position after on. It blocks until
// there is a result, until has passed or ctx is done.
func (r *submissionReader) page(ctx context.Context, head submission.HeadRow, after int, until time.Time) (ResultPage, error) {
	for {
		results, source, changed, err := r.resultsFrom(ctx, head, after)
		if err != nil {
			return ResultPage{}, err
		}
		remaining := time.Until(until)
		if len(results) > 0 || after >= head.Total || remaining <= 0 || ctx.Err() != nil {
			results = limitPageSize(results)
			r.node.observer.resultsRead(head.ID, after, results, source)
			return ResultPage{Total: head.Total, Next: after + len(results), Results: results}, nil
		}
		if changed == nil {
			remaining = min(remaining, pollPeriod)
		}
		t := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// Sources of the results that a caller reads, for the log and metrics.
const (
	resultsFromRun   = "run"   // the run here
	resultsFromCache = "cache" // an earlier read or run here
	resultsFromStore = "store"
)

// resultsFrom returns results from a position on, their source and, if the submission runs
// here, a channel that is closed when there are more.
func (r *submissionReader) resultsFrom(ctx context.Context, head submission.HeadRow, after int) (results []submission.Result, source string, changed <-chan struct{}, err error) {
	if run := r.run(head.ID); run != nil {
		results, changed := run.runner.Results(after)
		return results, resultsFromRun, changed, nil
	}
	r.mu.Lock()
	c, ok := r.results.get(head.ID)
	if !ok {
		c = &resultCache{}
		r.results.put(head.ID, c)
	}
	r.mu.Unlock()
	if cached := c.all(); after < len(cached) {
		return cached[after:], resultsFromCache, nil, nil // without waiting for a read of the store, which may be away
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	cached, source := c.all(), resultsFromCache
	for ; len(cached) <= after && len(cached) < head.Total; cached = c.all() {
		more, err := r.node.submissions.Results(ctx, head.ID, len(cached), resultsPerRead)
		if err != nil {
			return nil, "", nil, err
		}
		if len(more) == 0 {
			return nil, "", nil, nil
		}
		c.add(more)
		source = resultsFromStore
	}
	return cached[min(after, len(cached)):], source, nil, nil
}

// limitPageSize returns as many of the results as fit into one response, at least one.
func limitPageSize(results []submission.Result) []submission.Result {
	size := 0
	for i, res := range results {
		if size += len(res.Output) + len(res.Score) + len(res.Item) + 100; size > maxPageBytes && i > 0 {
			return results[:i]
		}
	}
	return results
}

// fifoCache holds the values of the last limit keys added.
type fifoCache[T any] struct {
	limit  int
	keys   []string // oldest first
	values map[string]T
}

func newFIFOCache[T any](limit int) *fifoCache[T] {
	return &fifoCache[T]{limit: limit, values: map[string]T{}}
}

func (c *fifoCache[T]) get(key string) (T, bool) {
	v, ok := c.values[key]
	return v, ok
}

func (c *fifoCache[T]) put(key string, v T) {
	if _, ok := c.values[key]; !ok {
		c.keys = append(c.keys, key)
		if len(c.keys) > c.limit {
			delete(c.values, c.keys[0])
			c.keys = c.keys[1:]
		}
	}
	c.values[key] = v
}

// headIndex holds the heads of all submissions for concurrent readers.
type headIndex struct {
	mu          sync.Mutex
	heads       map[string]submission.HeadRow
	lastChanged map[string]submission.HeadRow // last changed head with an owner, by ownerKey
}

func (h *headIndex) init() {
	h.heads, h.lastChanged = map[string]submission.HeadRow{}, map[string]submission.HeadRow{}
}

func (h *headIndex) set(head submission.HeadRow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if head.Fencing <= h.heads[head.ID].Fencing {
		return
	}
	h.heads[head.ID] = head
	if key := ownerKey(head.Head); head.Owner != "" && head.Fencing > h.lastChanged[key].Fencing {
		h.lastChanged[key] = head
	}
}

// remove removes a submission that has been deleted.
func (h *headIndex) remove(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.heads, id)
}

// previous returns the submission with the model and customer of a given one that its
// sender ended last before the given one. Submissions that are open or complete left
// nothing. The end of a submission is the last change of its head. Versions are compared
// because the clocks of instances may differ by more than the time between two
// submissions.
func (h *headIndex) previous(of submission.HeadRow) (prev submission.HeadRow, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := of.CarryoverKey()
	for id, head := range h.heads {
		if head.Ended && !head.Complete && id != of.ID && head.Fencing < of.Fencing && head.Fencing > prev.Fencing && head.CarryoverKey() == key {
			prev, ok = head, true
		}
	}
	return prev, ok
}

// minVersions returns the oldest weight versions that the latest of the submissions with
// the model and customer of a given one allows, and that the next one will allow if the
// minimum rises by as much per step as it last did.
func (h *headIndex) minVersions(of submission.Head) (latest, next uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key, last := of.CarryoverKey(), of
	for _, head := range h.heads {
		if head.Step > last.Step && head.CarryoverKey() == key {
			last = head.Head
		}
	}
	before, ok := submission.Head{}, false
	for _, head := range h.heads {
		if head.Step < last.Step && (!ok || head.Step > before.Step) && head.CarryoverKey() == key {
			before, ok = head.Head, true
		}
	}
	if !ok || before.MinVersion > last.MinVersion {
		return last.MinVersion, last.MinVersion
	}
	return last.MinVersion, last.MinVersion + (last.MinVersion-before.MinVersion)/uint64(last.Step-before.Step)
}

// hasOther reports whether there is another submission with the model and customer of a
// given one.
func (h *headIndex) hasOther(of submission.Head) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, head := range h.heads {
		if id != of.ID && head.CarryoverKey() == of.CarryoverKey() {
			return true
		}
	}
	return false
}

// lastOwner returns the owner of the submission with the ownerKey key whose head
// changed last, empty for none.
func (h *headIndex) lastOwner(key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastChanged[key].Owner
}

func (h *headIndex) get(id string) (submission.HeadRow, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	head, ok := h.heads[id]
	return head, ok
}
