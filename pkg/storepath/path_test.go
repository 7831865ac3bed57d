package storepath_test

import (
	"errors"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/storepath"
)

var (
	direct = storepath.AccessPath{}
	p1     = storepath.AccessPath{Kind: storepath.ThroughPeer, Peer: "10.0.0.1:1"}
	p2     = storepath.AccessPath{Kind: storepath.ThroughPeer, Peer: "10.0.0.2:1"}
	lost   = storepath.AccessPath{Kind: storepath.Unreachable}

	errCut = errors.New("cut")
)

const never = time.Hour

// reply is how the ping by a way goes: it ends after a time, with an error or none.
type reply struct {
	way   storepath.AccessPath
	after time.Duration
	err   error
}

// play replays a look at the ways in steps of a millisecond, as a Store makes it,
// and returns the way chosen and when.
func play(replies ...reply) (storepath.AccessPath, time.Duration) {
	for elapsed := time.Duration(0); ; elapsed += time.Millisecond {
		var pings []storepath.Ping
		for _, r := range replies {
			begun := time.Duration(0)
			if r.way != direct {
				begun = min(storepath.PeerPingDelay, replies[0].after)
				if elapsed < begun {
					continue
				}
			}
			p := storepath.Ping{Path: r.way}
			if elapsed >= begun+r.after {
				p.Ended, p.Took, p.Err = true, r.after, r.err
			} else if elapsed >= storepath.PingTimeout {
				p.Ended, p.Took, p.Err = true, elapsed-begun, errCut
			}
			pings = append(pings, p)
		}
		if w, ok := storepath.Choose(pings, elapsed); ok {
			return w, elapsed
		}
	}
}

const fast = 10 * time.Millisecond

// Each row is a load: what the store and the peers do, which way is right, and how
// long the look at the ways may take.
func TestChoose(t *testing.T) {
	for name, c := range map[string]struct {
		replies []reply
		want    storepath.AccessPath
		within  time.Duration
	}{
		"one call was lost, the store is there": {[]reply{{direct, fast, nil}}, direct, fast},
		"the store turns this instance away":    {[]reply{{direct, fast, errCut}, {p1, fast, nil}, {p2, 2 * fast, nil}}, p1, 2 * fast},
		"this instance is cut off silently":     {[]reply{{direct, never, nil}, {p1, fast, nil}, {p2, 2 * fast, nil}}, p1, storepath.FastPing},
		"a third of the instances is cut off, and one of the peers asked": {
			[]reply{{direct, never, nil}, {p1, fast, errCut}, {p2, 2 * fast, nil}}, p2, storepath.FastPing},
		"a peer is paused": {[]reply{{direct, fast, errCut}, {p1, never, nil}, {p2, fast, nil}}, p2, 2 * fast},
		"the store is sixty times slower for all": {
			[]reply{{direct, 240 * time.Millisecond, nil}, {p1, 250 * time.Millisecond, nil}}, direct, 240 * time.Millisecond},
		"the store is away for all, silently":    {[]reply{{direct, never, nil}, {p1, never, nil}}, lost, storepath.PingTimeout},
		"the store refuses everybody":            {[]reply{{direct, fast, errCut}, {p1, fast, errCut}, {p2, fast, errCut}}, lost, 2 * fast},
		"nobody else is known, the store silent": {[]reply{{direct, never, nil}}, lost, storepath.PingTimeout},
		"cut off, and the store slow for others": {[]reply{{direct, never, nil}, {p1, 300 * time.Millisecond, nil}}, p1, storepath.PingTimeout},
		"an instance that is slow itself": {
			[]reply{{direct, 100 * time.Millisecond, nil}, {p1, 60 * time.Millisecond, nil}}, direct, 100 * time.Millisecond},
	} {
		got, took := play(c.replies...)
		if got != c.want || took > c.within {
			t.Errorf("%s: %v after %v, want %v within %v", name, got, took, c.want, c.within)
		}
	}
}

// Calls whose answers were lost one by one, while others are answered, cause no look;
// one that nothing was answered beside does, and not again at once.
func TestLostAnswersCauseNoLook(t *testing.T) {
	var p storepath.Selector
	now := time.Unix(1_800_000_000, 0)
	sent := now
	p.Answered(direct, now.Add(100*time.Millisecond))
	if now = now.Add(storepath.AnswerTimeout); p.Overdue(direct, sent, now) {
		t.Fatal("a look though another call was answered meanwhile")
	}
	sent = now
	if now = now.Add(storepath.AnswerTimeout); !p.Overdue(direct, sent, now) {
		t.Fatal("no look though nothing was answered")
	}
	p.Checked(direct, now)
	if p.Failed(direct, now.Add(time.Millisecond)) {
		t.Fatal("a look at once after the one before")
	}
	if p.Failed(p1, now.Add(time.Second)) {
		t.Fatal("a look for a way that is not taken")
	}
}

// The direct way is taken again once it has answered twice in a row, so that a
// store that comes and goes is not followed; while there is no way it is looked for
// again and again.
func TestReturn(t *testing.T) {
	var p storepath.Selector
	now := time.Unix(1_800_000_000, 0)
	if !p.NextCheck(now).IsZero() {
		t.Fatal("looks though the store is there")
	}
	if !p.Checked(p1, now) || p.Path() != p1 || p.NextCheck(now).IsZero() {
		t.Fatalf("way %v, want the peer's and another look", p.Path())
	}
	for i, err := range []error{nil, errCut, nil} {
		if p.DirectPinged(fast, err) {
			t.Fatalf("back after ping %d", i)
		}
	}
	if !p.DirectPinged(fast, nil) || p.Path() != direct {
		t.Fatalf("way %v after two answers in a row", p.Path())
	}
	p.Checked(lost, now)
	if p.NextCheck(now).IsZero() {
		t.Fatal("no look while there is no way")
	}
	if !p.Answered(lost, now) || p.Path() != direct {
		t.Fatalf("way %v though a call was answered: the store serves a part of its partitions", p.Path())
	}
}
