package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// memberRow maintains this instance's row in the members table.
type memberRow struct {
	node     *Node
	rows     atomic.Int64 // number of members, as last read
	wake     clock.Wakeup
	draining atomic.Bool
}

// changed triggers a write of the row, because its contents have changed: the instance
// has become an owner, or drains.
func (m *memberRow) changed() { m.wake.Signal() }

func (m *memberRow) period() time.Duration {
	return membership.RenewalPeriod(int(m.rows.Load()), m.node.role())
}

// drain marks the instance as draining in the row, at once.
func (m *memberRow) drain() {
	m.draining.Store(true)
	m.changed()
}

// run writes the row until ctx is done. It starts when the number of members is known:
// if half of hundreds of instances came back together and each renewed its row at the
// rate of a small site, their partition of the store would reject renewals of instances
// that own submissions.
func (m *memberRow) run(ctx context.Context) error {
	var held lease.Lease
	for ctx.Err() == nil {
		if !m.node.ready.Load() || m.node.ranking.Load() == nil {
			m.wake.Wait(ctx, tickPeriod)
			continue
		}
		held = m.write(ctx, held)
		period := m.period()
		if held.Fencing == 0 {
			period /= 4
		}
		m.wake.Wait(ctx, period)
	}
	return nil
}

// write writes the row once and returns the lease in it, or the zero Lease if that is
// not known.
func (m *memberRow) write(ctx context.Context, held lease.Lease) lease.Lease {
	n := m.node
	data, err := json.Marshal(membership.Member{Address: n.cfg.Address, PeerAddress: n.cfg.PeerAddress, DataCentre: n.cfg.DataCentre, Cores: n.cfg.Cores, Draining: m.draining.Load(),
		Configuration: n.configurationVersion(), WatchSource: n.follower.Source().String()})
	if err != nil {
		n.cfg.Logger.Error("encoding the member row failed; row not written", "err", err)
		return lease.Lease{}
	}
	now := time.Now()
	l := lease.Lease{Name: membership.Key(n.cfg.Name), Holder: n.startID, RenewedAt: now, ExpiresAt: now.Add(membership.TTL(m.period())), Data: data, Fencing: held.Fencing}
	if l.Fencing == 0 {
		row, err := n.cfg.Store.Get(ctx, l.Name)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			n.cfg.Logger.Debug("reading the member row failed; retrying", "err", err)
			return lease.Lease{}
		}
		l.Fencing = row.Version
	}
	l, err = lease.Write(ctx, n.cfg.Store, l, l.Fencing)
	if err != nil {
		n.cfg.Logger.Debug("writing the member row failed; retrying", "err", err)
		return lease.Lease{}
	}
	return l
}
