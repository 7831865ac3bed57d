// Package customer knows the customers of a configuration and finds them by
// their API keys. Keys are held as digests only.
package customer

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/option"
)

// Customer is one customer of the site. The zero Customer is nobody: that of
// requests that need no key.
type Customer struct {
	Name string
	// Priority goes before that of the routes, if the operator has set one; 0 is
	// the most urgent.
	Priority option.Of[int]
}

// Digest stands for an API key wherever the key itself is not needed.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String hides the digest: a key that somebody guesses could be confirmed by it.
func (Digest) String() string { return "(key)" }

// Entry is a customer as it is configured.
type Entry struct {
	Customer
	Keys []Digest
}

// Index finds customers by their keys and names. It is not changed once it is
// made. A nil Index is that of a site without customers.
type Index struct {
	byKey  map[Digest]Customer
	byName map[string]Entry
}

// NewIndex returns the index of entries, or an error if a customer has no name,
// or two have one name or one key.
func NewIndex(entries []Entry) (*Index, error) {
	x := &Index{byKey: map[Digest]Customer{}, byName: map[string]Entry{}}
	for _, e := range entries {
		if _, taken := x.byName[e.Name]; taken || e.Name == "" {
			return nil, fmt.Errorf("customer: no name, or one that another has: %q", e.Name)
		}
		x.byName[e.Name] = e
		for _, key := range e.Keys {
			if other, taken := x.byKey[key]; taken && other.Name != e.Name {
				return nil, fmt.Errorf("customer: %s and %s have the same key", other.Name, e.Name)
			}
			x.byKey[key] = e.Customer
		}
	}
	return x, nil
}

// FindByKey returns the customer who has key. Keys are compared by their digests, so
// that the time it takes tells nothing of them.
func (x *Index) FindByKey(key string) (Customer, bool) {
	if x == nil || key == "" {
		return Customer{}, false
	}
	c, ok := x.byKey[DigestOf(key)]
	return c, ok
}

// FindByName returns the customer with a name.
func (x *Index) FindByName(name string) (Customer, bool) {
	if x == nil {
		return Customer{}, false
	}
	e, ok := x.byName[name]
	return e.Customer, ok
}

// Len returns how many customers there are.
func (x *Index) Len() int {
	if x == nil {
		return 0
	}
	return len(x.byName)
}

// Diff tells what of an index is new against another, by the names of customers.
type Diff struct {
	Added       []string `json:"added,omitempty"`
	Removed     []string `json:"removed,omitempty"`
	KeysChanged []string `json:"rekeyed,omitempty"` // keys were added or taken away
}

// Empty reports whether nothing is new.
func (d Diff) Empty() bool { return len(d.Added)+len(d.Removed)+len(d.KeysChanged) == 0 }

// Compare returns what x has new against old. Either may be nil.
func (x *Index) Compare(old *Index) Diff {
	var d Diff
	before, after := old.entries(), x.entries()
	for _, name := range slices.Sorted(maps.Keys(after)) {
		switch was, ok := before[name]; {
		case !ok:
			d.Added = append(d.Added, name)
		case !sameKeys(was, after[name]):
			d.KeysChanged = append(d.KeysChanged, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			d.Removed = append(d.Removed, name)
		}
	}
	return d
}

func (x *Index) entries() map[string]Entry {
	if x == nil {
		return nil
	}
	return x.byName
}

func sameKeys(a, b Entry) bool {
	return len(a.Keys) == len(b.Keys) && !slices.ContainsFunc(a.Keys, func(k Digest) bool { return !slices.Contains(b.Keys, k) })
}
