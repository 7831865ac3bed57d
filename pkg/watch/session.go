package watch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// checkPause is how often an instance that watches a relay looks whether it is to be a
// relay itself, or whether another relay has the store that its own has lost.
const checkPause = time.Second

// watch follows the tables through a relay until it is to be left, and returns why.
func (f *Follower) watch(ctx context.Context, s joined) string {
	n := s.first
	s.first = peer.News{} // it may hold whole tables, and s is kept
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.close()
	stop := context.AfterFunc(wctx, s.close)
	defer stop()
	c := check{begun: make(chan struct{}, 1), ended: make(chan string, 1)}
	lost := map[string]time.Time{} // tables for which the relay has lost the store, since when
	checkAt := time.Now().Add(checkPause)
	for {
		f.learn(ctx, n, lost)
		if n.Leaving {
			f.avoid(s.Address, gone)
			return "the relay is about to stop"
		}
		if now := time.Now(); now.After(checkAt) {
			checkAt = now.Add(checkPause)
			c.start(f, wctx, s.Relay, longLost(lost, now))
		}
		select {
		case why := <-c.ended:
			return why
		default:
		}
		var err error
		if n, err = s.Next(silence); err != nil {
			f.take(Source{Kind: None}, err.Error())
			f.avoidGone(ctx, s.Address)
			return err.Error()
		}
	}
}

// check looks, beside a watch, whether another source is to be taken. It asks the store
// and relays, which may take seconds.
type check struct {
	begun chan struct{} // holds one while a check is under way
	ended chan string   // why another source is to be taken
}

// start begins a check unless one is under way. Lost means that the relay has lost the
// store.
func (c check) start(f *Follower, ctx context.Context, r Relay, lost bool) {
	select {
	case c.begun <- struct{}{}:
	default:
		return
	}
	f.cfg.Group(func() error {
		defer func() { <-c.begun }()
		switch {
		case f.claim(ctx):
			c.ended <- "a relay is wanted"
		case lost && f.probe(ctx, f.candidates(true), r):
			f.avoid(r.Address, full)
			c.ended <- "the relay has lost the store, another has not"
		case r.DataCentre != f.cfg.DataCentre && f.probe(ctx, f.candidates(false), r):
			c.ended <- "there is a relay in the data centre"
		}
		return nil
	})
}

// longLost reports whether one of the tables was lost long before now.
func longLost(lost map[string]time.Time, now time.Time) bool {
	for _, since := range lost {
		if now.Sub(since) > lostPatience {
			return true
		}
	}
	return false
}

// learn takes what a relay told.
func (f *Follower) learn(ctx context.Context, n peer.News, lost map[string]time.Time) {
	now := time.Now()
	for _, t := range n.Tables {
		if t.Table == Table {
			f.learnRelays(t.Changes, t.Reset)
			continue
		}
		if !t.Lost || t.Reset || len(t.Changes) > 0 {
			delete(lost, t.Table)
			f.tell(ctx, feed.Update{Table: t.Table, At: now, Reset: t.Reset, Changes: t.Changes, Version: t.Version, Relayed: true})
		}
		if t.Lost {
			if lost[t.Table].IsZero() {
				lost[t.Table] = now
			}
			f.tell(ctx, feed.Update{Table: t.Table, At: now, Err: errRelayLost, Relayed: true})
		}
	}
}

// probe reports whether one of the relays, beside the one given, serves.
func (f *Follower) probe(ctx context.Context, relays []Relay, except Relay) bool {
	others := slices.DeleteFunc(relays, func(r Relay) bool { return r.Address == except.Address })
	j, _ := f.race(ctx, others, raceTime)
	j.close()
	return j.serves()
}

var errRelayLost = fmt.Errorf("%w: watch: the relay has lost the store", platform.ErrUnavailable)
