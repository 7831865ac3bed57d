package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// UpstreamTiming is the attempts at one upstream of which there is a line in the logs.
type UpstreamTiming struct {
	Upstream string
	Pool     string // empty if no line names it
	Attempts int
	Refused  int // attempts that have not run
	Failed   int // attempts without a response or with an error status; excludes refused ones
	// Took is the distribution of the times, where known, of attempts that were not refused.
	Took  Distribution
	Share float64 // of its pool's work, by the time that its attempts took; from 0 to 1; 0 if that is not known
}

// PoolTiming is the attempts at the upstreams of one pool that are in the logs.
type PoolTiming struct {
	Pool      string
	Upstreams int // with an attempt in the logs, or a line that names the pool
	Idle      int // those without an attempt in the logs
	Attempts  int
	// BusiestToMean is the work of the busiest upstream relative to the mean of those with
	// attempts. It is 0 if no work is known, and for the upstreams whose pool is not known.
	BusiestToMean float64
}

// movedText is part of the error of an attempt that ended because its text moved to
// another engine. Such an attempt has not failed.
const movedText = "another engine is faster"

// attemptCounter counts the attempts in log lines.
type attemptCounter struct {
	timings map[string]*UpstreamTiming // by upstream
	took    map[string][]int64         // times of attempts that were not refused, in nanoseconds, by upstream
	failed  map[string]bool            // attempts of requests with a line "attempt failed", by attemptKey
	begun   map[string]attemptStart    // attempts at items whose end was not found yet, by itemKey
	uses    map[string]map[string]bool // upstreams of which a line names the use, by use, see use
}

// attemptStart is the start of an attempt at an item.
type attemptStart struct {
	at    time.Time
	moved bool // known by the line of the move only
}

// byUpstream returns the timings of the upstreams in lines, sorted by pool and the share of
// its work, the busiest first, and those of the pools.
func byUpstream(lines []Line) ([]UpstreamTiming, []PoolTiming) {
	c := attemptCounter{timings: map[string]*UpstreamTiming{}, took: map[string][]int64{}, failed: map[string]bool{}, begun: map[string]attemptStart{}, uses: map[string]map[string]bool{}}
	for _, l := range lines {
		if pool := l.Get("pool"); pool != "" && l.Get("upstream") != "" {
			c.of(l.Get("upstream")).Pool = pool
		}
		if use := l.use(); use != "" && l.Get("upstream") != "" {
			if c.uses[use] == nil {
				c.uses[use] = map[string]bool{}
			}
			c.uses[use][l.Get("upstream")] = true
		}
		if l.Message == "attempt failed" {
			c.failed[l.attemptKey()] = true
		}
	}
	for _, l := range lines {
		if l.Get("upstream") != "" {
			c.add(l)
		}
	}
	c.inferPools()
	var upstreams []UpstreamTiming
	for _, t := range c.timings {
		upstreams = append(upstreams, *t)
	}
	slices.SortFunc(upstreams, func(a, b UpstreamTiming) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Upstream, b.Upstream))
	})
	var pools []PoolTiming
	for start := 0; start < len(upstreams); {
		end := start + 1
		for end < len(upstreams) && upstreams[end].Pool == upstreams[start].Pool {
			end++
		}
		pools = append(pools, finishPool(upstreams[start:end], c.took))
		start = end
	}
	return upstreams, pools
}

func (c *attemptCounter) of(upstream string) *UpstreamTiming {
	t := c.timings[upstream]
	if t == nil {
		t = &UpstreamTiming{Upstream: upstream}
		c.timings[upstream] = t
	}
	return t
}

// inferPools sets the pools of upstreams that no line names with a pool, because of the
// limit of lines per second, if all others of the same use are in one pool.
func (c *attemptCounter) inferPools() {
	for _, use := range slices.Sorted(maps.Keys(c.uses)) {
		pools := map[string]bool{}
		for u := range c.uses[use] {
			pools[c.of(u).Pool] = true
		}
		delete(pools, "")
		if len(pools) != 1 {
			continue
		}
		for pool := range pools {
			for u := range c.uses[use] {
				c.of(u).Pool = pool
			}
		}
	}
}

// use returns what an attempt at an upstream was for: the route of a request, or items. It
// returns "" if l is not about an attempt.
func (l Line) use() string {
	if l.Get("item") != "" {
		return "items"
	}
	return l.Get("route")
}

