package node

import (
	"context"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
)

// teller writes to the store what this instance counts of its customers' use.
type teller struct {
	node   *Node
	meter  *usage.Meter
	ledger usage.Ledger
}

func newTeller(n *Node) *teller {
	return &teller{node: n, meter: usage.NewMeter(n.cfg.Calendar), ledger: usage.Ledger{Store: n.cfg.Store}}
}

// count counts a request of a customer that an upstream began to run at at.
func (t *teller) count(customer string, at time.Time) {
	if t.node.cfg.Calendar.Length > 0 && customer != "" && !at.IsZero() {
		t.meter.Count(customer, at)
	}
}

// FlushUsage tells the rest of what this instance has counted of its customers' use, as
// nobody else knows of it. It is called when the last request has been answered.
func (n *Node) FlushUsage(ctx context.Context) { n.usage.tell(ctx) }

// keep tells what has changed until ctx ends.
func (t *teller) keep(ctx context.Context) error {
	if t.node.cfg.Calendar.Length <= 0 {
		return nil
	}
	for clock.Sleep(ctx, usage.TallyWritePeriod) {
		t.tell(ctx)
	}
	return nil
}

// tell writes the tallies that have changed. What fails is tried at the next time.
func (t *teller) tell(ctx context.Context) {
	n := t.node
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	for _, tally := range t.meter.Unwritten() {
		version, holds, err := t.ledger.WriteTally(ctx, n.start, tally)
		if err != nil {
			n.observer.count("usage.not_told")
			n.cfg.Logger.Debug("use not told", "window", tally.Window, "err", err)
			return
		}
		t.meter.Written(tally, version, holds)
	}
	t.meter.Expire(time.Now())
}
