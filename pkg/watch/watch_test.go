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

// store is a store in memory that counts the rows it has told.
type store struct {
	platform.Store // what is not used

	mu      sync.Mutex
	rows    map[string]platform.Row
	history []platform.Change
	version uint64
	told    int
	cut     map[string]bool // instances that do not reach it
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

// reached is the store as an instance reaches it.
type reached struct {
	*store
	by string
}

var errAway = fmt.Errorf("%w: away", platform.ErrUnavailable)

func (s reached) ScanFrom(_ context.Context, prefix, from string, limit int) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut[s.by] {
		return platform.Page{}, errAway
	}
	p := platform.Page{Version: s.version}
	for _, r := range s.rows {
		if strings.HasPrefix(r.Key, prefix) {
			p.Rows = append(p.Rows, r)
			s.told++
		}
	}
	return p, nil
}

func (s reached) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		away, ch := s.cut[s.by], platform.Changes{Version: s.version}
		for _, h := range s.history {
			if h.Version > after && strings.HasPrefix(h.Key, table+"/") {
				ch.Rows = append(ch.Rows, h)
			}
		}
		s.told += len(ch.Rows)
		s.mu.Unlock()
		if away {
			return platform.Changes{}, errAway
		}
		if len(ch.Rows) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return ch, ctx.Err()
		}
	}
}

func (s reached) Commit(_ context.Context, ops ...platform.Op) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	op := ops[0]
	if s.cut[s.by] {
		return nil, errAway
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

// site is instances that follow a table of one store.
type site struct {
	t     *testing.T
	store *store

	mu        sync.Mutex
	instances map[string]*instance // by address
	silent    map[string]bool      // addresses of which nothing is heard
}

type instance struct {
	*watch.Follower
	name string
	end  func()
	wait func()

	mu    sync.Mutex
	known map[string]string
	away  bool
}

func newSite(t *testing.T) *site {
	s := &site{t: t, store: &store{rows: map[string]platform.Row{}, cut: map[string]bool{}}, instances: map[string]*instance{}, silent: map[string]bool{}}
	for i := range 10 {
		s.store.put(fmt.Sprintf("t//%d", i), "old")
	}
	return s
}

func (s *site) start(name, dataCentre string, cores float64) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	in := &instance{name: name, end: cancel, wait: func() { _ = g.Wait() }, known: map[string]string{}}
	in.Follower = watch.New(watch.Config{StartID: name + "#1", DataCentre: dataCentre, Address: name, Cores: cores, Store: reached{s.store, name}, Dial: s.dial,
		Tables:    []watch.TableConfig{{Name: "t", Prefixes: []string{"t//"}, Wait: 50 * time.Millisecond}},
		UseRelays: func() bool { return true },
		Live:      func(start string) (bool, bool) { return s.isThere(strings.TrimSuffix(start, "#1")), true },
		OnUpdate:  func(_ context.Context, u feed.Update) { in.learn(u) },
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
	in.end()
}

func (s *site) isThere(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[name] != nil
}

func (s *site) isSilent(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[name]
}

func (s *site) silence(name string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[name] = silent
}

// learn takes what an instance is told. Nothing older may come after something newer.
func (in *instance) learn(u feed.Update) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.away = u.Err != nil; in.away {
		return
	}
	if u.Reset {
		in.known = map[string]string{}
	}
	for _, ch := range u.Changes {
		in.known[ch.Key] = string(ch.Value)
	}
}

func (in *instance) knows(key string) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.known[key]
}

func (in *instance) isAway() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.away
}

// link is a link to an instance; its watches end with it.
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
	w := &session{link: l, cancel: cancel, news: make(chan peer.WatchUpdate, 100)}
	go func() { // ends with the link
		defer close(w.news)
		_ = l.to.Watch(ctx, tables, func(n peer.WatchUpdate) error {
			if !l.site.isThere(l.to.name) {
				return errRefused
			}
			if !l.site.isSilent(l.to.name) {
				w.news <- n
			}
			return ctx.Err()
		})
	}()
	return w, nil
}

type session struct {
	link   *link
	cancel context.CancelFunc
	news   chan peer.WatchUpdate
}

