// Package catalogue holds the operators' catalogue: entries, each with an
// owner, a class and limits, and the pools of upstreams they are served by.
// The catalogue lives in the platform's table, one row per entry or pool;
// every accepted edit is a compare-and-set that also writes an audit record.
package catalogue

import (
	"fmt"
	"regexp"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// Class says who calls an entry and so how its requests are ranked.
type Class string

// The classes of the brief's callers.
const (
	Interactive Class = "interactive" // desk agents and families on live calls
	Background  Class = "background"  // internal services: ledger sync, merge checks
	Training    Class = "training"    // trainers' rollouts; answers become samples
)

// Priority returns the engine priority of requests of class c.
func (c Class) Priority() engine.Priority {
	switch c {
	case Interactive:
		return engine.PriorityInteractive
	case Background:
		return engine.PriorityBackground
	default:
		return engine.PriorityTraining
	}
}

// Kind is the kind of upstream a pool holds.
type Kind string

// The kinds of upstream.
const (
	Engines  Kind = "engines"  // model engines
	Services Kind = "services" // plain services
)

// Limits bound the use of one entry.
type Limits struct {
	MaxInFlight int `json:"max_in_flight"` // requests at once, per entry instance
	MaxTokens   int `json:"max_tokens"`    // tokens per generation
}

// Entry is one catalogue entry.
type Entry struct {
	Name    string `json:"name"`
	Owner   string `json:"owner"` // the customer whose callers may use it
	Class   Class  `json:"class"`
	Pool    string `json:"pool"`
	Limits  Limits `json:"limits"`
	Trainer string `json:"trainer,omitempty"` // address samples go to, for Training
	// MaxVersionLag is how many weight versions behind the pool's newest
	// a sample's oldest version may be: 1 allows the previous version.
	MaxVersionLag uint64 `json:"max_version_lag"`
	Generation    uint64 `json:"generation"`        // edits accepted so far
	Removed       bool   `json:"removed,omitempty"` // see Remove
}

// Customer bounds a customer's use over all its entries. A customer without
// one is bounded by its entries' limits alone.
type Customer struct {
	Name        string `json:"name"`
	MaxInFlight int    `json:"max_in_flight"` // requests at once, per entry instance
	// KeyDigests are the SHA-256 digests of its API keys, in hexadecimal. With none,
	// callers need no key.
	KeyDigests []string `json:"key_digests,omitempty"`
	Generation uint64   `json:"generation"`
	Removed    bool     `json:"removed,omitempty"` // see Remove
}

// Check reports the first problem with c, naming the field.
func (c Customer) Check() error {
	if !namePattern.MatchString(c.Name) {
		return fmt.Errorf("customer name %q: want lower-case letters, digits, '-' or '_'", c.Name)
	}
	if c.MaxInFlight <= 0 {
		return fmt.Errorf("customer %s: max_in_flight must be positive", c.Name)
	}
	return c.checkKeys()
}

// UpstreamState says whether an upstream takes new work.
type UpstreamState string

// The states of an upstream.
const (
	Live    UpstreamState = "live"
	Leaving UpstreamState = "leaving" // finishing its work; takes no new work
)

// Upstream is one engine or service instance.
type Upstream struct {
	Address    string        `json:"address"`
	DataCentre string        `json:"data_centre"`
	State      UpstreamState `json:"state"`
	// LegacyManaged marks an engine that the older rollout system still
	// gives orders to: requests are routed to it, orders are not.
	LegacyManaged bool `json:"older_system,omitempty"`
	// MaxInFlight is how many requests the whole system may have in flight
	// at the upstream, so that another system sharing it keeps the rest; 0
	// for no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// Pool is a set of upstreams of one kind.
type Pool struct {
	Name      string     `json:"name"`
	Kind      Kind       `json:"kind"`
	Upstreams []Upstream `json:"upstreams"`
	// MaxLoading is how many engines may load a weight version at once,
	// and so be unavailable; 0 takes the default, see LoadingBudget.
	MaxLoading int    `json:"max_loading,omitempty"`
	Generation uint64 `json:"generation"`
	Removed    bool   `json:"removed,omitempty"` // see Remove
}

// LoadingBudget returns how many of p's engines may load at once:
// MaxLoading, or by default a third of them, at least one.
func (p Pool) LoadingBudget() int {
	if p.MaxLoading > 0 {
		return p.MaxLoading
	}
	return max(1, len(p.Upstreams)/3)
}

// LoadableEngines returns the addresses of the engines of p that may be ordered
// to load weights.
func (p Pool) LoadableEngines() []string {
	var out []string
	for _, u := range p.Upstreams {
		if p.Kind == Engines && u.State == Live && !u.LegacyManaged {
			out = append(out, u.Address)
		}
	}
	return out
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// Check reports the first problem with e, naming the field.
func (e Entry) Check() error {
	switch {
	case !namePattern.MatchString(e.Name):
		return fmt.Errorf("entry name %q: want lower-case letters, digits, '-' or '_'", e.Name)
	case !namePattern.MatchString(e.Owner):
		return fmt.Errorf("entry %s: owner %q is not a valid customer name", e.Name, e.Owner)
	case e.Class != Interactive && e.Class != Background && e.Class != Training:
		return fmt.Errorf("entry %s: class %q: want interactive, background or training", e.Name, e.Class)
	case !namePattern.MatchString(e.Pool):
		return fmt.Errorf("entry %s: pool %q is not a valid pool name", e.Name, e.Pool)
	case e.Limits.MaxInFlight <= 0:
		return fmt.Errorf("entry %s: limits.max_in_flight must be positive", e.Name)
	case e.Limits.MaxTokens <= 0:
		return fmt.Errorf("entry %s: limits.max_tokens must be positive", e.Name)
	case e.Class == Training && e.Trainer == "":
		return fmt.Errorf("entry %s: class training needs a trainer address", e.Name)
	}
	return nil
}

// Check reports the first problem with p, naming the field.
func (p Pool) Check() error {
	if !namePattern.MatchString(p.Name) {
		return fmt.Errorf("pool name %q: want lower-case letters, digits, '-' or '_'", p.Name)
	}
	if p.MaxLoading < 0 {
		return fmt.Errorf("pool %s: max_loading must not be negative", p.Name)
	}
	if p.Kind != Engines && p.Kind != Services {
		return fmt.Errorf("pool %s: kind %q: want engines or services", p.Name, p.Kind)
	}
	for i, u := range p.Upstreams {
		if u.Address == "" || u.DataCentre == "" {
			return fmt.Errorf("pool %s: upstreams[%d] needs address and data_centre", p.Name, i)
		}
		if u.MaxInFlight < 0 {
			return fmt.Errorf("pool %s: upstreams[%d].max_in_flight must not be negative", p.Name, i)
		}
		if u.State != Live && u.State != Leaving {
			return fmt.Errorf("pool %s: upstreams[%d].state %q: want live or leaving", p.Name, i, u.State)
		}
	}
	return nil
}
