package storepath_test

import (
	"errors"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/storepath"
)

var (
	direct      = storepath.AccessPath{}
	p1          = storepath.AccessPath{Kind: storepath.ThroughPeer, Peer: "10.0.0.1:1"}
	p2          = storepath.AccessPath{Kind: storepath.ThroughPeer, Peer: "10.0.0.2:1"}
	unreachable = storepath.AccessPath{Kind: storepath.Unreachable}

	errCut = errors.New("cut")
)

const never = time.Hour

// reply is the outcome of the ping of a path: it ends after a time, with an error or
// none.
type reply struct {
	path  storepath.AccessPath
	after time.Duration
	err   error
}

// simulate runs a check of the paths in steps of a millisecond, as a Store makes it, and
// returns the path chosen and the time it took.
func simulate(replies ...reply) (storepath.AccessPath, time.Duration) {
	for elapsed := time.Duration(0); ; elapsed += time.Millisecond {
		var pings []storepath.Ping
		for _, r := range replies {
			start := time.Duration(0)
			if r.path != direct {
				start = min(storepath.PeerPingDelay, replies[0].after)
				if elapsed < start {
					continue
				}
			}
			p := storepath.Ping{Path: r.path}
			if elapsed >= start+r.after {
				p.Ended, p.Took, p.Err = true, r.after, r.err
			} else if elapsed >= storepath.PingTimeout {
				p.Ended, p.Took, p.Err = true, elapsed-start, errCut
			}
			pings = append(pings, p)
		}
		if w, ok := storepath.Choose(pings, elapsed); ok {
			return w, elapsed
		}
	}
}

const fast = 10 * time.Millisecond

// Each case is a state of the store and the peers, with the path to choose and the time
// limit of the check.
func TestChoose(t *testing.T) {
	for name, c := range map[string]struct {
		replies []reply
		want    storepath.AccessPath
		within  time.Duration
	}{
		"one call was lost, the store is available": {[]reply{{direct, fast, nil}}, direct, fast},
		"the store refuses this instance":           {[]reply{{direct, fast, errCut}, {p1, fast, nil}, {p2, 2 * fast, nil}}, p1, 2 * fast},
		"this instance is cut off silently":         {[]reply{{direct, never, nil}, {p1, fast, nil}, {p2, 2 * fast, nil}}, p1, storepath.FastPing},
		"a third of the instances is cut off, and one of the peers pinged": {
			[]reply{{direct, never, nil}, {p1, fast, errCut}, {p2, 2 * fast, nil}}, p2, storepath.FastPing},
		"a peer is paused": {[]reply{{direct, fast, errCut}, {p1, never, nil}, {p2, fast, nil}}, p2, 2 * fast},
		"the store is sixty times slower for all": {
			[]reply{{direct, 240 * time.Millisecond, nil}, {p1, 250 * time.Millisecond, nil}}, direct, 240 * time.Millisecond},
		"the store is silent for all":                            {[]reply{{direct, never, nil}, {p1, never, nil}}, unreachable, storepath.PingTimeout},
		"the store refuses all":                                  {[]reply{{direct, fast, errCut}, {p1, fast, errCut}, {p2, fast, errCut}}, unreachable, 2 * fast},
		"no peers are known, the store is silent":                {[]reply{{direct, never, nil}}, unreachable, storepath.PingTimeout},
		"this instance is cut off, the store is slow for others": {[]reply{{direct, never, nil}, {p1, 300 * time.Millisecond, nil}}, p1, storepath.PingTimeout},
		"an instance that is slow itself": {
			[]reply{{direct, 100 * time.Millisecond, nil}, {p1, 60 * time.Millisecond, nil}}, direct, 100 * time.Millisecond},
	} {
		got, took := simulate(c.replies...)
		if got != c.want || took > c.within {
			t.Errorf("%s: %v after %v, want %v within %v", name, got, took, c.want, c.within)
		}
	}
}

// A call without an answer requests no check if other calls were answered meanwhile.
// Without any answer it requests one, and not again at once.
func TestLostAnswersRequestNoCheck(t *testing.T) {
	var p storepath.Selector
	now := time.Unix(1_800_000_000, 0)
	sent := now
	p.Answered(direct, now.Add(100*time.Millisecond))
	if now = now.Add(storepath.AnswerTimeout); p.Overdue(direct, sent, now) {
		t.Fatal("check requested though another call was answered meanwhile")
	}
	sent = now
	if now = now.Add(storepath.AnswerTimeout); !p.Overdue(direct, sent, now) {
		t.Fatal("no check requested though no call was answered")
	}
	p.Checked(direct, now)
	if p.Failed(direct, now.Add(time.Millisecond)) {
		t.Fatal("check requested 1 ms after the last one")
	}
	if p.Failed(p1, now.Add(time.Second)) {
		t.Fatal("check requested for a path that is not in use")
	}
}

// The direct path is used again once it has answered two pings in a row, so that the path
// does not follow a store that comes and goes. While the store is unreachable, checks are
// repeated.
func TestReturnToDirectPath(t *testing.T) {
	var p storepath.Selector
	now := time.Unix(1_800_000_000, 0)
	if !p.NextCheck(now).IsZero() {
		t.Fatal("check scheduled on the direct path")
	}
	if !p.Checked(p1, now) || p.Path() != p1 || p.NextCheck(now).IsZero() {
		t.Fatalf("path %v, want the peer's and a scheduled check", p.Path())
	}
	for i, err := range []error{nil, errCut, nil} {
		if p.DirectPinged(fast, err) {
			t.Fatalf("direct path used again after ping %d", i)
		}
	}
	if !p.DirectPinged(fast, nil) || p.Path() != direct {
		t.Fatalf("path %v after two answers in a row, want direct", p.Path())
	}
	p.Checked(unreachable, now)
	if p.NextCheck(now).IsZero() {
		t.Fatal("no check scheduled while the store is unreachable")
	}
	if !p.Answered(unreachable, now) || p.Path() != direct {
		t.Fatalf("path %v after an answered call, want direct: the store serves a part of its partitions", p.Path())
	}
}
