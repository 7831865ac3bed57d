// Package claim keeps a record of each non-idempotent call in the platform's table. All
// instances together send a call with one idempotency key at most once, and its
// recorded answer is returned to callers who repeat it.
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

// State is the state of a claim.
type State string

// The states of a claim. A call is sent only by the attempt that changed its claim from
// Claimed to Sending, by compare-and-set on the version that this attempt wrote. So the
// call of a claim that is still Claimed was never sent, and another attempt may take
// the claim over, which fences out the attempt that wrote it.
const (
	Claimed State = "claimed"
	Sending State = "sending"
	Done    State = "done"
)

// Record is the value of a claim's row in the platform's table.
type Record struct {
	Attempt string          `json:"attempt"` // unique ID of the attempt that holds the claim: its instance and request
	State   State           `json:"state"`
	Answer  json.RawMessage `json:"answer,omitempty"`
	// Digest identifies the call's request, to tell it from another one with the same
	// key. It is empty in records written before the field existed.
	Digest string `json:"digest,omitempty"`
}

// Claims are kept in one bucket for each day, so that old ones can be deleted without
// reading the others. A claim is also looked up in the buckets of the day before and
// the day after: a key must be remembered for at least a day, also by instances whose
// clocks are up to a day apart.
const (
	day       = 24 * time.Hour
	dayFormat = time.DateOnly
	// RetentionDays is the number of days before today whose buckets are kept.
	RetentionDays = 2
)

// Key returns the row key of a call's claim in the bucket of the day of at, in UTC.
func Key(at time.Time, call string) string {
	return prefix + at.UTC().Format(dayFormat) + "/" + call
}

// ErrOtherRequest is wrapped by the error of a call whose key was used before with
// another method or body, so that the recorded answer is not that of the call.
var ErrOtherRequest = errors.New("call: idempotency key was used before for another request")

// Config configures Claimers.
type Config struct {
	Get     func(ctx context.Context, key string) (platform.Row, error)
	Commit  func(ctx context.Context, ops ...platform.Op) ([]platform.Row, error)
	Clock   clock.Clock
	Timeout time.Duration    // bounds the read that confirms a write
	RetryAt func() time.Time // returns when a refused caller may retry
}

// Claimer acquires the claim of one call for one attempt and changes its state.
type Claimer struct {
	cfg       Config
	attempt   string
	digest    string
	key       string   // of the claim's row
	otherKeys []string // keys of the other days, of which there must be no rows
}

// New returns a Claimer for the attempt at a call. attempt is the unique ID of the
// attempt, call identifies the call, and digest its request.
func New(cfg Config, attempt, call, digest string) *Claimer {
	now := cfg.Clock.Now()
	return &Claimer{cfg: cfg, attempt: attempt, digest: digest, key: Key(now, call), otherKeys: []string{Key(now.Add(-day), call), Key(now.Add(day), call)}}
}

// Key returns the key of the claim's row.
func (c *Claimer) Key() string { return c.key }

// maxAcquireAttempts bounds the attempts of Acquire when other attempts race with it.
const maxAcquireAttempts = 4

// Acquire makes this attempt the holder of the claim, in state Claimed, and returns the
// claim's row. If the claim is Done, it returns the recorded answer instead. If it is
// Sending, the call may have run and must not be sent again: the error has the verdict
// MayHaveRun. The error for a key that was used for another request wraps
// ErrOtherRequest. All errors other than the one for Sending, and the one for a
// malformed record, have the verdict NotRun.
func (c *Claimer) Acquire(ctx context.Context) (platform.Row, json.RawMessage, error) {
	var expect uint64
	for range maxAcquireAttempts {
		row, err := c.write(ctx, expect, Record{Attempt: c.attempt, State: Claimed, Digest: c.digest})
		var ce *platform.ConflictError
		switch {
		case err == nil:
			return row, nil, nil
		case errors.As(err, &ce) && ce.Current.Version == 0:
			expect = 0 // the claim was deleted after it was read
		case errors.As(err, &ce):
			answer, err := c.resolve(ce.Current)
			if err != nil || answer != nil {
				return platform.Row{}, answer, err
			}
			c.takeOver(ce.Key)
			expect = ce.Current.Version
		default:
			got, ok := c.confirm(ctx, Claimed)
			if !ok {
				return platform.Row{}, nil, c.notSent(err)
			}
			return got, nil, nil
		}
	}
	return platform.Row{}, nil, c.notSent(errors.New("claim changed on every attempt"))
}

// takeOver makes key, which may be in the bucket of another day, the key of the claim.
// The call of the claim in that row was never sent.
func (c *Claimer) takeOver(key string) {
	for i, k := range c.otherKeys {
		if k == key {
			c.key, c.otherKeys[i] = key, c.key
		}
	}
}

// write writes the claim on condition that its row has the version expect and that
// there is no claim in the buckets of the other days.
func (c *Claimer) write(ctx context.Context, expect uint64, record Record) (platform.Row, error) {
	put, err := platform.Put(c.key, expect, record)
	if err != nil {
		return platform.Row{}, err
	}
	ops := []platform.Op{put}
	for _, k := range c.otherKeys {
		ops = append(ops, platform.Check(k, 0))
	}
	rows, err := c.cfg.Commit(ctx, ops...)
	if err != nil {
		return platform.Row{}, err
	}
	return rows[0], nil
}

// SetState changes the state of the claim in row to next, and stores the answer if
// there is one. It returns the new row. It returns a NotRun error if another attempt
// has taken the claim over, or if the write cannot be confirmed.
func (c *Claimer) SetState(ctx context.Context, row platform.Row, next State, answer json.RawMessage) (platform.Row, error) {
	got, err := c.write(ctx, row.Version, Record{Attempt: c.attempt, State: next, Answer: answer, Digest: c.digest})
	var ce *platform.ConflictError
	switch {
	case err == nil:
		return got, nil
	case errors.As(err, &ce):
		return platform.Row{}, c.notSent(errors.New("another attempt took the claim over"))
	}
	if got, ok := c.confirm(ctx, next); ok {
		return got, nil
	}
	return platform.Row{}, c.notSent(err)
}

// confirm reads the claim after a write that got no answer, and reports whether the
// write took effect.
func (c *Claimer) confirm(ctx context.Context, want State) (platform.Row, bool) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	row, err := c.cfg.Get(ctx, c.key)
	if err != nil {
		return platform.Row{}, false
	}
	var record Record
	if json.Unmarshal(row.Value, &record) != nil || record.Attempt != c.attempt || record.State != want {
		return platform.Row{}, false
	}
	return row, true
}

// resolve evaluates an existing claim. It returns the recorded answer if the claim is
// Done, an error if it is Sending or belongs to another request, and neither if it may
// be taken over.
func (c *Claimer) resolve(row platform.Row) (json.RawMessage, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict, fmt.Errorf("call: decode claim: %w", err))
	}
	if record.Digest != "" && record.Digest != c.digest {
		return nil, verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, ErrOtherRequest)
	}
	switch record.State {
	case Done:
		return record.Answer, nil
	case Sending:
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict,
			errors.New("call: a call with this key was sent before and its outcome is unknown; it will not be sent again"))
	}
	return nil, nil
}

// notSent returns the error of a call that was refused before it was sent.
func (c *Claimer) notSent(err error) error {
	return verdict.Refuse(http.StatusServiceUnavailable, c.cfg.RetryAt(),
		fmt.Errorf("call: not sent: %w", err))
}
