// Package step runs training steps. A trainer submits groups of prompts and states how
// many complete groups it waits for; the groups that complete first are delivered, so
// that stragglers do not delay the step.
//
// The package holds the data of a step, its storage, and the reducer that decides which
// generation to start, repeat or cancel. The reducer does no I/O.
package step

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"time"
)

// Group is a set of generations from one prompt, which the trainer learns from
// together.
type Group struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	Size      int    `json:"size"`       // generations in the group
	MaxTokens int    `json:"max_tokens"` // limit of one generation
}

// Spec is a step as submitted by its trainer.
type Spec struct {
	Customer string    `json:"customer"`
	Entry    string    `json:"entry"` // name of a training entry of the catalogue
	ID       string    `json:"id"`
	Desired  int       `json:"desired"` // complete groups that the trainer waits for
	Deadline time.Time `json:"due_at"`  // when the step closes, complete or not
	Groups   []Group   `json:"groups"`
}

// Limits of one step.
const (
	MaxGroups    = 1024
	MaxGroupSize = 256
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// Check returns an error for the first invalid field of s, naming it, or nil.
func (s Spec) Check() error {
	switch {
	case s.Customer == "" || s.Entry == "":
		return fmt.Errorf("step: customer and entry are required")
	case !idPattern.MatchString(s.ID):
		return fmt.Errorf("step: id %q: want up to 64 letters, digits, '-' or '_'", s.ID)
	case s.Deadline.IsZero():
		return fmt.Errorf("step %s: due_at is required", s.ID)
	case len(s.Groups) == 0 || len(s.Groups) > MaxGroups:
		return fmt.Errorf("step %s: %d groups: want 1 to %d", s.ID, len(s.Groups), MaxGroups)
	case s.Desired <= 0 || s.Desired > len(s.Groups):
		return fmt.Errorf("step %s: desired %d: want 1 to the %d groups given", s.ID, s.Desired, len(s.Groups))
	}
	seen := map[string]bool{}
	for i, g := range s.Groups {
		switch {
		case !idPattern.MatchString(g.ID):
			return fmt.Errorf("step %s: groups[%d].id %q: want up to 64 letters, digits, '-' or '_'", s.ID, i, g.ID)
		case seen[g.ID]:
			return fmt.Errorf("step %s: group %s is given twice", s.ID, g.ID)
		case g.Size <= 0 || g.Size > MaxGroupSize:
			return fmt.Errorf("step %s: groups[%d].size %d: want 1 to %d", s.ID, i, g.Size, MaxGroupSize)
		case g.MaxTokens <= 0:
			return fmt.Errorf("step %s: groups[%d].max_tokens must be positive", s.ID, i)
		}
		seen[g.ID] = true
	}
	return nil
}

// Key returns the key of the step, unique among all steps.
func (s Spec) Key() string { return Key(s.Customer, s.Entry, s.ID) }

// Key returns the key of the step with the given ID of a customer's entry.
func Key(customer, entry, id string) string { return customer + "." + entry + "." + id }

// Digest returns a hexadecimal SHA-256 hash of s. It is the same if the same step is
// submitted again.
func (s Spec) Digest() string {
	b, _ := json.Marshal(s) // a Spec always encodes
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Reason is the reason why a step closed.
type Reason string

// The reasons for closing a step.
const (
	Complete       Reason = "complete"  // the desired number of groups is delivered
	DeadlinePassed Reason = "due"       // the deadline has passed
	Cancelled      Reason = "cancelled" // the trainer cancelled the step
)

// Head is the row of a step in the platform's table. It is written when the step is
// accepted and again when it closes.
type Head struct {
	Customer string    `json:"customer"`
	Entry    string    `json:"entry"`
	Digest   string    `json:"digest"` // names the object that holds the Spec
	Desired  int       `json:"desired"`
	Groups   int       `json:"groups"`
	Shards   int       `json:"shards"`
	Deadline time.Time `json:"due_at"`
	Closed   Reason    `json:"closed,omitempty"`
	ClosedAt time.Time `json:"closed_at"`
}

// NewHead returns the head of s, with shards of at most perShard groups.
func NewHead(s Spec, perShard int) Head {
	return Head{Customer: s.Customer, Entry: s.Entry, Digest: s.Digest(), Desired: s.Desired,
		Groups: len(s.Groups), Shards: (len(s.Groups) + perShard - 1) / perShard, Deadline: s.Deadline}
}

// ShardGroups returns the indexes of the groups in shard k: every h.Shards-th, so that
// each shard has early and late groups.
func (h Head) ShardGroups(k int) []int {
	var out []int
	for i := k; i < h.Groups; i += h.Shards {
		out = append(out, i)
	}
	return out
}

// Progress is the progress of a shard, by indexes of groups.
type Progress struct {
	Recorded []int `json:"recorded"` // recorded for delivery, not acknowledged yet
	Acked    []int `json:"acked"`    // acknowledged by the trainer
}

// Record returns p with group g recorded.
func (p Progress) Record(g int) Progress {
	return Progress{Recorded: append(without(p.Recorded, g), g), Acked: p.Acked}
}

// Ack returns p with group g acknowledged.
func (p Progress) Ack(g int) Progress {
	return Progress{Recorded: without(p.Recorded, g), Acked: append(without(p.Acked, g), g)}
}

// Refuse returns p with group g neither recorded nor acknowledged, as after the trainer
// refused it.
func (p Progress) Refuse(g int) Progress {
	return Progress{Recorded: without(p.Recorded, g), Acked: p.Acked}
}

func without(groups []int, g int) []int {
	return slices.DeleteFunc(slices.Clone(groups), func(x int) bool { return x == g })
}