func (s *session) Next(within time.Duration) (peer.WatchUpdate, error) {
	select {
	case n, ok := <-s.news:
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

func (s *session) Close() { s.cancel() }

func (s *site) by(kind watch.Kind) []*instance {
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
	begun := time.Now()
	for !ok() {
		if time.Since(begun) > limit {
			s.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(begun)
}

// settled starts n instances of one data centre and waits until two relay for the others.
func settled(t *testing.T, n int) *site {
	s := newSite(t)
	for i := range n {
		s.start(fmt.Sprintf("n%d", i), "z1", 1)
	}
	s.eventually(8*time.Second, "two relays", func() bool {
		return len(s.by(watch.AsRelay)) == 2 && len(s.by(watch.FromRelay)) == n-2
	})
	return s
}

// all reports whether each instance knows the value of a key.
func (s *site) all(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.instances {
		if in.knows(key) != value {
			return false
		}
	}
	return true
}

// Large instances relay for small ones.
func TestLargeInstancesRelay(t *testing.T) {
	s := newSite(t)
	for i := range 6 {
		s.start(fmt.Sprintf("small%d", i), "z1", 0.19)
		s.start(fmt.Sprintf("large%d", i), "z1", 0.8)
	}
	s.eventually(8*time.Second, "two relays", func() bool { return len(s.by(watch.AsRelay)) == 2 && len(s.by(watch.FromRelay)) == 10 })
	for _, in := range s.by(watch.AsRelay) {
		if !strings.HasPrefix(in.name, "large") {
			t.Errorf("%s relays", in.name)
		}
	}
}

// What the store tells grows with the relays and not with the instances.
func TestStoreTellsRelaysOnly(t *testing.T) {
	told := map[int]int{}
	for _, n := range []int{8, 40} {
		s := settled(t, n)
		s.store.set(func() { s.store.told = 0 })
		for i := range 50 {
			s.store.put(fmt.Sprintf("t//%d", i%10), fmt.Sprintf("new%d", i))
			time.Sleep(2 * time.Millisecond)
		}
		s.eventually(time.Second, "the last change is known", func() bool { return s.all("t//9", "new49") })
		s.store.set(func() { told[n] = s.store.told })
	}
	if told[40] > 2*told[8] {
		t.Errorf("the store told %d rows among 8 instances, and %d among 40", told[8], told[40])
	}
}

// Instances of a data centre follow relays of their own, and those of another only while
// theirs has none.
func TestRelaysOfTheOwnDataCentre(t *testing.T) {
	s := newSite(t)
	in := map[string]string{}
	for _, dc := range []string{"z1", "z2"} {
		for i := range 5 {
			in[s.start(fmt.Sprintf("%s-n%d", dc, i), dc, 1).name] = dc
		}
	}
	settled := func() bool {
		for _, i := range s.by(watch.FromRelay) {
			if in[i.Source().Relay] != in[i.name] {
				return false
			}
		}
		return len(s.by(watch.AsRelay)) == 4 && len(s.by(watch.FromRelay)) == 6
	}
	s.eventually(10*time.Second, "each data centre has its own", settled)
}

// A relay of which nothing is heard is left within a second, also where the other does
// not answer either, and what changes meanwhile is known then.
func TestSilentRelaysAreLeft(t *testing.T) {
	for _, silent := range []int{1, 2} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			t.Parallel()
			s := settled(t, 8)
			var gone []string
			for _, in := range s.by(watch.AsRelay)[:silent] {
				s.silence(in.name, true)
				gone = append(gone, in.name)
			}
			s.store.put("t//3", "new")
			limit := 1500 * time.Millisecond
			if silent == 2 {
				limit += 2 * time.Second // in which relays are looked for in vain
			}
			took := s.eventually(limit, "the change is known", func() bool { return s.all("t//3", "new") })
			for _, in := range s.by(watch.FromRelay) {
				for _, name := range gone {
					if in.Source().Relay == name && !s.isSilent(in.name) {
						t.Errorf("%s follows %s", in.name, name)
					}
				}
			}
			t.Logf("known after %v", took)
		})
	}
}

// A relay that was suspended knows less than those who come to it, and does not undo
// what they know.
func TestOldRelayUndoesNothing(t *testing.T) {
	s := settled(t, 4)
	relays := s.by(watch.AsRelay)
	s.store.set(func() { s.store.cut[relays[0].name] = true }) // reads nothing from now on
	s.store.put("t//3", "new")
	s.eventually(5*time.Second, "the change is known to all but one", func() bool {
		for _, in := range append(s.by(watch.FromRelay), relays[1]) {
			if in.knows("t//3") != "new" {
				return false
			}
		}
		return len(s.by(watch.FromRelay)) == 2
	})
	s.kill(relays[1])
	for range 200 {
		for _, in := range s.by(watch.FromRelay) {
			if in.knows("t//3") != "new" && in != relays[0] {
				t.Fatalf("%s was taken back", in.name)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A relay that has lost the store is left for one that has it; once all have lost it,
// those who follow are told, and told when it is back.
func TestLostStore(t *testing.T) {
	s := settled(t, 6)
	relays, followers := s.by(watch.AsRelay), s.by(watch.FromRelay)
	s.store.set(func() { s.store.cut[relays[0].name] = true })
	s.eventually(5*time.Second, "all follow the other", func() bool {
		for _, in := range followers {
			if in.Source().Relay == relays[0].name || in.isAway() {
				return false
			}
		}
		return true
	})
	s.store.set(func() {
		for _, in := range s.instances {
			s.store.cut[in.name] = true
		}
	})
	s.eventually(3*time.Second, "all know that it is away", func() bool {
		for _, in := range followers {
			if !in.isAway() {
				return false
			}
		}
		return true
	})
	s.store.set(func() { clear(s.store.cut) })
	s.store.put("t//1", "new")
	s.eventually(2*time.Second, "all know that it is back", func() bool {
		for _, in := range followers {
			if in.isAway() {
				return false
			}
		}
		return s.all("t//1", "new")
	})
}

// A relay that stops gives its slot up and sends its watchers elsewhere at once, and
// another takes the slot.
func TestRelayStops(t *testing.T) {
	s := settled(t, 8)
	in := s.by(watch.AsRelay)[0]
	if err := in.DisableRelaying(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.eventually(400*time.Millisecond, "nobody follows it", func() bool { return in.Watchers() == 0 })
	s.kill(in)
	s.eventually(5*time.Second, "two relays again", func() bool { return len(s.by(watch.AsRelay)) == 2 })
}

// Where relays have no room others become relays, as many as are wanted.
func TestFullRelaysAreJoinedByOthers(t *testing.T) {
	s := newSite(t)
	const instances = 40 // of which a relay of this size has room for twelve
	for i := range instances {
		s.start(fmt.Sprintf("n%02d", i), "z1", 0.1)
	}
	s.eventually(40*time.Second, "all have a source", func() bool {
		return len(s.by(watch.AsRelay))+len(s.by(watch.FromRelay)) == instances
	})
	if n := len(s.by(watch.AsRelay)); n < 3 || n > 8 {
		t.Errorf("%d relays for %d instances", n, instances)
	}
}
