package watch

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
)

// close closes the link, if there is one.
func (c conn) close() {
	if c.link != nil {
		c.link.Close()
	}
}

// startConnect starts opening a link to a relay and a watch of Table there.
func (f *Follower) startConnect(ctx context.Context, r Relay) {
	tctx, cancel := context.WithTimeout(ctx, searchTimeout)
	a := &attempt{cancel: cancel}
	f.attempts[r.Address] = a
	f.cfg.Go(func() error {
		c, err := f.connect(tctx, r)
		f.post(ctx, connectResult{a, c, err})
		return nil
	})
}

// connectResult is the outcome of an attempt, before it is passed to the Machine.
type connectResult struct {
	attempt *attempt
	conn    conn
	err     error
}

// connect opens a link to a relay and a watch of Table, and waits for the first update.
func (f *Follower) connect(ctx context.Context, r Relay) (conn, error) {
	link, err := f.cfg.Dial(ctx, r.Address)
	if err != nil {
		return conn{Relay: r}, err
	}
	stop := context.AfterFunc(ctx, link.Close)
	c := conn{Relay: r, link: link}
	c.stream, c.first, err = watchFrom(link, []peer.WatchedTable{{Table: Table}})
	if !stop() {
		return conn{Relay: r}, ctx.Err() // ctx has ended and closed the link
	}
	if err != nil {
		link.Close()
		return conn{Relay: r}, err
	}
	return c, nil
}

// onConnectResult keeps the connection that an attempt has opened and returns the event
// for the Machine. It reports false for an attempt that was cancelled.
func (f *Follower) onConnectResult(r connectResult) (ConnectDone, bool) {
	if f.attempts[r.conn.Address] != r.attempt {
		r.conn.close()
		return ConnectDone{}, false
	}
	e := ConnectDone{At: time.Now(), Address: r.conn.Address, Outcome: outcome(r)}
	r.attempt.conn = r.conn
	if r.err != nil {
		delete(f.attempts, r.conn.Address)
	}
	return e, true
}

func outcome(r connectResult) ConnectOutcome {
	switch {
	case errors.Is(r.err, errFull):
		return RelayFull
	case isTimeout(r.err):
		return RelaySilent
	case r.err != nil:
		return RelayGone
	case r.conn.first.AnyUnavailable():
		return RelayWithoutStore
	}
	return RelayReady
}

// isTimeout reports whether err means that a relay did not answer in time.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// closeConnections cancels and closes all attempts but that for the relay at the address
// keep.
func (f *Follower) closeConnections(keep string) {
	for address, a := range f.attempts {
		if address == keep {
			continue
		}
		a.cancel()
		a.conn.close()
		delete(f.attempts, address)
	}
}

// watchFrom opens a watch and waits until an update of each table has arrived.
func watchFrom(link Link, tables []peer.WatchedTable) (Stream, peer.WatchUpdate, error) {
	s, err := link.Watch(tables)
	if err != nil {
		return nil, peer.WatchUpdate{}, err
	}
	var first peer.WatchUpdate
	for len(first.Tables) < len(tables) {
		u, err := s.Next(searchTimeout)
		switch {
		case err != nil:
		case u.Full:
			err = errFull
		case u.Leaving:
			err = errLeaving
		}
		if err != nil {
			s.Close()
			return nil, peer.WatchUpdate{}, err
		}
		first.Tables = append(first.Tables, u.Tables...)
	}
	return s, first, nil
}

// openWatch ends the current source and opens a watch of all tables at a relay that
// startConnect has connected to.
func (f *Follower) openWatch(ctx context.Context, r Relay) {
	a := f.attempts[r.Address]
	delete(f.attempts, r.Address)
	f.stop()
	f.stop = func() {}
	if a == nil {
		f.reduce(ctx, WatchOpened{time.Now(), errLeaving})
		return
	}
	a.cancel()
	f.forgetDerived()
	watchCtx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Add(1)
	c := a.conn
	stopped := context.AfterFunc(watchCtx, c.close)
	f.stop = func() {
		cancel()
		running.Wait()
	}
	f.cfg.Go(func() error {
		defer running.Done()
		defer c.close()
		defer stopped()
		tables := f.watchedTables()
		s, first, err := watchFrom(c.link, tables)
		if err == nil && isBehind(first, tables) {
			err = errBehind
		}
		f.post(watchCtx, WatchOpened{time.Now(), err})
		if err == nil {
			c.stream.Close()
			f.readUpdates(ctx, watchCtx, s, first)
		}
		return nil
	})
}

// readUpdates handles the updates of a watch until the watch ends or watchCtx does.
// Updates already received are delivered even then, with ctx.
func (f *Follower) readUpdates(ctx, watchCtx context.Context, s Stream, u peer.WatchUpdate) {
	unavailable := map[string]bool{} // tables that the relay cannot read from the store
	reported := false                // whether the Machine was told that there are such tables
	for {
		f.handleUpdate(ctx, watchCtx, u, unavailable)
		if anyUnavailable := len(unavailable) > 0; u.Leaving || anyUnavailable != reported {
			reported = anyUnavailable
			f.post(watchCtx, RelayStatus{time.Now(), anyUnavailable, u.Leaving})
		}
		if u.Leaving {
			return
		}
		var err error
		if u, err = s.Next(silenceTimeout); err != nil {
			f.post(watchCtx, WatchEnded{time.Now(), err.Error(), isTimeout(err)})
			return
		}
	}
}

// handleUpdate applies one update from a relay. It records in unavailable the tables that
// the relay cannot read.
func (f *Follower) handleUpdate(ctx, watchCtx context.Context, u peer.WatchUpdate, unavailable map[string]bool) {
	now := time.Now()
	for _, t := range u.Tables {
		if t.Table == Table {
			if t.Reset || len(t.Changes) > 0 {
				f.post(watchCtx, DirectoryChanged{now, f.applyRelays(t.Changes, t.Reset)})
			}
			continue
		}
		if !t.Unavailable || t.Reset || len(t.Changes) > 0 {
			delete(unavailable, t.Table)
			f.notify(ctx, feed.Update{Table: t.Table, At: now, Reset: t.Reset, Changes: t.Changes, Version: t.Version, Relayed: true})
		}
		if t.Unavailable {
			unavailable[t.Table] = true
			f.notify(ctx, feed.Update{Table: t.Table, At: now, Err: errRelayWithoutStore, Relayed: true})
		}
	}
}

// watchedTables returns the tables to watch at a relay, each with its known version.
func (f *Follower) watchedTables() []peer.WatchedTable {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []peer.WatchedTable{{Table: Table}}
	for _, t := range f.cfg.Tables {
		out = append(out, peer.WatchedTable{Table: t.Name, After: f.versions[t.Name]})
	}
	return out
}

// forgetDerived drops the known versions of derived tables, so that they are next read or
// sent in full: the versions that a relay gives them are not those of the store.
func (f *Follower) forgetDerived() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.cfg.Tables {
		if t.Derived {
			delete(f.versions, t.Name)
		}
	}
}

// isBehind reports whether a relay's first update is older than what this instance knows,
// as after the relay was suspended without noticing.
func isBehind(u peer.WatchUpdate, watched []peer.WatchedTable) bool {
	for _, t := range u.Tables {
		for _, a := range watched {
			if a.Table == t.Table && t.Version < a.After {
				return true
			}
		}
	}
	return false
}
