package entry

import (
	"maps"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// onSteps runs the shards of open steps that this instance is preferred
// for, and passes word of steps it had not seen on to its peers.
func (s state) onSteps(e stepsRead) (state, []effect) {
	s = s.ended(task{kind: stepsTask})
	if e.err != nil {
		return s.platformDown(e.err)
	}
	var effs []effect
	fresh := false
	seen := map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(e.heads)) {
		head := e.heads[key]
		if head.Closed != "" {
			continue
		}
		seen[key] = true
		fresh = fresh || !s.stepsSeen[key]
		s, effs = s.startShards(key, head, effs)
	}
	s.stepsSeen = seen
	if fresh {
		effs = append(effs, hintPeers{revision: s.revision, draining: s.self.Draining, steps: true})
	}
	return s, effs
}

func (s state) startShards(key string, head step.Head, effs []effect) (state, []effect) {
	for k := range head.Shards {
		id := shardID{Step: key, Shard: k}
		if s.shards[id] || s.self.Draining || !s.preferred(step.ShardKey(key, k)) {
			continue
		}
		s.shards = maps.Clone(s.shards)
		if s.shards == nil {
			s.shards = map[shardID]bool{}
		}
		s.shards[id] = true
		effs = append(effs, runShard{id: id})
	}
	return s, effs
}

func (s state) onShardEnded(e shardEnded) (state, []effect) {
	s.shards = maps.Clone(s.shards)
	delete(s.shards, e.id)
	return s, nil
}
