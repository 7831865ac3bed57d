package watch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/watch"
)

// store is an in-memory store that counts the rows it returns.
type store struct {
	platform.Store // methods that are not used

	mu          sync.Mutex
	rows        map[string]platform.Row
	history     []platform.Change
	version     uint64
	returned    int
	unreachable map[string]bool // by name: instances that cannot reach the store
	scansHang   bool            // scans of the followed table are not answered
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) put(key, value string) {
	s.set(func() {
		s.version++
		r := platform.Row{Key: key, Version: s.version, Value: []byte(value)}
		s.rows[key] = r
		s.history = append(s.history, platform.Change{Row: r})
	})
}

// instanceStore is the store as one instance reaches it.
type instanceStore struct {
	*store
	instance string
}

var errUnavailable = fmt.Errorf("%w: unreachable", platform.ErrUnavailable)

func (s instanceStore) ScanFrom(ctx context.Context, prefix, from string, limit int) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scansHang && prefix == "t//" {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return platform.Page{}, errUnavailable
	}
	if s.unreachable[s.instance] {
		return platform.Page{}, errUnavailable
	}
	p := platform.Page{Version: s.version}
	for _, r := range s.rows {
		if strings.HasPrefix(r.Key, prefix) {
			p.Rows = append(p.Rows, r)
			s.returned++
		}
	}
	return p, nil
}

func (s instanceStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		unavailable, ch := s.unreachable[s.instance], platform.Changes{Version: s.version}
		for _, h := range s.history {
			if h.Version > after && strings.HasPrefix(h.Key, table+"/") {
				ch.Rows = append(ch.Rows, h)
			}
		}
		s.returned += len(ch.Rows)
		s.mu.Unlock()
		if unavailable {
			return platform.Changes{}, errUnavailable
		}
		if len(ch.Rows) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return ch, ctx.Err()
		}
	}
}

func (s instanceStore) Commit(_ context.Context, ops ...platform.Op) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	op := ops[0]
	if s.unreachable[s.instance] {
		return nil, errUnavailable
	}
	if cur := s.rows[op.Key]; cur.Version != op.ExpectVersion {
		return nil, &platform.ConflictError{Conflict: platform.Conflict{Key: op.Key, Current: cur}}
	}
	s.version++
	r := platform.Row{Key: op.Key, Version: s.version, Value: op.Value}
	if op.Delete {
		delete(s.rows, op.Key)
	} else {
		s.rows[op.Key] = r
	}
	s.history = append(s.history, platform.Change{Row: r, Deleted: op.Delete})
	return []platform.Row{r}, nil
}

// site is a group of instances that follow a table of one store.
type site struct {
	t     *testing.T
	store *store

	mu        sync.Mutex
	instances map[string]*instance // by address
	silent    map[string]bool      // by address: instances that are suspended, as others see them
	mute      map[string]bool      // by address: relays that answer a search, but no watch of other tables
	doubted   map[string]string    // by name: another instance that this one takes for not live
}

type instance struct {
	*watch.Follower
	name string
	stop func()
	wait func()

	mu          sync.Mutex
	known       map[string]string
	unavailable bool
}

func newSite(t *testing.T) *site {
	s := &site{t: t, store: &store{rows: map[string]platform.Row{}, unreachable: map[string]bool{}}, instances: map[string]*instance{}, silent: map[string]bool{}, mute: map[string]bool{}, doubted: map[string]string{}}
	for i := range 10 {
		s.store.put(fmt.Sprintf("t//%d", i), "old")
	}
	return s
}

func (s *site) start(name, dataCentre string, cores float64) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	in := &instance{name: name, stop: cancel, wait: func() { _ = g.Wait() }, known: map[string]string{}}
	in.Follower = watch.New(watch.Config{StartID: name + "#1", DataCentre: dataCentre, Address: name, Cores: cores, Store: instanceStore{s.store, name}, Dial: s.dial,
		Tables:    []watch.TableConfig{{Name: "t", Prefixes: []string{"t//"}, Wait: 50 * time.Millisecond}},
		UseRelays: func() bool { return true },
		Live:      func(start string) (bool, bool) { return s.isLive(name, strings.TrimSuffix(start, "#1")), true },
		OnUpdate:  func(_ context.Context, u feed.Update) { in.apply(u) },
		Go:        func(f func() error) { g.Go(f) },
		Rand:      rand.Float64})
	s.mu.Lock()
	s.instances[name] = in
	s.mu.Unlock()
	g.Go(func() error { return in.Run(ctx) })
	s.t.Cleanup(func() { s.kill(in); in.wait() })
	return in
}

