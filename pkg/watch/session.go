package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
)

// close ends j, if there is one.
func (j joined) close() {
	if j.link != nil {
		j.link.Close()
	}
}

// begin tries a relay: it opens a link and a watch of the relays' table.
func (f *Follower) begin(ctx context.Context, r Relay) {
	tctx, cancel := context.WithTimeout(ctx, raceTime)
	t := &try{cancel: cancel}
	f.tries[r.Address] = t
	f.cfg.Go(func() error {
		j, err := f.join(tctx, r)
		f.post(ctx, answered{t, j, err})
		return nil
	})
}

// answered tells what became of a try, before the machine is told.
type answered struct {
	try    *try
	joined joined
	err    error
}

// join opens a link to a relay and a watch of the relays' table, and waits for its first
// news.
func (f *Follower) join(ctx context.Context, r Relay) (joined, error) {
	link, err := f.cfg.Dial(ctx, r.Address)
	if err != nil {
		return joined{Relay: r}, err
	}
	stop := context.AfterFunc(ctx, link.Close)
	j := joined{Relay: r, link: link}
	j.session, j.first, err = watchFrom(link, []peer.WatchedTable{{Table: Table}})
	if !stop() {
		return joined{Relay: r}, ctx.Err() // the link is closed
	}
	if err != nil {
		link.Close()
		return joined{Relay: r}, err
	}
	return j, nil
}

// onAnswered keeps what a try has opened and returns what the machine is to be told,
// nothing for a try that has been ended.
func (f *Follower) onAnswered(a answered) (ConnectDone, bool) {
	if f.tries[a.joined.Address] != a.try {
		a.joined.close()
		return ConnectDone{}, false
	}
	e := ConnectDone{At: time.Now(), Address: a.joined.Address, Outcome: outcome(a)}
	a.try.joined = a.joined
	if a.err != nil {
		delete(f.tries, a.joined.Address)
	}
	return e, true
}

func outcome(a answered) ConnectOutcome {
	switch {
	case errors.Is(a.err, errFull):
		return RelayFull
	case a.err != nil:
		return RelayGone
	case a.joined.first.AnyUnavailable():
		return RelayWithoutStore
	}
	return RelayReady
}

// endTries ends all tries but that of the relay at the address keep.
func (f *Follower) endTries(keep string) {
	for address, t := range f.tries {
		if address == keep {
			continue
		}
		t.cancel()
		t.joined.close()
		delete(f.tries, address)
	}
}

// watchFrom opens a watch and waits for its first news, which tell all tables.
func watchFrom(link Link, tables []peer.WatchedTable) (Stream, peer.WatchUpdate, error) {
	s, err := link.Watch(tables)
	if err != nil {
		return nil, peer.WatchUpdate{}, err
	}
	var first peer.WatchUpdate
	for len(first.Tables) < len(tables) {
		n, err := s.Next(raceTime)
		switch {
		case err != nil:
		case n.Full:
			err = errFull
		case n.Leaving:
			err = errLeaving
		}
		if err != nil {
			s.Close()
			return nil, peer.WatchUpdate{}, err
		}
		first.Tables = append(first.Tables, n.Tables...)
	}
	return s, first, nil
}

// open ends what is followed, and goes on from a try of a relay to a watch of all tables.
func (f *Follower) open(ctx context.Context, r Relay) {
	t := f.tries[r.Address]
	delete(f.tries, r.Address)
	f.stop()
	f.stop = func() {}
	if t == nil {
		f.reduce(ctx, WatchOpened{time.Now(), errLeaving})
		return
	}
	t.cancel()
	f.forget()
	wctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Add(1)
	j := t.joined
	stopped := context.AfterFunc(wctx, j.close)
	f.stop = func() {
		cancel()
		running.Wait()
	}
	f.cfg.Go(func() error {
		defer running.Done()
		defer j.close()
		defer stopped()
		tables := f.watched()
		s, first, err := watchFrom(j.link, tables)
		if err == nil && isBehind(first, tables) {
			err = errBehind
		}
		f.post(wctx, WatchOpened{time.Now(), err})
		if err == nil {
			j.session.Close()
			f.read(ctx, wctx, s, first)
		}
		return nil
	})
}

// read reads what a relay tells until the watch ends, as it does when watching ends. What
// has been read is told all the same.
func (f *Follower) read(ctx, watching context.Context, s Stream, n peer.WatchUpdate) {
	lost := map[string]bool{} // tables for which the relay has lost the store
	told := false             // that it has lost any
	for {
		f.learn(ctx, watching, n, lost)
		if anyLost := len(lost) > 0; n.Leaving || anyLost != told {
			told = anyLost
			f.post(watching, RelayStatus{time.Now(), anyLost, n.Leaving})
		}
		if n.Leaving {
			return
		}
		var err error
		if n, err = s.Next(silence); err != nil {
			f.post(watching, WatchEnded{time.Now(), err.Error()})
			return
		}
	}
}

// learn takes what a relay told.
func (f *Follower) learn(ctx, watching context.Context, n peer.WatchUpdate, lost map[string]bool) {
	now := time.Now()
	for _, t := range n.Tables {
		if t.Table == Table {
			if t.Reset || len(t.Changes) > 0 {
				f.post(watching, DirectoryChanged{now, f.learnRelays(t.Changes, t.Reset)})
			}
			continue
		}
		if !t.Unavailable || t.Reset || len(t.Changes) > 0 {
			delete(lost, t.Table)
			f.tell(ctx, feed.Update{Table: t.Table, At: now, Reset: t.Reset, Changes: t.Changes, Version: t.Version, Relayed: true})
		}
		if t.Unavailable {
			lost[t.Table] = true
			f.tell(ctx, feed.Update{Table: t.Table, At: now, Err: errRelayLost, Relayed: true})
		}
	}
}

// watched returns what to ask a relay for.
func (f *Follower) watched() []peer.WatchedTable {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []peer.WatchedTable{{Table: Table}}
	for _, t := range f.cfg.Tables {
		out = append(out, peer.WatchedTable{Table: t.Name, After: f.from[t.Name]})
	}
	return out
}

// forget has the derived tables be told or read whole next: what a relay tells of them has
// no version of the store.
func (f *Follower) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.cfg.Tables {
		if t.Derived {
			delete(f.from, t.Name)
		}
	}
}

// isBehind reports whether a relay tells less than is known here: it has been suspended,
// say, and does not know.
func isBehind(n peer.WatchUpdate, asked []peer.WatchedTable) bool {
	for _, t := range n.Tables {
		for _, a := range asked {
			if a.Table == t.Table && t.Version < a.After {
				return true
			}
		}
	}
	return false
}
