// Package routetable holds the routes that operators configure: which requests go to
// which pool of upstreams, and with which limits and retries.
package routetable

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/customer"
)

// Kind says how a route's requests may be handled.
type Kind int

// The kinds of routes.
const (
	NonIdempotent Kind = iota // each request runs at most once
	Idempotent                // requests may run again
	Streaming                 // non-idempotent, with a stream of events as response
	Submissions               // accepts batch submissions, whose items run as streams
)

// Share is the weight with which a pool receives a route's requests.
type Share struct {
	Pool   string
	Weight int
}

// Route is the configuration of one route.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // starts and ends with a slash
	Kind       Kind
	Shares     []Share
	Resumable  bool // a stream may be continued at another upstream
	Public     bool // callers need no key

	MaxAttempts      int           // attempts at one request that may have run, at least 1
	Timeout          time.Duration // longest time that a request may take; 0 for no limit
	LatencyObjective time.Duration // time within which a response counts as in time; 0 if not configured
	Due              time.Duration // time after which a submission's results are due
	MaxAge           time.Duration // age at which an item of a submission may be given up; 0 for never
	Priority         int           // 0 is the most urgent

	SingleVersion bool // each sample must come from one weight version
}

// PickPool returns the pool for a request by the weights of the route's shares, given a
// random number, uniform in [0, 1). The route must have a share.
func (r Route) PickPool(random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * float64(total)
	for _, s := range r.Shares {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Without returns the route without the shares of the pools that exclude reports true
// for. The result may have no share.
func (r Route) Without(exclude func(pool string) bool) Route {
	excluded := func(s Share) bool { return exclude(s.Pool) }
	if slices.ContainsFunc(r.Shares, excluded) {
		r.Shares = slices.DeleteFunc(slices.Clone(r.Shares), excluded)
	}
	return r
}

// Pool is the configuration of a pool of upstreams.
type Pool struct {
	Name  string
	Slots int // requests that an engine runs at once; 0 if not configured
	// MaxSlots is the most requests that an upstream of the pool can run at once; 0 if unknown.
	MaxSlots int
	Models   []string // models that the pool's engines can hold; empty for plain services
	Scaling  Scaling  // zero if engines cannot be ordered for the pool
	// MemoryTokens is how many tokens an engine holds in memory; 0 if unknown.
	MemoryTokens int
}

// Scaling limits the engines that may be ordered for a pool, and holds their prices.
type Scaling struct {
	Min, Max  int // engines of all kinds in one data centre; Max 0 if none may be ordered
	BootTime  time.Duration
	SpotPrice float64            // price of a spot engine, which the provider may take back, relative to a regular one; 0 if there are none
	Prices    map[string]float64 // relative price of an engine's time, by data centre
}

// Limits are the limits on requests of callers, in bytes and time. Zero fields are those that the
// configuration does not set.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table is one version of the whole configuration. It is immutable.
type Table struct {
	Version uint64
	Limits  Limits
	Pools   map[string]Pool
	// Customers holds the customers with keys; nil if callers of the site need none.
	Customers *customer.Index
	byHost    map[string][]Route // longest prefix first
}

// New returns the Table of a version with the given routes, pools and limits.
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

// Match returns the route of a request: among the routes of its host, the one with the
// longest prefix of path.
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

// SingleVersion reports whether a route requires samples of one weight version.
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
