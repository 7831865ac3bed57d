// Package customer holds the customers of a configuration and finds them by their API
// keys. Only digests of the keys are held.
package customer

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/option"
)

// Customer is one customer of the site. The zero Customer stands for callers of public
// routes, which need no key.
type Customer struct {
	Name string
	// Priority overrides the priority of the routes, if the operator has set it. 0 is
	// the most urgent.
	Priority option.Of[int]
}

// Digest is the SHA-256 digest of an API key. It is used wherever the key itself is not
// needed.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String does not show the digest: it would confirm a guessed key.
func (Digest) String() string { return "(key)" }

// Entry is a customer as configured, with the digests of its keys.
type Entry struct {
	Customer
	Keys []Digest
}

// Index finds customers by their keys and names. It is immutable. A nil Index is that
// of a site without customers.
type Index struct {
	byKey  map[Digest]Customer
	byName map[string]Entry
}

// NewIndex returns the index of entries. It returns an error if a customer has no name,
// or if two customers have the same name or key.
func NewIndex(entries []Entry) (*Index, error) {
	ix := &Index{byKey: map[Digest]Customer{}, byName: map[string]Entry{}}
	for _, e := range entries {
		if _, exists := ix.byName[e.Name]; exists || e.Name == "" {
			return nil, fmt.Errorf("customer: name %q is empty or not unique", e.Name)
		}
		ix.byName[e.Name] = e
		for _, key := range e.Keys {
			if other, exists := ix.byKey[key]; exists && other.Name != e.Name {
				return nil, fmt.Errorf("customer: %s and %s have the same key", other.Name, e.Name)
			}
			ix.byKey[key] = e.Customer
		}
	}
	return ix, nil
}

// FindByKey returns the customer that has key. Keys are compared by their digests, so
// that the time a comparison takes reveals nothing of the key.
func (ix *Index) FindByKey(key string) (Customer, bool) {
	if ix == nil || key == "" {
		return Customer{}, false
	}
	c, ok := ix.byKey[DigestOf(key)]
	return c, ok
}

// FindByName returns the customer with a name.
func (ix *Index) FindByName(name string) (Customer, bool) {
	if ix == nil {
		return Customer{}, false
	}
	e, ok := ix.byName[name]
	return e.Customer, ok
}

// Len returns the number of customers.
func (ix *Index) Len() int {
	if ix == nil {
		return 0
	}
	return len(ix.byName)
}

// Diff lists the names of customers that differ between two indexes.
type Diff struct {
	Added       []string `json:"added,omitempty"`
	Removed     []string `json:"removed,omitempty"`
	KeysChanged []string `json:"rekeyed,omitempty"` // keys were added or removed
}

// Empty reports whether there is no difference.
func (d Diff) Empty() bool { return len(d.Added)+len(d.Removed)+len(d.KeysChanged) == 0 }

// Compare returns what has changed from old to ix. Either may be nil.
func (ix *Index) Compare(old *Index) Diff {
	var d Diff
	before, after := old.entries(), ix.entries()
	for _, name := range slices.Sorted(maps.Keys(after)) {
		switch previous, ok := before[name]; {
		case !ok:
			d.Added = append(d.Added, name)
		case !sameKeys(previous, after[name]):
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

func (ix *Index) entries() map[string]Entry {
	if ix == nil {
		return nil
	}
	return ix.byName
}

func sameKeys(a, b Entry) bool {
	return len(a.Keys) == len(b.Keys) && !slices.ContainsFunc(a.Keys, func(k Digest) bool { return !slices.Contains(b.Keys, k) })
}
