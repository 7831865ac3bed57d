package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

const claimPrefix = "claim/"

// claimState is where a non-idempotent call stands.
type claimState string

// The states of a claim. A call is sent only by the attempt that moved its
// claim from claimed to sending by compare-and-set on the version it wrote
// itself; so a claim still claimed was never sent, and any attempt may take
// it over, which fences out the attempt that wrote it.
const (
	claimed claimState = "claimed"
	sending claimState = "sending"
	done    claimState = "done"
)

// claim is the record of a non-idempotent call in the platform's table.
type claim struct {
	Attempt string          `json:"attempt"` // the entry instance and request that hold it
	State   claimState      `json:"state"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}

// Claims are kept in a bucket for each day, so that old ones can be removed
// without reading the others. A call's claim is looked for in the day before
// and the day after too: a key is remembered for a day at least, and by
// instances whose clocks are up to a day apart.
const (
	day         = 24 * time.Hour
	claimDayFmt = time.DateOnly
	// claimDaysKept is how many days before today a bucket is kept.
	claimDaysKept = 2
)

// claimKey returns the row key of a call's claim in the bucket of day at.
func claimKey(at time.Time, call string) string {
	return claimPrefix + at.UTC().Format(claimDayFmt) + "/" + call
}

// claimer takes and moves one call's claim.
type claimer struct {
	in      *Instance
	attempt string
	key     string   // of the row that is or will be the claim
	absent  []string // keys of rows that must not exist
}

// newClaimer returns the claimer of a new attempt at the call with req's key.
func (in *Instance) newClaimer(req CallRequest) *claimer {
	now, call := in.cfg.Clock.Now(), req.Customer+"/"+req.Entry+"/"+req.Key
	return &claimer{in: in, attempt: fmt.Sprintf("%s/%s/%d", in.cfg.ID, in.life, in.attempts.Add(1)),
		key: claimKey(now, call), absent: []string{claimKey(now.Add(-day), call), claimKey(now.Add(day), call)}}
}

// claimTries bounds take under attempts that race.
const claimTries = 4

// take makes this attempt the claim's holder, in state claimed. A claim
// that is done gives its recorded answer instead; one that is sending
// means the call may have run, and it is not sent again.
func (c *claimer) take(ctx context.Context) (platform.Row, *CallAnswer, error) {
	var expect uint64
	for range claimTries {
		row, err := c.write(ctx, expect, claim{Attempt: c.attempt, State: claimed})
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
			got, ok := c.confirm(ctx, claimed)
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
func (c *claimer) takeOver(key string) {
	for i, k := range c.absent {
		if k == key {
			c.key, c.absent[i] = key, c.key
		}
	}
}

// write writes the claim at expect, on condition that no other day's bucket
// holds one.
func (c *claimer) write(ctx context.Context, expect uint64, cl claim) (platform.Row, error) {
	put, err := platform.Put(c.key, expect, cl)
	if err != nil {
		return platform.Row{}, err
	}
	ops := []platform.Op{put}
	for _, k := range c.absent {
		ops = append(ops, platform.Check(k, 0))
	}
	rows, err := c.in.commit(ctx, ops...)
	if err != nil {
		return platform.Row{}, err
	}
	return rows[0], nil
}

// move rewrites the claim from row to next, failing NotRun if another
// attempt took it over meanwhile.
func (c *claimer) move(ctx context.Context, row platform.Row, next claim) (platform.Row, error) {
	got, err := c.write(ctx, row.Version, next)
	var ce *platform.ConflictError
	switch {
	case err == nil:
		return got, nil
	case errors.As(err, &ce):
		return platform.Row{}, c.unsent(errors.New("another attempt took the claim over"))
	}
	if got, ok := c.confirm(ctx, next.State); ok {
		return got, nil
	}
	return platform.Row{}, c.unsent(err)
}

// confirm re-reads the claim after a write whose answer was lost, and
// reports whether the write took effect.
func (c *claimer) confirm(ctx context.Context, want claimState) (platform.Row, bool) {
	ctx, cancel := context.WithTimeout(ctx, c.in.cfg.PlatformTimeout)
	defer cancel()
	row, err := c.in.cfg.Platform.Get(ctx, c.key)
	if err != nil {
		return platform.Row{}, false
	}
	var cl claim
	if json.Unmarshal(row.Value, &cl) != nil || cl.Attempt != c.attempt || cl.State != want {
		return platform.Row{}, false
	}
	return row, true
}

// standing reads a claim found in the way: its answer if done, an error if
// sending, or neither if only claimed.
func (c *claimer) standing(row platform.Row) (*CallAnswer, error) {
	var cl claim
	if err := json.Unmarshal(row.Value, &cl); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict, fmt.Errorf("call: unreadable claim: %w", err))
	}
	switch cl.State {
	case done:
		return &CallAnswer{Body: cl.Answer, Replayed: true}, nil
	case sending:
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict,
			errors.New("call: a call with this key was sent before and its outcome is unknown; it will not be sent again"))
	}
	return nil, nil
}

// unsent is the error of a call refused before it was sent.
func (c *claimer) unsent(err error) error {
	return verdict.Refuse(http.StatusServiceUnavailable, c.in.comeBackAt(),
		fmt.Errorf("call: not sent: %w", err))
}
