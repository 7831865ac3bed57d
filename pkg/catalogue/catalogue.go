// Package catalogue holds the operators' catalogue: entries, each with an owner, a
// class and limits, and the pools of upstreams that serve them. The catalogue is kept
// in the platform's table, one row per entry or pool. Every accepted edit is a
// compare-and-set that also writes an audit record.
package catalogue

import (
	"fmt"
	"regexp"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// Class is the kind of an entry's callers. It determines the priority of their
// requests.
type Class string

// The classes of callers.
const (
	Interactive Class = "interactive" // people who wait for the answer
	Background  Class = "background"  // internal services, such as batch checks
	Training    Class = "training"    // trainers; answers become samples
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

// Kind is the kind of a pool's upstreams.
type Kind string

// The kinds of upstream.
const (
	Engines  Kind = "engines"  // model engines
	Services Kind = "services" // plain services
)

// Limits are the limits of one entry.
type Limits struct {
	MaxInFlight int `json:"max_in_flight"` // requests in flight, per entry instance
	MaxTokens   int `json:"max_tokens"`    // tokens per generation
}

// Entry is one catalogue entry.
type Entry struct {
	Name    string `json:"name"`
	Owner   string `json:"owner"` // customer whose callers may use the entry
	Class   Class  `json:"class"`
	Pool    string `json:"pool"`
	Limits  Limits `json:"limits"`
	Trainer string `json:"trainer,omitempty"` // address that samples are delivered to, for Training
	// MaxVersionLag is how many weight versions the oldest version of a sample may be
	// behind the newest version of the pool. 1 allows the previous version.
	MaxVersionLag uint64 `json:"max_version_lag"`
	Generation    uint64 `json:"generation"`        // number of accepted edits
	Removed       bool   `json:"removed,omitempty"` // set by Remove
}

// Customer limits a customer's use over all its entries. A customer that is not in the
// catalogue is limited by its entries' limits alone.
type Customer struct {
	Name        string `json:"name"`
	MaxInFlight int    `json:"max_in_flight"` // requests in flight, per entry instance
	// KeyDigests are the SHA-256 digests of the customer's API keys, in hexadecimal. If
	// there are none, callers need no key.
	KeyDigests []string `json:"key_digests,omitempty"`
	Generation uint64   `json:"generation"`
	Removed    bool     `json:"removed,omitempty"` // set by Remove
}

// Check returns an error for the first invalid field of c.
func (c Customer) Check() error {
	if !namePattern.MatchString(c.Name) {
		return fmt.Errorf("customer name %q: want lower-case letters, digits, '-' or '_'", c.Name)
	}
	if c.MaxInFlight <= 0 {
		return fmt.Errorf("customer %s: max_in_flight must be positive", c.Name)
	}
	return c.checkKeys()
}

// UpstreamState says whether an upstream accepts new work.
type UpstreamState string

// The states of an upstream.
const (
	Live    UpstreamState = "live"
	Leaving UpstreamState = "leaving" // draining: finishes its work and accepts no new work
)

// Upstream is one engine or service process.
type Upstream struct {
	Address    string        `json:"address"`
	DataCentre string        `json:"data_centre"`
	State      UpstreamState `json:"state"`
	// LegacyManaged marks an engine that gets its load orders from the older rollout
	// system. Requests are sent to it, load orders are not.
	LegacyManaged bool `json:"older_system,omitempty"`
	// MaxInFlight is how many requests all instances together may have in flight at the
	// upstream, so that another system that shares it has the rest; 0 for no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// Pool is a set of upstreams of one kind.
type Pool struct {
	Name      string     `json:"name"`
	Kind      Kind       `json:"kind"`
	Upstreams []Upstream `json:"upstreams"`
	// MaxLoading is how many engines may load a weight version at once and so be
	// unavailable; 0 for the default, see LoadingBudget.
	MaxLoading int    `json:"max_loading,omitempty"`
	Generation uint64 `json:"generation"`
	Removed    bool   `json:"removed,omitempty"` // set by Remove
}

// LoadingBudget returns how many of p's engines may load at once: MaxLoading, or by
// default a third of them, at least one.
func (p Pool) LoadingBudget() int {
	if p.MaxLoading > 0 {
		return p.MaxLoading
	}
	return max(1, len(p.Upstreams)/3)
}

// LoadableEngines returns the addresses of p's engines to which load orders may be
// sent.
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

// Check returns an error for the first invalid field of e.
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

// Check returns an error for the first invalid field of p.
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
