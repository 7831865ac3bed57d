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

// memberRow keeps this instance's row among the members.
type memberRow struct {
	node *Node
	rows atomic.Int64 // of all members, as last read
	wake clock.Wakeup
	left atomic.Bool
}

// changed has the row written at once, as what it tells has changed: that the
// instance owns work, or drains.
func (m *memberRow) changed() { m.wake.Signal() }

func (m *memberRow) period() time.Duration {
	return membership.RenewalPeriod(int(m.rows.Load()), m.node.duty())
}

// leave has the row say at once that the instance drains.
func (m *memberRow) leave() {
	m.left.Store(true)
	m.changed()
}

// keep writes the row until ctx ends. It waits until it is known how many members
// there are: were half of hundreds to come back together and each renew its row as the
// members of a small site do, their partition of the store would turn away renewals of
// those that own work.
func (m *memberRow) keep(ctx context.Context) error {
	var held lease.Lease
	for ctx.Err() == nil {
		if !m.node.ready.Load() || m.node.standing.Load() == nil {
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

// write writes the row once and returns it as it stands, or a zero Lease if
// that is not known.
func (m *memberRow) write(ctx context.Context, held lease.Lease) lease.Lease {
	n := m.node
	data, err := json.Marshal(membership.Member{Address: n.cfg.Address, PeerAddress: n.cfg.PeerAddress, DataCentre: n.cfg.DataCentre, Cores: n.cfg.Cores, Draining: m.left.Load(),
		Configuration: n.configurationVersion(), WatchSource: n.follower.Source().String()})
	if err != nil {
		n.cfg.Logger.Error("member row", "err", err)
		return lease.Lease{}
	}
	now := time.Now()
	l := lease.Lease{Name: membership.Key(n.cfg.Name), Holder: n.start, RenewedAt: now, ExpiresAt: now.Add(membership.TTL(m.period())), Data: data, Fencing: held.Fencing}
	if l.Fencing == 0 {
		row, err := n.cfg.Store.Get(ctx, l.Name)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			n.cfg.Logger.Debug("member row not read", "err", err)
			return lease.Lease{}
		}
		l.Fencing = row.Version
	}
	l, err = lease.Write(ctx, n.cfg.Store, l, l.Fencing)
	if err != nil {
		n.cfg.Logger.Debug("member row not written", "err", err)
		return lease.Lease{}
	}
	return l
}
