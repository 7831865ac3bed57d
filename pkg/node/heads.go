package node

import (
	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// onHeads applies changes of the heads of submissions.
func (s *state) onHeads(u feed.Update) []effect {
	var effs []effect
	for _, ch := range u.Changes {
		if ch.Deleted {
			effs = append(effs, s.forget(submission.IDFromKey(ch.Key))...)
			continue
		}
		h, err := submission.DecodeHead(ch.Row)
		if err != nil {
			effs = append(effs, logInfo{"malformed head of a submission; ignoring the row", []any{"row", ch.Key, "err", err}})
			continue
		}
		effs = append(effs, s.setHead(submission.HeadRow{Head: h, Fencing: ch.Version})...)
	}
	return effs
}

func (s *state) setHead(head submission.HeadRow) []effect {
	old, known := s.heads[head.ID]
	if known && old.Fencing >= head.Fencing {
		return nil
	}
	s.heads[head.ID], s.demandsStale = head, true
	effs := []effect{setHead{head}}
	if named := s.targetVersions[head.Model]; !known && head.Model != "" && named >= head.MinVersion {
		s.lag[head.Model] = min(named-head.MinVersion, 1)
	}
	if !known && head.Model != "" {
		s.updateWork(head.Head)
	}
	switch {
	case s.running[head.ID] && (head.Ended || head.Owner != s.startID):
		effs = append(effs, stopRun{head.ID})
	case !s.running[head.ID] && head.Owner == s.startID && !head.Claimed && head.Open() && !s.draining:
		s.running[head.ID] = true
		effs = append(effs, takeOver{head})
	}
	return effs
}

func (s *state) onAccepted(e accepted) []effect {
	effs := s.setHead(e.HeadRow)
	// The followed table may have shown that the submission has been taken over or ended since.
	if s.heads[e.ID].Fencing != e.Fencing {
		return effs
	}
	if s.draining || s.running[e.ID] || e.Owner != s.startID || !e.Claimed || !e.Open() {
		return effs
	}
	s.running[e.ID] = true
	return append(effs, startRun{e.HeadRow, e.Spec, submission.PriorWork{}})
}

// onRunEnded applies the head that a run wrote last. The followed table shows it only
// later, and until then a complete submission would be run again.
func (s *state) onRunEnded(e runEnded) []effect {
	delete(s.running, e.ID)
	if e.Head.Fencing == 0 {
		return nil
	}
	return s.setHead(e.Head)
}

func (s *state) onTakenOver(e takenOver) []effect {
	if e.Err != nil {
		delete(s.running, e.ID)
		s.retryAt[e.ID] = e.At.Add(takeoverRetryDelay)
		return []effect{logInfo{"takeover of a submission failed; retrying", []any{"submission", e.ID, "err", e.Err}}}
	}
	effs := s.setHead(e.Owned)
	if cur := s.heads[e.ID]; cur.Fencing != e.Owned.Fencing || !cur.Open() {
		delete(s.running, e.ID) // it has ended, or got another owner, since it was claimed
		return effs
	}
	if s.draining {
		return append(effs, releaseRun{e.Owned})
	}
	return append(effs, startRun{e.Owned, e.Spec, e.PriorWork})
}
