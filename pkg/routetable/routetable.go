// Package routetable holds the routes that operators configure: which
// requests go to which pool of upstreams, and on what terms.
package routetable

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/customer"
)

// Kind says what may be done with a route's requests.
type Kind int

// The kinds of routes.
const (
	NonIdempotent Kind = iota // at most one run for each request
	Idempotent                // may be run again
	Streaming                 // non-idempotent, answered by a series of events
	Submissions               // takes batch submissions, whose items run as streams
)

// Share is a part of a route's requests that goes to one pool.
type Share struct {
	Pool   string
	Weight int
}

// Route is one route.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	Shares     []Share
	Resumable  bool // a stream may go on at another upstream
	Public     bool // its callers need no key

	MaxAttempts      int           // upstreams that one request may be sent to; at least 1
	Timeout          time.Duration // longest time that a request may be kept; 0 for none
	LatencyObjective time.Duration // time within which an answer is on time; 0 if not told
	Due              time.Duration // results of a submission are due this long after it
	MaxAge           time.Duration // an item of a submission may be given up after it; 0 for never
	Priority         int           // 0 is the most urgent

	SingleVersion bool // a sample must come from one weight version
}

// PickPool returns the pool for a request, given a number drawn evenly from
// [0, 1). The route must have a share.
func (r Route) PickPool(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Shares {
		if at -= float64(s.Weight); at < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Pool is what the configuration says of the upstreams of one pool.
type Pool struct {
	Name    string
	Slots   int      // requests that an engine batches; 0 if not told
	Models  []string // models that the pool's engines hold; empty for plain services
	Scaling Scaling  // zero if engines cannot be ordered for the pool
}

// Scaling says how many engines may be ordered for a pool, and what they cost.
type Scaling struct {
	Min, Max  int // engines of all kinds in one data centre; Max 0 for none to order
	BootTime  time.Duration
	SpotPrice float64            // of one that may be taken back, as a part of another's price; 0 if there are none
	Prices    map[string]float64 // relative price of an engine's time, by data centre
}

// Limits bound what callers may send; zero fields are not bounded.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table is one version of the whole configuration. It is not changed once
// it is made.
type Table struct {
	Version uint64
	Limits  Limits
	Pools   map[string]Pool
	// Customers are those who have keys; nil if the site's callers need none.
	Customers *customer.Index
	byHost    map[string][]Route // longest prefix first
}

// New returns the Table of version with the given routes and pools.
func New(version uint64, routes []Route, pools []Pool, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Pools: map[string]Pool{}, byHost: map[string][]Route{}}
	for _, p := range pools {
		t.Pools[p.Name] = p
	}
	for _, r := range routes {
		r.MaxAttempts = max(r.MaxAttempts, 1)
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return t
}

// Match returns the route of a request: of those of its host, the one whose
// prefix is the longest that begins path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// HasPublicRoute reports whether a host has a public route of a kind.
func (t *Table) HasPublicRoute(host string, kind Kind) bool {
	return slices.ContainsFunc(t.byHost[host], func(r Route) bool { return r.Public && r.Kind == kind })
}

// SingleVersion reports whether a route wants samples of one weight version.
func (t *Table) SingleVersion() bool {
	for _, rs := range t.byHost {
		for _, r := range rs {
			if r.SingleVersion {
				return true
			}
		}
	}
	return false
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, rs := range t.byHost {
		n += len(rs)
	}
	return n
}
