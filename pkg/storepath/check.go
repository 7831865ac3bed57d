package storepath

import (
	"context"
	"time"
)

// Run checks the paths when calls fail, and periodically while the direct path is not in
// use, until ctx ends. It always returns nil.
func (s *Store) Run(ctx context.Context) error {
	for {
		next, stop := s.nextCheck()
		select {
		case <-ctx.Done():
			stop()
			return nil
		case reason := <-s.checkRequests:
			if s.checkIsDue() { // a check may have ended since the request
				s.check(ctx, reason)
			}
		case <-next:
			s.recheck(ctx)
		}
		stop()
	}
}

func (s *Store) checkIsDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.CheckIsDue(time.Now())
}

// nextCheck returns a channel that receives when the paths are checked next without a
// request, nil for never, and a function that stops its timer.
func (s *Store) nextCheck() (<-chan time.Time, func() bool) {
	s.mu.Lock()
	at := s.selector.NextCheck(time.Now())
	s.mu.Unlock()
	if at.IsZero() {
		return nil, func() bool { return false }
	}
	t := time.NewTimer(time.Until(at))
	return t.C, t.Stop
}

// recheck checks all paths while the store is unreachable, and else whether the direct
// path is available again. It does not cancel calls in flight through a peer.
func (s *Store) recheck(ctx context.Context) {
	if s.Unreachable() {
		s.cfg.Go(func() error {
			s.pingUnreachable(ctx)
			return nil
		})
		if s.checking.CompareAndSwap(false, true) {
			s.cfg.Go(func() error {
				defer s.checking.Store(false)
				s.check(ctx, "periodic check")
				return nil
			})
		}
		return
	}
	pctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	startedAt := time.Now()
	err := s.cfg.Ping(pctx)
	s.mu.Lock()
	from := s.selector.Path()
	back := s.selector.DirectPinged(time.Since(startedAt), err)
	if back {
		s.updateUnreachable(from)
	}
	s.mu.Unlock()
	if back {
		s.cfg.OnChange(from, AccessPath{}, "answered a ping")
	}
}

// pingUnreachable pings the store while no path leads to it. These pings overlap, because
// each waits for PingTimeout when the store is silent: the first one sent after the
// store's return succeeds, on average 0.1 s after the return rather than 0.4 s.
func (s *Store) pingUnreachable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	sentAt, err := s.timedPing(ctx)
	if err != nil {
		return
	}
	s.answered(AccessPath{Kind: Unreachable}, sentAt, "answered a ping")
}

// check checks the paths and selects the one found, unless a call has changed the path
// meanwhile. Calls in flight on the path before are cancelled.
func (s *Store) check(ctx context.Context, reason string) {
	from := s.Path()
	ap, ok := s.findPath(ctx)
	if !ok {
		return // ctx has ended
	}
	now := time.Now()
	s.mu.Lock()
	changed := s.selector.Path() == from && s.selector.Checked(ap, now)
	if changed {
		s.updateUnreachable(from)
		s.cancelCalls(from, now, false)
	}
	s.mu.Unlock()
	if changed {
		s.cfg.OnChange(from, ap, reason)
	}
}

// findPath pings the paths until one is chosen. ok is false if ctx was cancelled before.
func (s *Store) findPath(ctx context.Context) (ap AccessPath, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel() // cancels pings that are still in flight
	c := pathCheck{store: s, done: make(chan Ping, 1+maxPeers)}
	startedAt := time.Now()
	c.ping(ctx, AccessPath{}, s.cfg.Ping)
	wake := time.NewTimer(PeerPingDelay)
	defer wake.Stop()
	for {
		select {
		case p := <-c.done:
			c.record(p)
		case <-wake.C:
		}
		elapsed := time.Since(startedAt)
		c.pingPeers(ctx, elapsed)
		if ap, ok := Choose(c.pings, elapsed); ok {
			return ap, true
		}
		if ctx.Err() == context.Canceled {
			return AccessPath{}, false
		}
		wake.Reset(nextDecision(elapsed) - elapsed)
	}
}

// pathCheck is one check of the paths.
type pathCheck struct {
	store       *Store
	pings       []Ping // the direct path first
	done        chan Ping
	peersPinged bool // whether peers have been pinged
}

// ping starts a ping on path ap.
func (c *pathCheck) ping(ctx context.Context, ap AccessPath, f func(context.Context) error) {
	c.pings = append(c.pings, Ping{Path: ap})
	c.store.cfg.Go(func() error {
		startedAt := time.Now()
		err := f(ctx)
		c.done <- Ping{Path: ap, Ended: true, Took: time.Since(startedAt), Err: err}
		return nil
	})
}

// record records the outcome of a ping.
func (c *pathCheck) record(done Ping) {
	for i := range c.pings {
		if c.pings[i].Path == done.Path {
			c.pings[i] = done
		}
	}
}

// pingPeers pings the first maxPeers peers, once, when the direct path has failed or has
// not answered within PeerPingDelay.
func (c *pathCheck) pingPeers(ctx context.Context, elapsed time.Duration) {
	direct := c.pings[0]
	if c.peersPinged || direct.answered() || !direct.Ended && elapsed < PeerPingDelay {
		return
	}
	c.peersPinged = true
	all := c.store.cfg.Peers()
	for _, addr := range all[:min(len(all), maxPeers)] {
		c.ping(ctx, AccessPath{Kind: ThroughPeer, Peer: addr}, c.store.cfg.Peer(addr).Ping)
	}
}

// nextDecision returns the next time since the start of a check at which Choose may
// return something else although no ping has ended.
func nextDecision(elapsed time.Duration) time.Duration {
	for _, limit := range []time.Duration{PeerPingDelay, FastPing, PingTimeout} {
		if elapsed < limit {
			return limit
		}
	}
	return elapsed + unreachablePause
}
