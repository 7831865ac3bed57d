package routetable

import (
	"reflect"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/customer"
)

// Diff lists the names of routes that differ between two configurations, and says what
// else differs.
type Diff struct {
	Added   []string `json:"added,omitempty"`
	Removed []string `json:"removed,omitempty"`
	Changed []string `json:"changed,omitempty"`
	Limits  bool     `json:"limits,omitempty"` // they differ
	Pools   bool     `json:"pools,omitempty"`  // they differ
	// Customers are the customers added, removed or with other keys; nil if there are
	// none.
	Customers *customer.Diff `json:"customers,omitempty"`
}

// Compare returns what has changed from old to t. A nil old stands for an empty table.
func (t *Table) Compare(old *Table) Diff {
	if old == nil {
		old = New(0, nil, nil, Limits{})
	}
	before, after := old.byName(), t.byName()
	d := Diff{Limits: old.Limits != t.Limits, Pools: !reflect.DeepEqual(old.Pools, t.Pools)}
	for name, r := range after {
		switch previous, ok := before[name]; {
		case !ok:
			d.Added = append(d.Added, name)
		case !reflect.DeepEqual(previous, r):
			d.Changed = append(d.Changed, name)
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			d.Removed = append(d.Removed, name)
		}
	}
	if c := t.Customers.Compare(old.Customers); !c.Empty() {
		d.Customers = &c
	}
	slices.Sort(d.Added)
	slices.Sort(d.Removed)
	slices.Sort(d.Changed)
	return d
}

func (t *Table) byName() map[string]Route {
	out := map[string]Route{}
	for _, rs := range t.byHost {
		for _, r := range rs {
			out[r.Name] = r
		}
	}
	return out
}
