package control

import (
	"maps"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// onSteps runs the shards of open steps that this instance is preferred for, and
// notifies its peers of steps that it had not seen.
func (s State) onSteps(e StepsRead) (State, []Effect) {
	s = s.taskEnded(task{kind: stepsTask})
	if e.Err != nil {
		return s.platformUnavailable(e.Err)
	}
	var effs []Effect
	hasNew := false
	ttl := leaseTTL(openShards(e.Heads), s.timing.ShardTTL)
	seen := map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(e.Heads)) {
		head := e.Heads[key]
		if head.Closed != "" {
			continue
		}
		seen[key] = true
		hasNew = hasNew || !s.stepsSeen[key]
		s, effs = s.startShards(key, head, ttl, effs)
	}
	s.stepsSeen = seen
	if hasNew {
		effs = append(effs, NotifyPeers{Revision: s.revision, Draining: s.self.Draining, Steps: true})
	}
	return s, effs
}

// openShards returns the number of shards of all open steps in heads.
func openShards(heads map[string]step.Head) int {
	n := 0
	for _, head := range heads {
		if head.Closed == "" {
			n += head.Shards
		}
	}
	return n
}

func (s State) startShards(key string, head step.Head, ttl time.Duration, effs []Effect) (State, []Effect) {
	for k := range head.Shards {
		id := ShardID{Step: key, Shard: k}
		if s.shards[id] || s.self.Draining || !s.preferred(step.ShardKey(key, k)) {
			continue
		}
		s.shards = maps.Clone(s.shards)
		if s.shards == nil {
			s.shards = map[ShardID]bool{}
		}
		s.shards[id] = true
		effs = append(effs, RunShard{ID: id, TTL: ttl})
	}
	return s, effs
}

func (s State) onShardEnded(e ShardEnded) (State, []Effect) {
	s.shards = maps.Clone(s.shards)
	delete(s.shards, e.ID)
	return s, nil
}