func (s *site) kill(in *instance) {
	s.mu.Lock()
	delete(s.instances, in.name)
	s.mu.Unlock()
	in.stop()
}

func (s *site) isRunning(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[name] != nil
}

// isLive reports whether an instance is live as another one, by, judges it.
func (s *site) isLive(by, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[name] != nil && s.doubted[by] != name
}

func (s *site) isSilent(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[name]
}

func (s *site) setSilent(name string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[name] = silent
}

func (s *site) isMute(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mute[name]
}

// apply applies an update to the rows that the instance knows.
func (in *instance) apply(u feed.Update) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.unavailable = u.Err != nil; in.unavailable {
		return
	}
	if u.Reset {
		in.known = map[string]string{}
	}
	for _, ch := range u.Changes {
		in.known[ch.Key] = string(ch.Value)
	}
}

func (in *instance) knownValue(key string) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.known[key]
}

func (in *instance) isUnavailable() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.unavailable
}

// link is a link to an instance. Its watches end with it.
type link struct {
	site   *site
	to     *instance
	ctx    context.Context
	cancel context.CancelFunc
}

var errRefused = errors.New("refused")

func (s *site) dial(ctx context.Context, address string) (watch.Link, error) {
	if s.isSilent(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.mu.Lock()
	to := s.instances[address]
	s.mu.Unlock()
	if to == nil {
		return nil, errRefused
	}
	l := &link{site: s, to: to}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

func (l *link) Close() { l.cancel() }

func (l *link) Watch(tables []peer.WatchedTable) (watch.Stream, error) {
	ctx, cancel := context.WithCancel(l.ctx)
	mute := len(tables) > 1 && l.site.isMute(l.to.name)
	w := &stream{link: l, cancel: cancel, updates: make(chan peer.WatchUpdate, 100)}
	go func() { // ends when the watch or the link is closed
		defer close(w.updates)
		_ = l.to.Watch(ctx, tables, func(u peer.WatchUpdate) error {
			if !l.site.isRunning(l.to.name) {
				return errRefused
			}
			if !mute && !l.site.isSilent(l.to.name) {
				w.updates <- u
			}
			return ctx.Err()
		})
	}()
	return w, nil
}

type stream struct {
	link    *link
	cancel  context.CancelFunc
	updates chan peer.WatchUpdate
}

func (s *stream) Next(within time.Duration) (peer.WatchUpdate, error) {
	select {
	case n, ok := <-s.updates:
		if !ok {
			return peer.WatchUpdate{}, errors.New("ended")
		}
		return n, nil
	case <-time.After(within):
		return peer.WatchUpdate{}, errors.New("silent")
	case <-s.link.ctx.Done():
		return peer.WatchUpdate{}, errors.New("closed")
	}
}

func (s *stream) Close() { s.cancel() }

func (s *site) withSource(kind watch.Kind) []*instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*instance
	for _, in := range s.instances {
		if in.Source().Kind == kind {
			out = append(out, in)
		}
	}
	return out
}

func (s *site) eventually(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			s.t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(start)
}

// newSettledSite starts n instances in one data centre and waits until two of them are
// relays and the others watch these.
func newSettledSite(t *testing.T, n int) *site {
	s := newSite(t)
	for i := range n {
		s.start(fmt.Sprintf("n%d", i), "z1", 1)
	}
	s.eventually(8*time.Second, "two relays", func() bool {
		return len(s.withSource(watch.AsRelay)) == 2 && len(s.withSource(watch.FromRelay)) == n-2
	})
	return s
}

// allKnow reports whether each instance knows the value of a key.
func (s *site) allKnow(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.instances {
		if in.knownValue(key) != value {
			return false
		}
	}
	return true
}

// Only large instances become relays.
func TestLargeInstancesBecomeRelays(t *testing.T) {
	s := newSite(t)
	for i := range 6 {
		s.start(fmt.Sprintf("small%d", i), "z1", 0.19)
		s.start(fmt.Sprintf("large%d", i), "z1", 0.8)
	}
	s.eventually(8*time.Second, "two relays", func() bool { return len(s.withSource(watch.AsRelay)) == 2 && len(s.withSource(watch.FromRelay)) == 10 })
	for _, in := range s.withSource(watch.AsRelay) {
		if !strings.HasPrefix(in.name, "large") {
			t.Errorf("relay %s, want large instances only", in.name)
		}
	}
}

// The number of rows that the store returns grows with the number of relays, not with the
// number of instances.
func TestStoreReadsGrowWithRelays(t *testing.T) {
	returned := map[int]int{}
	for _, n := range []int{8, 40} {
		s := newSettledSite(t, n)
		s.store.set(func() { s.store.returned = 0 })
		for i := range 50 {
			s.store.put(fmt.Sprintf("t//%d", i%10), fmt.Sprintf("new%d", i))
			time.Sleep(2 * time.Millisecond)
		}
		s.eventually(time.Second, "the last change is known", func() bool { return s.allKnow("t//9", "new49") })
		s.store.set(func() { returned[n] = s.store.returned })
	}
	if returned[40] > 2*returned[8] {
		t.Errorf("store returned %d rows with 8 instances and %d with 40, want at most twice as many", returned[8], returned[40])
	}
}

// Once each data centre has relays, instances watch relays of their own data centre.
func TestRelaysOfOwnDataCentre(t *testing.T) {
	s := newSite(t)
	in := map[string]string{}
	for _, dc := range []string{"z1", "z2"} {
		for i := range 5 {
			in[s.start(fmt.Sprintf("%s-n%d", dc, i), dc, 1).name] = dc
		}
	}
	isSettled := func() bool {
		for _, i := range s.withSource(watch.FromRelay) {
			if in[i.Source().Relay] != in[i.name] {
				return false
			}
		}
		return len(s.withSource(watch.AsRelay)) == 4 && len(s.withSource(watch.FromRelay)) == 6
	}
	s.eventually(10*time.Second, "two relays in each data centre, watched from within", isSettled)
}

// Watchers leave a relay that falls silent and receive the missed changes from another
// source: within 1.5 s, or within 3.5 s if the other relay is silent too.
func TestWatchersLeaveSilentRelays(t *testing.T) {
	for _, silent := range []int{1, 2} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			t.Parallel()
			s := newSettledSite(t, 8)
			var gone []string
			for _, in := range s.withSource(watch.AsRelay)[:silent] {
				s.setSilent(in.name, true)
				gone = append(gone, in.name)
			}
			s.store.put("t//3", "new")
			limit := 1500 * time.Millisecond
			if silent == 2 {
				limit += 2 * time.Second // for the search for relays, which finds none
			}
			took := s.eventually(limit, "the change is known", func() bool { return s.allKnow("t//3", "new") })
			for _, in := range s.withSource(watch.FromRelay) {
				for _, name := range gone {
					if in.Source().Relay == name && !s.isSilent(in.name) {
						t.Errorf("%s still watches the silent relay %s", in.name, name)
					}
				}
			}
			t.Logf("change known after %v", took)
		})
	}
}

