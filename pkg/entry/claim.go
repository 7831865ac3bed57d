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

// claimer takes and moves one call's claim.
type claimer struct {
	in      *Instance
	key     string
	attempt string
}

// take makes this attempt the claim's holder, in state claimed. A claim
// that is done gives its recorded answer instead; one that is sending
// means the call may have run, and it is not sent again.
func (c claimer) take(ctx context.Context) (platform.Row, *CallAnswer, error) {
	var expect uint64
	for try := 0; try < 3; try++ {
		row, err := c.in.commit(ctx, c.op(expect, claim{Attempt: c.attempt, State: claimed}))
		var ce *platform.ConflictError
		switch {
		case err == nil:
			return row[0], nil, nil
		case errors.As(err, &ce):
			cur, answer, err := c.standing(ce.Current)
			if err != nil || answer != nil {
				return platform.Row{}, answer, err
			}
			expect = cur.Version // claimed but never sent: take it over
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

// move rewrites the claim from row to next, failing NotRun if another
// attempt took it over meanwhile.
func (c claimer) move(ctx context.Context, row platform.Row, next claim) (platform.Row, error) {
	rows, err := c.in.commit(ctx, c.op(row.Version, next))
	var ce *platform.ConflictError
	switch {
	case err == nil:
		return rows[0], nil
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
func (c claimer) confirm(ctx context.Context, want claimState) (platform.Row, bool) {
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
// sending, or the row itself if only claimed.
func (c claimer) standing(row platform.Row) (platform.Row, *CallAnswer, error) {
	var cl claim
	if err := json.Unmarshal(row.Value, &cl); err != nil {
		return row, nil, verdict.New(verdict.MayHaveRun, http.StatusConflict, fmt.Errorf("call: unreadable claim: %w", err))
	}
	switch cl.State {
	case done:
		return row, &CallAnswer{Body: cl.Answer, Replayed: true}, nil
	case sending:
		return row, nil, verdict.New(verdict.MayHaveRun, http.StatusConflict,
			errors.New("call: a call with this key was sent before and its outcome is unknown; it will not be sent again"))
	}
	return row, nil, nil
}

func (c claimer) op(expect uint64, cl claim) platform.Op {
	op, _ := platform.Put(c.key, expect, cl) // a claim always encodes
	return op
}

// unsent is the error of a call refused before it was sent.
func (c claimer) unsent(err error) error {
	return verdict.Refuse(http.StatusServiceUnavailable, c.in.cfg.Clock.Now().Add(time.Second),
		fmt.Errorf("call: not sent: %w", err))
}
