package entry

import (
	"maps"
	"slices"
	"time"

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
	ttl := leaseTTL(openShards(e.heads), s.timing.shardTTL)
	seen := map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(e.heads)) {
		head := e.heads[key]
		if head.Closed != "" {
			continue
		}
		seen[key] = true
		fresh = fresh || !s.stepsSeen[key]
		s, effs = s.startShards(key, head, ttl, effs)
	}
	s.stepsSeen = seen
	if fresh {
		effs = append(effs, hintPeers{revision: s.revision, draining: s.self.Draining, steps: true})
	}
	return s, effs
}

// openShards returns how many shards the open steps of heads have.
func openShards(heads map[string]step.Head) int {
	n := 0
	for _, head := range heads {
		if head.Closed == "" {
			n += head.Shards
		}
	}
	return n
}

func (s state) startShards(key string, head step.Head, ttl time.Duration, effs []effect) (state, []effect) {
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
		effs = append(effs, runShard{id: id, ttl: ttl})
	}
	return s, effs
}

func (s state) onShardEnded(e shardEnded) (state, []effect) {
	s.shards = maps.Clone(s.shards)
	delete(s.shards, e.id)
	return s, nil
}