// A relay that has missed changes does not revert what its new watchers know.
func TestOutdatedRelayRevertsNothing(t *testing.T) {
	s := newSettledSite(t, 4)
	relays := s.withSource(watch.AsRelay)
	s.store.set(func() { s.store.unreachable[relays[0].name] = true }) // it reads nothing from now on
	s.store.put("t//3", "new")
	s.eventually(5*time.Second, "the change is known to all but the cut-off relay", func() bool {
		for _, in := range append(s.withSource(watch.FromRelay), relays[1]) {
			if in.knownValue("t//3") != "new" {
				return false
			}
		}
		return len(s.withSource(watch.FromRelay)) == 2
	})
	s.kill(relays[1])
	for range 200 {
		for _, in := range s.withSource(watch.FromRelay) {
			if in.knownValue("t//3") != "new" && in != relays[0] {
				t.Fatalf("%s lost the change t//3 again", in.name)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Watchers leave a relay without the store for one that has it. Once no relay has it, the
// watchers are notified that the store is unavailable, and notified again when it is
// available.
func TestStoreUnavailable(t *testing.T) {
	s := newSettledSite(t, 6)
	relays, followers := s.withSource(watch.AsRelay), s.withSource(watch.FromRelay)
	s.store.set(func() { s.store.unreachable[relays[0].name] = true })
	s.eventually(5*time.Second, "all watch the other relay", func() bool {
		for _, in := range followers {
			if in.Source().Relay == relays[0].name || in.isUnavailable() {
				return false
			}
		}
		return true
	})
	s.store.set(func() {
		for _, in := range s.instances {
			s.store.unreachable[in.name] = true
		}
	})
	s.eventually(3*time.Second, "all are notified that the store is unavailable", func() bool {
		for _, in := range followers {
			if !in.isUnavailable() {
				return false
			}
		}
		return true
	})
	s.store.set(func() { clear(s.store.unreachable) })
	s.store.put("t//1", "new")
	s.eventually(2*time.Second, "all know the new row", func() bool {
		for _, in := range followers {
			if in.isUnavailable() {
				return false
			}
		}
		return s.allKnow("t//1", "new")
	})
}

// A relay that is disabled frees its slot and sends its watchers elsewhere within 0.4 s,
// and another instance takes the slot.
func TestDisableRelaying(t *testing.T) {
	s := newSettledSite(t, 8)
	in := s.withSource(watch.AsRelay)[0]
	if err := in.DisableRelaying(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.eventually(400*time.Millisecond, "no watchers left", func() bool { return in.Watchers() == 0 })
	s.kill(in)
	s.eventually(5*time.Second, "two relays again", func() bool { return len(s.withSource(watch.AsRelay)) == 2 })
}

// Guards against followers that leave their source for a relay that has not read the tables
// yet, and have none until it has: they must read the store instead.
func TestUnloadedRelayIsNotUsed(t *testing.T) {
	s := newSettledSite(t, 6)
	s.store.set(func() { s.store.scansHang = true }) // a new relay cannot read the table
	relays := s.withSource(watch.AsRelay)
	s.kill(relays[0])
	s.eventually(8*time.Second, "its slot is taken", func() bool { return len(s.withSource(watch.AsRelay)) == 2 })
	s.kill(relays[1])
	s.store.put("t//3", "new")
	// The limit is 1.7 s for two searches, and 0.3 s for a busy machine.
	took := s.eventually(2*time.Second, "the change is known to the followers", func() bool {
		known := 0
		for _, in := range s.withSource(watch.FromStore) {
			if in.knownValue("t//3") == "new" {
				known++
			}
		}
		return known >= 2
	})
	t.Logf("change known after %v", took)
}

// Guards against a third relay that stays: an instance that takes a relay for not live
// claims its slot, and the old relay must hand its watchers over to it. None of them may
// be without tables meanwhile.
func TestTwoRelaysAfterWrongClaim(t *testing.T) {
	s := newSettledSite(t, 8)
	old, follower := s.withSource(watch.AsRelay)[0], s.withSource(watch.FromRelay)[0]
	s.mu.Lock()
	s.doubted[follower.name] = old.name
	s.mu.Unlock()
	s.eventually(8*time.Second, "the slot is taken", func() bool { return follower.Source().Kind == watch.AsRelay })
	s.eventually(8*time.Second, "two relays, the others follow them", func() bool {
		for _, in := range s.withSource(watch.FromRelay) {
			if in.isUnavailable() {
				t.Fatalf("%s is without tables", in.name)
			}
		}
		return len(s.withSource(watch.AsRelay)) == 2 && len(s.withSource(watch.FromRelay)) == 6
	})
	if kind := old.Source().Kind; kind != watch.FromRelay {
		t.Errorf("source of the old relay: %q, want a relay", kind)
	}
	s.store.put("t//3", "new")
	s.eventually(time.Second, "the change is known", func() bool { return s.allKnow("t//3", "new") })
}

// Where relays have no room, other instances become relays: 3 to 8 of 40.
func TestRelaysAddedWhenFull(t *testing.T) {
	s := newSite(t)
	const instances = 40 // a relay of this size has room for 12 watchers
	for i := range instances {
		s.start(fmt.Sprintf("n%02d", i), "z1", 0.1)
	}
	s.eventually(40*time.Second, "all have a source", func() bool {
		return len(s.withSource(watch.AsRelay))+len(s.withSource(watch.FromRelay)) == instances
	})
	if n := len(s.withSource(watch.AsRelay)); n < 3 || n > 8 {
		t.Errorf("%d relays for %d instances, want 3 to 8", n, instances)
	}
}

// An instance whose relay falls silent must know a change within 3 s, also if the relay
// that it turns to answers its search and falls silent before it sends the tables.
func TestRelaySilentAfterSearch(t *testing.T) {
	s := newSettledSite(t, 4)
	in := s.withSource(watch.FromRelay)[0]
	relay := in.Source().Relay
	for _, r := range s.withSource(watch.AsRelay) {
		s.mu.Lock()
		s.mute[r.name], s.silent[r.name] = r.name != relay, r.name == relay
		s.mu.Unlock()
	}
	s.store.put("t//3", "new")
	took := s.eventually(6*time.Second, "the change is known", func() bool { return in.knownValue("t//3") == "new" })
	t.Logf("known after %v", took)
	if took > 3*time.Second {
		t.Errorf("change known after %v, want at most 3 s", took)
	}
}