// add counts the attempt of l, which names an upstream. Of an item whose end was not
// logged, the begin is counted.
func (c *attemptCounter) add(l Line) {
	switch l.Message {
	case "request":
		// A failed attempt has a line of its own, and so has an answer with an error status,
		// unless a limit per second left it out.
		if l.Get("verdict") == verdict.Ran.String() && !c.failed[l.attemptKey()] {
			c.count(l, l.attemptTook())
		}
		if other := l.Get("superseded"); other != "" {
			c.of(other).Attempts++
		}
	case "attempt failed":
		c.count(l, l.duration("took"))
	case "generating", "moved":
		moved := l.Message == "moved"
		if moved || !c.begun[l.itemKey()].moved { // else the same attempt
			c.of(l.Get("upstream")).Attempts++
		}
		c.begun[l.itemKey()] = attemptStart{l.at, moved}
	case "generated":
		took := l.duration("took")
		if begun, ok := c.begun[l.itemKey()]; ok {
			c.of(l.Get("upstream")).Attempts-- // the same attempt
			delete(c.begun, l.itemKey())
			took = cmp.Or(took, l.at.Sub(begun.at)) // older builds do not log it
		}
		c.count(l, took)
	}
}

// itemKey identifies the attempt at an item that l is about, as long as it lasts.
func (l Line) itemKey() string {
	return strings.Join([]string{l.Node, l.Get("submission"), l.Get("item"), l.Get("upstream")}, " ")
}

// count counts the attempt of l, which took as long; 0 if that is not known.
func (c *attemptCounter) count(l Line, took time.Duration) {
	t := c.of(l.Get("upstream"))
	t.Attempts++
	err := l.errorText()
	switch {
	case strings.Contains(err, forward.ErrNotRun.Error()):
		t.Refused++
		return
	case err != "" && !strings.Contains(err, movedText), number(l.Get("status")) >= 500:
		t.Failed++
	}
	if took > 0 {
		c.took[t.Upstream] = append(c.took[t.Upstream], int64(took))
	}
}

// finishPool sets the times and shares of upstreams, which are all those of one pool, and
// sorts them, the busiest first. took are the times of their attempts.
func finishPool(upstreams []UpstreamTiming, took map[string][]int64) PoolTiming {
	p := PoolTiming{Pool: upstreams[0].Pool, Upstreams: len(upstreams)}
	var all []int64
	for _, t := range upstreams {
		all = append(all, took[t.Upstream]...)
		p.Attempts += t.Attempts
	}
	work, total, most, active := make([]float64, len(upstreams)), 0.0, 0.0, 0
	for i := range upstreams {
		t := &upstreams[i]
		t.Took = distribution(took[t.Upstream])
		// The times of some attempts are not known. They count as the mean of the others.
		known := took[t.Upstream]
		if len(known) == 0 {
			known = all
		}
		work[i] = float64(t.Attempts-t.Refused) * metrics.SampleMean(known)
		total, most = total+work[i], max(most, work[i])
		if t.Attempts > 0 {
			active++
		}
	}
	p.Idle = len(upstreams) - active
	if total > 0 && p.Pool != "" {
		p.BusiestToMean = most * float64(active) / total
		for i := range upstreams {
			upstreams[i].Share = work[i] / total
		}
	}
	slices.SortStableFunc(upstreams, func(a, b UpstreamTiming) int { return cmp.Compare(b.Share, a.Share) })
	return p
}

// writeUpstreams writes the tables by pool and by upstream. Upstreams without attempts are
// left out of the latter.
func (s Summary) writeUpstreams(w io.Writer) {
	fmt.Fprintln(w, "\npool\tupstreams in the logs\twithout logged attempts\tattempts logged\tbusiest / mean\t")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.2f\t\n", cmp.Or(p.Pool, "unknown"), p.Upstreams, p.Idle, p.Attempts, p.BusiestToMean)
	}
	fmt.Fprintln(w, "\nupstream\tpool\tattempts logged\trefused\tfailed\tp50\tp99\tworst\tshare of work\t")
	for _, u := range s.Upstreams {
		if u.Attempts > 0 {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%.1f %%\t\n", u.Upstream, cmp.Or(u.Pool, "unknown"), u.Attempts, u.Refused, u.Failed, u.Took, 100*u.Share)
		}
	}
}
