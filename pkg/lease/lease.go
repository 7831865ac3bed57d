// Package lease keeps leases in the platform's table. A lease is a row whose value
// holds its holder and expiry. The row's version is the fencing token of the lease: it
// grows with every acquisition and renewal, so that an upstream can refuse orders from
// a holder whose lease has expired.
package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/zinnialadder/zinnialadder/internal/boundedjson"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Lease is a lease as read from or written to the table.
type Lease struct {
	Name      string          `json:"-"`
	Holder    string          `json:"holder"`
	RenewedAt time.Time       `json:"renewed_at"`     // by the holder's clock
	ExpiresAt time.Time       `json:"expires_at"`     // by the holder's clock
	Data      json.RawMessage `json:"data,omitempty"` // the holder's own data, such as its address
	Fencing   uint64          `json:"-"`              // fencing token: the version of the row
}

// ErrHeld is returned if another holder's lease has not expired, or if the row of a
// lease has changed since it was read.
var ErrHeld = errors.New("lease: held by another holder")

// Table is the part of the platform's protocol that leases use.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Commit(ctx context.Context, ops ...platform.Op) ([]platform.Row, error)
}

// Acquire acquires or renews the lease name for holder from now until expiresAt, with
// data stored in its row. It returns the lease with its new fencing token, ErrHeld if
// another holder's lease has not expired at now, or an error of the platform. Unlike a
// Manager it relies on the holders' clocks being synchronized.
func Acquire(ctx context.Context, t Table, name, holder string, now, expiresAt time.Time, data json.RawMessage) (Lease, error) {
	var expect uint64
	row, err := t.Get(ctx, name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return Lease{}, err
	default:
		cur, err := Decode(row)
		if err != nil {
			return Lease{}, err
		}
		if cur.Holder != holder && now.Before(cur.ExpiresAt) {
			return cur, ErrHeld
		}
		expect = row.Version
	}
	return Write(ctx, t, Lease{Name: name, Holder: holder, RenewedAt: now, ExpiresAt: expiresAt, Data: data}, expect)
}

// Renew writes the lease l, as last read or written, again from now until expiresAt
// with new data, in one call. It returns an error that wraps ErrHeld if the row has
// changed since, or if l is zero.
func Renew(ctx context.Context, t Table, l Lease, now, expiresAt time.Time, data json.RawMessage) (Lease, error) {
	if l.Fencing == 0 {
		return Lease{}, ErrHeld
	}
	expect := l.Fencing
	l.RenewedAt, l.ExpiresAt, l.Data = now, expiresAt, data
	return Write(ctx, t, l, expect)
}

// Write writes the lease l on condition that its row has the version expect, where 0
// means that there is no row. It returns the lease with its new fencing token, or an
// error that wraps ErrHeld if the row has another version.
func Write(ctx context.Context, t Table, l Lease, expect uint64) (Lease, error) {
	op, err := platform.Put(l.Name, expect, l)
	if err != nil {
		return Lease{}, err
	}
	rows, err := t.Commit(ctx, op)
	var ce *platform.ConflictError
	if errors.As(err, &ce) {
		return Lease{}, fmt.Errorf("%w: %w", ErrHeld, err)
	}
	if err != nil {
		return Lease{}, fmt.Errorf("lease: write %s: %w", l.Name, err)
	}
	l.Fencing = rows[0].Version
	return l, nil
}

// Decode decodes a Lease from its row.
func Decode(row platform.Row) (Lease, error) {
	var l Lease
	if err := boundedjson.Unmarshal(row.Value, &l); err != nil {
		return Lease{}, fmt.Errorf("lease: decode row %s: %w", row.Key, err)
	}
	l.Name = row.Key
	l.Fencing = row.Version
	return l, nil
}

// TTL returns the time to live that the holder wrote, which does not depend on the
// reader's clock. It returns fallback if l has no renewal time.
func (l Lease) TTL(fallback time.Duration) time.Duration {
	if l.RenewedAt.IsZero() {
		return fallback
	}
	return l.ExpiresAt.Sub(l.RenewedAt)
}

// Live reports whether l has not expired at now.
func (l Lease) Live(now time.Time) bool { return now.Before(l.ExpiresAt) }
