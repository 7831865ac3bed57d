package watch

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/peer"
)

var (
	errFull    = errors.New("watch: the relay is full")
	errLeaving = errors.New("watch: the relay is about to stop")
	errBehind  = errors.New("watch: the relay knows less than is known here")
)

// enoughLost is how many relays that have lost the store are asked until it is taken for
// lost for all: were each asked by each instance, an outage would cost more connections
// than all else.
const enoughLost = 3

// joined is a watch at a relay, and the news that it began with.
type joined struct {
	Relay
	Session
	link  Link
	first peer.News
}

// close ends j, if there is one.
func (j joined) close() {
	if j.link != nil {
		j.link.Close()
	}
}

// serves reports whether j is a watch at a relay that has the store.
func (j joined) serves() bool { return j.Session != nil && !j.first.AnyLost() }

// race tries relays one after the other, without waiting for the end of one before the
// next is begun, and returns the first that serves, with a watch of the relays' table
// alone: whole tables are asked of one relay only. If all that answer have lost the
// store, it is one of these.
func (f *Follower) race(ctx context.Context, relays []Relay, limit time.Duration) (joined, bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r := racers{follower: f, ctx: ctx, left: relays, ended: make(chan attempt, len(relays))}
	defer r.stop(cancel)
	step := time.NewTicker(raceStep)
	defer step.Stop()
	var best joined
	lost := 0 // relays that have lost the store
	for r.next(); !best.serves() && lost < enoughLost && (r.running > 0 || len(r.left) > 0); {
		select {
		case <-ctx.Done():
			return best, best.Session != nil
		case <-step.C:
			r.next()
		case a := <-r.ended:
			r.running--
			if a.err != nil {
				r.next()
				continue
			}
			if !a.serves() {
				lost++
				r.next()
			}
			if best.Session != nil && !a.serves() {
				a.close()
				continue
			}
			best.close()
			best = a.joined
		}
	}
	return best, best.Session != nil
}

// racers are the relays of one race.
type racers struct {
	follower *Follower
	ctx      context.Context // of the race
	left     []Relay         // not tried yet
	running  int             // attempts
	ended    chan attempt
	group    errgroup.Group
}

// attempt is the outcome of a try of one relay.
type attempt struct {
	joined
	err error
}

// next begins to try the next relay, if there is one.
func (r *racers) next() {
	if len(r.left) == 0 {
		return
	}
	to := r.left[0]
	r.left = r.left[1:]
	r.running++
	r.group.Go(func() error {
		j, err := r.follower.try(r.ctx, to)
		r.ended <- attempt{j, err}
		return nil
	})
}

// stop ends the attempts that are under way, and closes what they have opened.
func (r *racers) stop(cancel context.CancelFunc) {
	cancel()
	r.follower.cfg.Group(func() error {
		_ = r.group.Wait() // its functions return nil
		close(r.ended)
		for a := range r.ended {
			a.close()
		}
		return nil
	})
}

// try opens a link to a relay and a watch of the relays' table, and waits for its first
// news.
func (f *Follower) try(ctx context.Context, r Relay) (joined, error) {
	link, err := f.cfg.Dial(ctx, r.Address)
	if err != nil {
		f.avoidGone(ctx, r.Address)
		return joined{}, err
	}
	stop := context.AfterFunc(ctx, link.Close)
	j := joined{Relay: r, link: link}
	if j.Session, j.first, err = f.begin(link, r.Address, []peer.WatchedTable{{Table: Table}}); err != nil {
		f.avoidGone(ctx, r.Address)
	}
	if !stop() {
		return joined{}, ctx.Err() // the link is closed
	}
	if err != nil {
		link.Close()
		return joined{}, err
	}
	return j, nil
}

// begin opens a watch and waits for its first news, which tell all tables.
func (f *Follower) begin(link Link, address string, tables []peer.WatchedTable) (Session, peer.News, error) {
	s, err := link.Watch(tables)
	if err != nil {
		return nil, peer.News{}, err
	}
	var first peer.News
	for len(first.Tables) < len(tables) {
		n, err := s.Next(raceTime)
		switch {
		case err != nil:
		case n.Full:
			f.avoid(address, full)
			err = errFull
		case n.Leaving:
			err = errLeaving
		}
		if err != nil {
			s.Close()
			return nil, peer.News{}, err
		}
		first.Tables = append(first.Tables, n.Tables...)
	}
	return s, first, nil
}

// watchAll goes on from a watch of the relays' table to one of all tables.
func (f *Follower) watchAll(j joined) (joined, bool) {
	tables := f.watched()
	s, first, err := f.begin(j.link, j.Address, tables)
	if err == nil && isBehind(first, tables) {
		err = errBehind
		f.avoid(j.Address, full)
	}
	j.Session.Close()
	if err != nil {
		j.close()
		return joined{}, false
	}
	j.Session, j.first = s, first
	return j, true
}

// avoidGone has a relay that has not answered not tried for a while, unless ctx was
// cancelled, which says nothing of it.
func (f *Follower) avoidGone(ctx context.Context, address string) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		f.avoid(address, gone)
	}
}

// isBehind reports whether a relay tells less than is known here: it has been suspended,
// say, and does not know.
func isBehind(n peer.News, asked []peer.WatchedTable) bool {
	for _, t := range n.Tables {
		for _, a := range asked {
			if a.Table == t.Table && t.Version < a.After {
				return true
			}
		}
	}
	return false
}
