package control

import (
	"fmt"
	"net/http"
	"sort"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// Member is an entry instance as described by its membership lease.
type Member struct {
	ID          string `json:"id"`
	Address     string `json:"address"` // for callers
	PeerAddress string `json:"peer"`    // for other instances
	DataCentre  string `json:"data_centre"`
	Draining    bool   `json:"draining"`
}

// View is the state that request handlers read. The control goroutine publishes a new
// one for each change and does not modify it afterwards. Load reports are the
// exception: they are in one shared table, so that a report does not require a new
// View.
type View struct {
	Entries        map[string]catalogue.Entry
	Pools          map[string]catalogue.Pool
	Customers      map[string]catalogue.Customer
	Instances      map[string]platform.InstanceState // by address, as of the last read of the platform's list
	RowVersions    map[string]uint64                 // catalogue row key → version applied
	Members        []Member                          // live members, sorted by ID
	Loads          *LoadTable
	Targets        map[string]weights.Target // pool → its target version
	NewestVersions map[string]uint64         // pool → newest target version, or newest version reported if it has no target
	Draining       bool
}

func (v *View) clone() *View {
	n := *v
	return &n
}

// EntryFor returns the catalogue entry name of customer, or a NotRun error. The error
// is the same whether the entry is missing or another customer's, so that customers
// learn nothing of each other's entries.
func (v *View) EntryFor(customer, name string) (catalogue.Entry, error) {
	e, ok := v.Entries[name]
	if !ok || e.Owner != customer {
		return catalogue.Entry{}, verdict.New(verdict.NotRun, http.StatusNotFound,
			fmt.Errorf("no catalogue entry %q for customer %q", name, customer))
	}
	return e, nil
}

// Report returns the last load report of the engine at addr, if there is one.
func (v *View) Report(addr string) (engine.LoadReport, bool) { return v.Loads.get(addr) }

// ReportOrZero returns the last load report of the engine at addr, or the zero report.
func (v *View) ReportOrZero(addr string) engine.LoadReport {
	rep, _ := v.Loads.get(addr)
	return rep
}

// UpstreamLeaving reports whether the upstream at addr is leaving by the platform's
// list or its own report, regardless of its state in the catalogue.
func (v *View) UpstreamLeaving(addr string) bool {
	return v.Instances[addr] == platform.InstanceLeaving || v.ReportOrZero(addr).Leaving
}

// LiveUpstreams returns the upstreams of the pool that accept new work, nil if there is
// no pool of that name and kind.
func (v *View) LiveUpstreams(pool string, kind catalogue.Kind) []catalogue.Upstream {
	p, ok := v.Pools[pool]
	if !ok || p.Kind != kind {
		return nil
	}
	out := make([]catalogue.Upstream, 0, len(p.Upstreams))
	for _, u := range p.Upstreams {
		if u.State == catalogue.Live && !v.UpstreamLeaving(u.Address) {
			out = append(out, u)
		}
	}
	return out
}

// VersionTooOld reports whether a weight version is older than e allows for a sample.
func (v *View) VersionTooOld(e catalogue.Entry, version uint64) bool {
	return version+e.MaxVersionLag < v.NewestVersions[e.Pool]
}

// Routable returns the members that accept new callers, sorted by ID.
func (v *View) Routable() []Member {
	out := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if !m.Draining {
			out = append(out, m)
		}
	}
	return out
}

func sortMembers(ms []Member) {
	sort.Slice(ms, func(i, j int) bool { return ms[i].ID < ms[j].ID })
}

// HasCustomer reports whether customer is in the catalogue, by itself or as the owner
// of an entry. It is true for all customers while the catalogue has no entries, as
// before it has been read.
func (v *View) HasCustomer(customer string) bool {
	if _, ok := v.Customers[customer]; ok || len(v.Entries) == 0 {
		return true
	}
	for _, e := range v.Entries {
		if e.Owner == customer {
			return true
		}
	}
	return false
}
