package storepath

import (
	"context"
	"time"
)

// Run looks for a way when calls fail, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for {
		next, stop := s.nextLook()
		select {
		case <-ctx.Done():
			stop()
			return nil
		case why := <-s.look:
			if s.lookIsDue() { // the call that asked may have met the way before
				s.check(ctx, why)
			}
		case <-next:
			s.lookAgain(ctx)
		}
		stop()
	}
}

func (s *Store) lookIsDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.CheckIsDue(time.Now())
}

// nextLook returns a channel that tells when the ways are looked at next though no
// call asks for it.
func (s *Store) nextLook() (<-chan time.Time, func() bool) {
	s.mu.Lock()
	at := s.path.NextCheck(time.Now())
	s.mu.Unlock()
	if at.IsZero() {
		return nil, func() bool { return false }
	}
	t := time.NewTimer(time.Until(at))
	return t.C, t.Stop
}

// lookAgain looks for any way while there is none, and else whether the direct one
// is back. Calls under way through a peer end there.
func (s *Store) lookAgain(ctx context.Context) {
	if s.Unreachable() {
		s.cfg.Go(func() error {
			s.pingLost(ctx)
			return nil
		})
		if s.checking.CompareAndSwap(false, true) {
			s.cfg.Go(func() error {
				defer s.checking.Store(false)
				s.check(ctx, "looking again")
				return nil
			})
		}
		return
	}
	pctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	begun := time.Now()
	err := s.cfg.Ping(pctx)
	s.mu.Lock()
	from := s.path.Path()
	back := s.path.DirectPinged(time.Since(begun), err)
	if back {
		s.changed(from)
	}
	s.mu.Unlock()
	if back {
		s.cfg.OnChange(from, AccessPath{}, "answers again")
	}
}

// pingLost pings the store while there is no way to it. Such pings overlap, as each
// waits for PingTimeout where the store is silent: the first one after its return is
// answered, 0.1 s after it rather than 0.4 s on average.
func (s *Store) pingLost(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	if s.cfg.Ping(ctx) != nil {
		return
	}
	s.answered(AccessPath{Kind: Unreachable}, "answers again")
}

// check looks at the ways and takes the one that is found, unless a call has found
// one meanwhile. Calls under way by the one before are given up.
func (s *Store) check(ctx context.Context, why string) {
	from := s.Path()
	w, ok := s.find(ctx)
	if !ok {
		return // ctx has ended
	}
	now := time.Now()
	s.mu.Lock()
	changed := s.path.Path() == from && s.path.Checked(w, now)
	if changed {
		s.changed(from)
		s.giveUp(from, now)
	}
	s.mu.Unlock()
	if changed {
		s.cfg.OnChange(from, w, why)
	}
}

// find pings the ways until one is chosen; ok is false if ctx ended before.
func (s *Store) find(ctx context.Context) (w AccessPath, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel() // of the pings that are not waited for
	v := survey{store: s, ended: make(chan Ping, 1+asked)}
	begun := time.Now()
	v.ping(ctx, AccessPath{}, s.cfg.Ping)
	wake := time.NewTimer(PeerPingDelay)
	defer wake.Stop()
	for {
		select {
		case p := <-v.ended:
			v.take(p)
		case <-wake.C:
		}
		elapsed := time.Since(begun)
		v.askPeers(ctx, elapsed)
		if w, ok := Choose(v.pings, elapsed); ok {
			return w, true
		}
		if ctx.Err() == context.Canceled {
			return AccessPath{}, false
		}
		wake.Reset(nextLimit(elapsed) - elapsed)
	}
}

// survey is one look at the ways.
type survey struct {
	store  *Store
	pings  []Ping // the direct one first
	ended  chan Ping
	asking bool // peers are asked
}

// ping begins a ping by way w.
func (v *survey) ping(ctx context.Context, w AccessPath, f func(context.Context) error) {
	v.pings = append(v.pings, Ping{Path: w})
	v.store.cfg.Go(func() error {
		begun := time.Now()
		err := f(ctx)
		v.ended <- Ping{Path: w, Ended: true, Took: time.Since(begun), Err: err}
		return nil
	})
}

// take takes the outcome of a ping.
func (v *survey) take(ended Ping) {
	for i := range v.pings {
		if v.pings[i].Path == ended.Path {
			v.pings[i] = ended
		}
	}
}

// askPeers asks peers, once, when the direct way has not answered in its head start.
func (v *survey) askPeers(ctx context.Context, elapsed time.Duration) {
	direct := v.pings[0]
	if v.asking || direct.answered() || !direct.Ended && elapsed < PeerPingDelay {
		return
	}
	v.asking = true
	all := v.store.cfg.Peers()
	for _, addr := range all[:min(len(all), asked)] {
		v.ping(ctx, AccessPath{Kind: ThroughPeer, Peer: addr}, v.store.cfg.Peer(addr).Ping)
	}
}

// nextLimit returns the next time after the begin of a look at which the choice may
// change without a ping's end.
func nextLimit(elapsed time.Duration) time.Duration {
	for _, limit := range []time.Duration{PeerPingDelay, FastPing, PingTimeout} {
		if elapsed < limit {
			return limit
		}
	}
	return elapsed + lostPause
}
