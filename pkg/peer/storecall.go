package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// maxMessage is the maximum size of a call or an answer in bytes: the store accepts
// objects of up to 8 MB and answers at most 1 MB of rows.
const maxMessage = 9 << 20

// callOps encodes a transaction.
func callOps(ops []platform.Op) []*peerpb.Op {
	out := make([]*peerpb.Op, len(ops))
	for i, op := range ops {
		out[i] = &peerpb.Op{Key: op.Key, ExpectVersion: op.ExpectVersion, Value: op.Value, Delete: op.Delete, CheckOnly: op.CheckOnly}
	}
	return out
}

// opsOf decodes the transaction of c.
func opsOf(c *peerpb.Commit) []platform.Op {
	out := make([]platform.Op, len(c.GetOps()))
	for i, op := range c.GetOps() {
		out[i] = platform.Op{Key: op.GetKey(), ExpectVersion: op.GetExpectVersion(), Value: op.GetValue(), Delete: op.GetDelete(), CheckOnly: op.GetCheckOnly()}
	}
	return out
}

func storedRow(r platform.Row) *peerpb.StoredRow {
	return &peerpb.StoredRow{Key: r.Key, Version: r.Version, Value: r.Value}
}

func storedRows(rows []platform.Row) []*peerpb.StoredRow {
	out := make([]*peerpb.StoredRow, len(rows))
	for i, r := range rows {
		out[i] = storedRow(r)
	}
	return out
}

func rowOf(r *peerpb.StoredRow) platform.Row {
	return platform.Row{Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue()}
}

func rowsOf(a *peerpb.StoreAnswer) []platform.Row {
	out := make([]platform.Row, len(a.GetRows()))
	for i, r := range a.GetRows() {
		out[i] = rowOf(r)
	}
	return out
}

// errorAnswer encodes err, which is not nil, as an answer.
func errorAnswer(err error) *peerpb.StoreAnswer {
	a := &peerpb.StoreAnswer{Outcome: peerpb.StoreAnswer_REFUSED, Error: err.Error()}
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		current := conflict.Current
		current.Key = conflict.Key
		a.Outcome, a.Rows = peerpb.StoreAnswer_CONFLICT, []*peerpb.StoredRow{storedRow(current)}
	case errors.Is(err, platform.ErrNotFound):
		a.Outcome = peerpb.StoreAnswer_NOT_FOUND
	case errors.Is(err, platform.ErrHistoryGone):
		a.Outcome = peerpb.StoreAnswer_HISTORY_GONE
	case errors.Is(err, platform.ErrNotApplied):
		a.Outcome = peerpb.StoreAnswer_NOT_DONE
	case errors.Is(err, platform.ErrUnavailable):
		a.Outcome = peerpb.StoreAnswer_UNKNOWN
	}
	return a
}

// errOf returns the error in a, nil for a call that succeeded.
func errOf(a *peerpb.StoreAnswer) error {
	switch a.GetOutcome() {
	case peerpb.StoreAnswer_DONE:
		return nil
	case peerpb.StoreAnswer_NOT_FOUND:
		return platform.ErrNotFound
	case peerpb.StoreAnswer_CONFLICT:
		if len(a.GetRows()) == 1 {
			current := rowOf(a.GetRows()[0])
			return &platform.ConflictError{Conflict: platform.Conflict{Key: current.Key, Current: current}}
		}
	case peerpb.StoreAnswer_HISTORY_GONE:
		return platform.ErrHistoryGone
	case peerpb.StoreAnswer_NOT_DONE:
		return fmt.Errorf("%w: through a peer: %s", platform.ErrNotApplied, a.GetError())
	case peerpb.StoreAnswer_REFUSED:
		return fmt.Errorf("platform: refused: through a peer: %s", a.GetError())
	}
	return fmt.Errorf("%w: through a peer: %s", platform.ErrUnavailable, a.GetError())
}

// waitOf returns how long the store may hold a call before it answers.
func waitOf(c *peerpb.StoreCall) time.Duration {
	return time.Duration(c.GetChanges().GetWaitMs()) * time.Millisecond
}
