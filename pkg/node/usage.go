package node

import (
	"context"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
)

// usageRecorder counts the requests of customers and writes the counts to the store.
type usageRecorder struct {
	node   *Node
	meter  *usage.Meter
	ledger usage.Ledger
}

func newUsageRecorder(n *Node) *usageRecorder {
	return &usageRecorder{node: n, meter: usage.NewMeter(n.cfg.UsageSchedule), ledger: usage.Ledger{Store: n.cfg.Store}}
}

// count counts a customer's request that an upstream started to process at at.
func (u *usageRecorder) count(customer string, at time.Time) {
	if u.node.cfg.UsageSchedule.Length > 0 && customer != "" && !at.IsZero() {
		u.meter.Count(customer, at)
	}
}

// FlushUsage writes the remaining usage counts to the store, because no other instance
// has them. It must be called after the last request has been answered.
func (n *Node) FlushUsage(ctx context.Context) { n.usage.write(ctx) }

// run writes the counts that have changed until ctx is done.
func (u *usageRecorder) run(ctx context.Context) error {
	if u.node.cfg.UsageSchedule.Length <= 0 {
		return nil
	}
	for clock.Sleep(ctx, usage.TallyWritePeriod) {
		u.write(ctx)
	}
	return nil
}

// write writes the tallies that have changed. A failed write is retried the next time.
func (u *usageRecorder) write(ctx context.Context) {
	n := u.node
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, tally := range u.meter.Unwritten() {
		version, holds, err := u.ledger.WriteTally(ctx, n.startID, tally)
		if err != nil {
			n.observer.count("usage.not_told")
			n.cfg.Logger.Debug("usage tallies not written; left for the next write", "window", tally.Window, "err", err)
			return
		}
		u.meter.Written(tally, version, holds)
	}
	u.meter.Expire(time.Now())
}
