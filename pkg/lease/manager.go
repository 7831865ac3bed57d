package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Manager acquires and renews one lease for one holder. It does not rely on
// synchronized clocks: another holder's lease has expired when this process has seen
// its row unchanged for the TTL that the holder wrote, measured by this process's own
// clock, and a lease held here is valid for TTL from the start of the write that
// acquired it. A Manager is not safe for concurrent use.
type Manager struct {
	Table  Table
	Clock  clock.Clock
	Name   string
	Holder string
	TTL    time.Duration
	// TakeUnreadable takes a row that holds no lease for the lease of another holder, with
	// the data "unreadable". Such a row is an error otherwise, and the lease cannot be
	// acquired.
	TakeUnreadable bool

	seenVersion uint64    // version of the other holder's row when last read
	seenAt      time.Time // when that version was first read
}

// unreadableHolder stands for the holder of a lease whose row cannot be decoded. Its lease
// expires as any other does.
const unreadableHolder = "(unreadable)"

// unreadableData is the data of a lease whose row cannot be decoded. It is not null, so
// that a holder whose data matter finds out that they are lost.
var unreadableData = json.RawMessage(`"unreadable"`)

// Held is a lease held by a Manager's holder.
type Held struct {
	Lease
	ValidUntil time.Time // by the Manager's clock
}

// Acquire acquires or renews the lease and returns it. It returns ErrHeld while another
// holder's lease has not expired, or an error of the platform. data is stored with the
// lease; nil keeps the data of the row. After an error, a lease acquired before remains
// valid until its ValidUntil.
func (m *Manager) Acquire(ctx context.Context, data json.RawMessage) (Held, error) {
	return m.write(ctx, data, func(cur Lease) bool {
		return cur.Holder == m.Holder || cur.Holder == "" || m.expired(cur)
	})
}

// Renew renews the lease as Acquire does, unless another holder has acquired it since
// this one wrote it, even if that holder has released it: then it returns ErrHeld, and
// the data of the other holder remains in the row.
func (m *Manager) Renew(ctx context.Context, data json.RawMessage) (Held, error) {
	return m.write(ctx, data, func(cur Lease) bool { return cur.Holder == m.Holder })
}

// write writes the lease if there is no row or allowed reports true for the lease in
// it.
func (m *Manager) write(ctx context.Context, data json.RawMessage, allowed func(cur Lease) bool) (Held, error) {
	row, err := m.Table.Get(ctx, m.Name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Held{}, err
	}
	if err == nil {
		cur, err := Decode(row)
		if unreadable := err != nil || cur.ExpiresAt.IsZero(); unreadable && m.TakeUnreadable { // holders always write an expiry
			cur = Lease{Name: m.Name, Holder: unreadableHolder, Data: unreadableData, Fencing: row.Version}
		} else if err != nil {
			return Held{}, err
		}
		if !allowed(cur) {
			return Held{Lease: cur}, ErrHeld
		}
		if data == nil {
			data = cur.Data
		}
	}
	start := m.Clock.Now()
	l := Lease{Name: m.Name, Holder: m.Holder, RenewedAt: start, ExpiresAt: start.Add(m.TTL), Data: data}
	l, err = Write(ctx, m.Table, l, row.Version)
	return Held{Lease: l, ValidUntil: start.Add(m.TTL)}, err
}

// RenewOp returns the operation that renews the lease h with new data as part of a
// transaction. The transaction fails with a conflict if the row has changed since h was
// written.
func (m *Manager) RenewOp(h Held, data json.RawMessage) (platform.Op, error) {
	now := m.Clock.Now()
	return platform.Put(m.Name, h.Fencing, Lease{Holder: m.Holder, RenewedAt: now, ExpiresAt: now.Add(m.TTL), Data: data})
}

// Release releases the lease if this Manager's holder has it, so that the next holder
// need not wait for its expiry. The data of the row is kept.
func (m *Manager) Release(ctx context.Context) error {
	row, err := m.Table.Get(ctx, m.Name)
	if err != nil {
		return err
	}
	cur, err := Decode(row)
	if err != nil || cur.Holder != m.Holder {
		return err
	}
	_, err = Write(ctx, m.Table, Lease{Name: m.Name, ExpiresAt: m.Clock.Now(), Data: cur.Data}, row.Version)
	return err
}

// expired reports whether another holder's lease has been unchanged for its TTL.
func (m *Manager) expired(l Lease) bool {
	now := m.Clock.Now()
	if m.seenVersion != l.Fencing {
		m.seenVersion, m.seenAt = l.Fencing, now
		return false
	}
	return now.Sub(m.seenAt) >= l.TTL(m.TTL)
}
