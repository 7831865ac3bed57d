// Package claim keeps a record of each non-idempotent call in the platform's
// table, so that a call with one key is sent at most once by all instances
// together, and its answer is given again to those who repeat it.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

const prefix = "claim/"

// State is where a non-idempotent call stands.
type State string

// The states of a claim. A call is sent only by the attempt that moved its
// claim from claimed to sending by compare-and-set on the version it wrote
// itself; so a claim still claimed was never sent, and any attempt may take
// it over, which fences out the attempt that wrote it.
const (
	Claimed State = "claimed"
	Sending State = "sending"
	Done    State = "done"
)

// Record is the record of a non-idempotent call in the platform's table.
type Record struct {
	Attempt string          `json:"attempt"` // the entry instance and request that hold it
	State   State           `json:"state"`
	Answer  json.RawMessage `json:"answer,omitempty"`
	// Digest tells the call's request from another with the same key; empty in
	// records of before it was kept.
	Digest string `json:"digest,omitempty"`
}

// Claims are kept in a bucket for each day, so that old ones can be removed
// without reading the others. A call's claim is looked for in the day before
// and the day after too: a key is remembered for a day at least, and by
// instances whose clocks are up to a day apart.
const (
	day       = 24 * time.Hour
	dayFormat = time.DateOnly
	// RetentionDays is how many days before today a bucket is kept.
	RetentionDays = 2
)

// Key returns the row key of a call's claim in the bucket of day at.
func Key(at time.Time, call string) string {
	return prefix + at.UTC().Format(dayFormat) + "/" + call
}

// ErrOtherRequest is wrapped by the error of a call whose key was used before
// with another method or body: the answer to that is not its own.
var ErrOtherRequest = errors.New("call: the key was used before for another request")

// Config is what claimers need.
type Config struct {
	Get     func(ctx context.Context, key string) (platform.Row, error)
	Commit  func(ctx context.Context, ops ...platform.Op) ([]platform.Row, error)
	Clock   clock.Clock
	Timeout time.Duration    // of a read that confirms a write
	RetryAt func() time.Time // when a caller that is turned away may come back
}

// Claimer takes and moves one call's claim.
type Claimer struct {
	cfg     Config
	attempt string
	digest  string
	key     string   // of the row that is or will be the claim
	absent  []string // keys of rows that must not exist
}

// New returns the Claimer of the attempt named attempt, which is unique, at the
// call named call, whose request has the given digest.
func New(cfg Config, attempt, call, digest string) *Claimer {
	now := cfg.Clock.Now()
	return &Claimer{cfg: cfg, attempt: attempt, digest: digest, key: Key(now, call), absent: []string{Key(now.Add(-day), call), Key(now.Add(day), call)}}
}

// Key returns the key of the claim's row.
func (c *Claimer) Key() string { return c.key }

// tries bounds Take under attempts that race.
const tries = 4

// Acquire makes this attempt the claim's holder, in state claimed. A claim
// that is done gives its recorded answer instead; one that is sending
// means the call may have run, and it is not sent again.
func (c *Claimer) Acquire(ctx context.Context) (platform.Row, json.RawMessage, error) {
	var expect uint64
	for range tries {
		row, err := c.write(ctx, expect, Record{Attempt: c.attempt, State: Claimed, Digest: c.digest})
		var ce *platform.ConflictError
		switch {
		case err == nil:
			return row, nil, nil
		case errors.As(err, &ce) && ce.Current.Version == 0:
			expect = 0 // removed since it was read
		case errors.As(err, &ce):
			answer, err := c.standing(ce.Current)
			if err != nil || answer != nil {
				return platform.Row{}, answer, err
			}
			c.takeOver(ce.Key)
			expect = ce.Current.Version
		default:
			got, ok := c.confirm(ctx, Claimed)
			if !ok {
				return platform.Row{}, nil, c.unsent(err)
			}
			return got, nil, nil
		}
	}
	return platform.Row{}, nil, c.unsent(errors.New("claim kept changing"))
}

// takeOver makes key, in whichever day's bucket, the claim's row: the claim
// there was never sent.
func (c *Claimer) takeOver(key string) {
	for i, k := range c.absent {
		if k == key {
			c.key, c.absent[i] = key, c.key
		}
	}
}

// write writes the claim at expect, on condition that no other day's bucket
// holds one.
func (c *Claimer) write(ctx context.Context, expect uint64, cl Record) (platform.Row, error) {
	put, err := platform.Put(c.key, expect, cl)
	if err != nil {
		return platform.Row{}, err
	}
	ops := []platform.Op{put}
	for _, k := range c.absent {
		ops = append(ops, platform.Check(k, 0))
	}
	rows, err := c.cfg.Commit(ctx, ops...)
	if err != nil {
		return platform.Row{}, err
	}
	return rows[0], nil
}

// SetState rewrites the claim from row to state next, with the answer if there is one, failing NotRun if another
// attempt took it over meanwhile.
func (c *Claimer) SetState(ctx context.Context, row platform.Row, next State, answer json.RawMessage) (platform.Row, error) {
	got, err := c.write(ctx, row.Version, Record{Attempt: c.attempt, State: next, Answer: answer, Digest: c.digest})
	var ce *platform.ConflictError
	switch {
	case err == nil:
		return got, nil
	case errors.As(err, &ce):
		return platform.Row{}, c.unsent(errors.New("another attempt took the claim over"))
	}
	if got, ok := c.confirm(ctx, next); ok {
		return got, nil
	}
	return platform.Row{}, c.unsent(err)
}

// confirm re-reads the claim after a write whose answer was lost, and
// reports whether the write took effect.
func (c *Claimer) confirm(ctx context.Context, want State) (platform.Row, bool) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	row, err := c.cfg.Get(ctx, c.key)
	if err != nil {
		return platform.Row{}, false
	}
	var cl Record
	if json.Unmarshal(row.Value, &cl) != nil || cl.Attempt != c.attempt || cl.State != want {
		return platform.Row{}, false
	}
	return row, true
}

// standing reads a claim found in the way: its answer if done, an error if
// sending, or neither if only claimed.
func (c *Claimer) standing(row platform.Row) (json.RawMessage, error) {
	var cl Record
	if err := json.Unmarshal(row.Value, &cl); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict, fmt.Errorf("call: unreadable claim: %w", err))
	}
	if cl.Digest != "" && cl.Digest != c.digest {
		return nil, verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, ErrOtherRequest)
	}
	switch cl.State {
	case Done:
		return cl.Answer, nil
	case Sending:
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict,
			errors.New("call: a call with this key was sent before and its outcome is unknown; it will not be sent again"))
	}
	return nil, nil
}

// unsent is the error of a call refused before it was sent.
func (c *Claimer) unsent(err error) error {
	return verdict.Refuse(http.StatusServiceUnavailable, c.cfg.RetryAt(),
		fmt.Errorf("call: not sent: %w", err))
}
