// Package lease keeps leases in the platform's table. A lease is a row whose
// value names its holder and expiry; the row's version is the lease's
// fencing number, which grows with every acquisition and renewal, so an
// upstream can refuse orders from a holder whose lease has since lapsed.
package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Lease is a lease as read from or written to the table.
type Lease struct {
	Name      string          `json:"-"`
	Holder    string          `json:"holder"`
	RenewedAt time.Time       `json:"renewed_at"` // by the holder's clock, as ExpiresAt is
	ExpiresAt time.Time       `json:"expires_at"`
	Data      json.RawMessage `json:"data,omitempty"` // the holder's own data, such as its address
	Fencing   uint64          `json:"-"`              // the row version
}

// ErrHeld is returned by Acquire when another holder's lease has not expired.
var ErrHeld = errors.New("lease: held by another")

// Table is the part of the platform protocol that leases use.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Commit(ctx context.Context, ops ...platform.Op) ([]platform.Row, error)
}

// Acquire takes or renews the lease name for holder from now until expiresAt, with
// data stored beside it. It returns the lease with its new fencing number,
// ErrHeld if another holder's lease is unexpired at now, or an error of the
// platform.
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

// Renew writes the lease l, as last read or written, again from now until
// expiresAt with new data, in one call. It returns ErrHeld if the row has changed
// since, or if l is zero.
func Renew(ctx context.Context, t Table, l Lease, now, expiresAt time.Time, data json.RawMessage) (Lease, error) {
	if l.Fencing == 0 {
		return Lease{}, ErrHeld
	}
	expect := l.Fencing
	l.RenewedAt, l.ExpiresAt, l.Data = now, expiresAt, data
	return Write(ctx, t, l, expect)
}

// Write writes the lease l over the row's version expect, 0 for a row that does
// not exist, and returns it with its new fencing number. It returns an ErrHeld if
// the row has another version.
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
		return Lease{}, fmt.Errorf("lease %s: %w", l.Name, err)
	}
	l.Fencing = rows[0].Version
	return l, nil
}

// Decode reads a Lease from its row.
func Decode(row platform.Row) (Lease, error) {
	var l Lease
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return Lease{}, fmt.Errorf("lease %s: %w", row.Key, err)
	}
	l.Name = row.Key
	l.Fencing = row.Version
	return l, nil
}

// TTL returns the time that l was written to live, whatever the clocks of
// those who read it, or else if l does not tell.
func (l Lease) TTL(otherwise time.Duration) time.Duration {
	if l.RenewedAt.IsZero() {
		return otherwise
	}
	return l.ExpiresAt.Sub(l.RenewedAt)
}

// Live reports whether l is held at now.
func (l Lease) Live(now time.Time) bool { return now.Before(l.ExpiresAt) }
