package node

import (
	"context"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/carryover"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

const (
	// carryoverLimit is the memory for texts of ended submissions, in bytes. The
	// smallest instances have 144 MB.
	carryoverLimit = 4 << 20
	// carryoverReadTimeout limits how much later a run may start because the texts of
	// the previous submission are read. An object takes 25 ms plus the transfer time.
	carryoverReadTimeout = 150 * time.Millisecond
)

// Sources of the texts that a run resumes.
const (
	sourceMemory = "memory"
	sourceStore  = "store"
)

// previous returns what the previous submissions of h's model and customer left.
func (n *Node) previous(ctx context.Context, h submission.HeadRow) submission.Previous {
	prev, ok := n.heads.previous(h)
	if !ok {
		return submission.Previous{}
	}
	rec, _ := n.carryover.Get(h.CarryoverKey())
	if rec.Submission == prev.ID {
		return submission.Previous{Record: rec, Source: sourceMemory}
	}
	rctx, cancel := context.WithTimeout(ctx, carryoverReadTimeout)
	defer cancel()
	stored, err := n.carryover.Load(rctx, h.CarryoverKey())
	if err != nil {
		if !errors.Is(err, platform.ErrNotFound) {
			n.cfg.Logger.Warn("carried texts not read; starting without them", "submission", h.ID, "previous", prev.ID, "err", err)
		}
		return submission.Previous{Record: rec, Source: sourceMemory} // of an earlier submission, if any
	}
	n.observer.count("carryover.objects_read")
	return submission.Previous{Record: stored, Source: sourceStore}
}

// keepUnfinished keeps the texts of a run that ended with err for the next submissions of
// its model and customer: in memory at once, and in the object store later. Texts that
// are expected to be too old for these are kept in memory only.
func (n *Node) keepUnfinished(ctx context.Context, r *submission.Runner, h submission.Head, err error) {
	// The sender may have ended it just before the last write, that of the head.
	ended := r.Head().Ended
	if err == nil && !ended {
		n.carryover.Complete(h.CarryoverKey(), r.Items())
		return
	}
	if !ended && !n.endedBySender(ctx, h.ID, err) {
		return
	}
	latest, next := n.nextRequirements(h)
	rec := r.Unfinished(latest)
	n.carryover.Put(rec)
	n.group.Go(func() error {
		sctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		written, err := n.carryover.Save(sctx, rec.Key, next)
		if written {
			n.observer.count("carryover.objects_written")
		}
		if err != nil {
			n.cfg.Logger.Warn("texts of an ended submission not stored; keeping them in memory only", "submission", h.ID, "texts", len(rec.Texts), "err", err)
		}
		return nil
	})
}

// nextRequirements returns the oldest weight version that the latest submission with the
// model and customer of h allows, and what the next one is expected to require: that the
// minimum rises by as much as it last did, and the target version with it.
func (n *Node) nextRequirements(h submission.Head) (latest uint64, next carryover.Requirements) {
	latest, minVersion := n.heads.minVersions(h)
	next.MinVersion = minVersion
	if rt, err := n.Route(h.Host, h.Path); err == nil {
		next.SingleVersion = rt.SingleVersion
	}
	if target := n.targetVersion(h.Model); target > 0 {
		next.Target = target + minVersion - latest
	}
	return latest, next
}

// endedBySender reports whether a run ended with err because the sender ended the
// submission. A write of results may fail because of that before the head that says so
// is followed.
func (n *Node) endedBySender(ctx context.Context, id string, err error) bool {
	h, known := n.heads.get(id)
	if known && h.Ended || !errors.Is(err, submission.ErrNotOwner) {
		return h.Ended
	}
	rctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h, err = n.submissions.Head(rctx, id)
	if err != nil {
		n.cfg.Logger.Warn("head of a lost submission not read; dropping its texts", "submission", id, "err", err)
		return false
	}
	n.heads.set(h)
	return h.Ended
}

// carried records what a run uses of the texts that the previous submission left.
func (o *observer) carried(id string, use submission.CarriedUse) {
	o.add("carryover.texts_reused", use.Texts)
	o.add("carryover.events_reused", use.Events)
	o.add("carryover.texts_stale", use.Stale)
	if use.Items == 0 {
		if use.Source == sourceStore {
			o.logLine(o.items, false, "carried texts ignored; the submission repeats no items", "submission", id, "previous", use.Previous)
		}
		return
	}
	o.node.cfg.Logger.Info("carried texts", "submission", id, "previous", use.Previous, "source", use.Source, "items", use.Items,
		"texts", use.Texts, "complete", use.Complete, "events", use.Events, "stale", use.Stale, "changed", use.Changed)
}

// deleteCarried deletes what a submission that is to be deleted left, unless there is
// another submission of its model and customer.
func (n *Node) deleteCarried(ctx context.Context, h submission.Head) error {
	if n.heads.hasOther(h) {
		return nil
	}
	return n.carryover.Delete(ctx, h.CarryoverKey())
}
