package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Manager takes one lease and keeps it, without trusting that clocks agree:
// another's lease has lapsed once its row has stood unchanged, by this
// process's own clock, for the time that it was written to live, and a lease
// held here is valid until TTL after the write that took it was begun. It is not safe for concurrent use.
type Manager struct {
	Table  Table
	Clock  clock.Clock
	Name   string
	Holder string
	TTL    time.Duration

	seen   uint64    // version of another's row when last read
	seenAt time.Time // when that version was first read
}

// Held is a lease that a Keeper holds.
type Held struct {
	Lease
	ValidUntil time.Time // by the Keeper's clock
}

// Acquire takes or renews the lease and returns it, or ErrHeld while another
// holds it, or an error of the platform. The holder's data is kept with the
// lease; nil data leaves what the row holds. After an error the lease taken
// before, if any, is still valid until its ValidUntil.
func (k *Manager) Acquire(ctx context.Context, data json.RawMessage) (Held, error) {
	return k.write(ctx, data, func(cur Lease) bool {
		return cur.Holder == k.Holder || cur.Holder == "" || k.lapsed(cur)
	})
}

// Renew renews the lease as Take does, but not if another has held it since this
// Keeper's holder did, also if that one has given it up: then it returns ErrHeld, and
// what the other left with the lease stays.
func (k *Manager) Renew(ctx context.Context, data json.RawMessage) (Held, error) {
	return k.write(ctx, data, func(cur Lease) bool { return cur.Holder == k.Holder })
}

// write writes the lease over the row as it stands, if that may be taken.
func (k *Manager) write(ctx context.Context, data json.RawMessage, may func(cur Lease) bool) (Held, error) {
	row, err := k.Table.Get(ctx, k.Name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Held{}, err
	}
	if err == nil {
		cur, err := Decode(row)
		if err != nil {
			return Held{}, err
		}
		if !may(cur) {
			return Held{Lease: cur}, ErrHeld
		}
		if data == nil {
			data = cur.Data
		}
	}
	begun := k.Clock.Now()
	l := Lease{Name: k.Name, Holder: k.Holder, RenewedAt: begun, ExpiresAt: begun.Add(k.TTL), Data: data}
	l, err = Write(ctx, k.Table, l, row.Version)
	return Held{Lease: l, ValidUntil: begun.Add(k.TTL)}, err
}

// RenewOp returns the operation that renews the lease h with new data as part of
// a transaction. It fails with a conflict if h is no longer held.
func (k *Manager) RenewOp(h Held, data json.RawMessage) (platform.Op, error) {
	now := k.Clock.Now()
	return platform.Put(k.Name, h.Fencing, Lease{Holder: k.Holder, RenewedAt: now, ExpiresAt: now.Add(k.TTL), Data: data})
}

// Release gives the lease up, if this Keeper's holder has it, so that the
// next holder need not wait for it to lapse.
func (k *Manager) Release(ctx context.Context) error {
	row, err := k.Table.Get(ctx, k.Name)
	if err != nil {
		return err
	}
	cur, err := Decode(row)
	if err != nil || cur.Holder != k.Holder {
		return err
	}
	_, err = Write(ctx, k.Table, Lease{Name: k.Name, ExpiresAt: k.Clock.Now(), Data: cur.Data}, row.Version)
	return err
}

// lapsed reports whether another's lease has stood unchanged for its time.
func (k *Manager) lapsed(l Lease) bool {
	now := k.Clock.Now()
	if k.seen != l.Fencing {
		k.seen, k.seenAt = l.Fencing, now
		return false
	}
	return now.Sub(k.seenAt) >= l.TTL(k.TTL)
}
