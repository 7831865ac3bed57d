package feed_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// table is an in-memory table that can be unavailable, drop its change history and return
// outdated rows.
type table struct {
	mu          sync.Mutex
	rows        []platform.Row // sorted by key
	history     []platform.Change
	version     uint64
	droppedTo   uint64
	old         []platform.Row // rows that scans return if oldAt is not 0
	oldAt       uint64
	unavailable bool
	scans       int
}

var errUnavailable = fmt.Errorf("%w: unreachable", platform.ErrUnavailable)

func (t *table) put(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	r := platform.Row{Key: key, Version: t.version}
	t.rows = append(t.rows, r)
	t.history = append(t.history, platform.Change{Row: r})
}

func (t *table) set(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// ScanFrom returns at most two rows.
func (t *table) ScanFrom(_ context.Context, prefix, from string, _ int) (platform.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scans++
	if t.unavailable {
		return platform.Page{}, errUnavailable
	}
	p, rows := platform.Page{Version: t.version}, t.rows
	if t.oldAt != 0 {
		p.Version, rows = t.oldAt, t.old
	}
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, prefix) || r.Key < from {
			continue
		}
		if len(p.Rows) == 2 {
			p.More = true
			break
		}
		p.Rows = append(p.Rows, r)
	}
	return p, nil
}

func (t *table) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (platform.Changes, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		t.mu.Lock()
		unavailable, dropped, ch := t.unavailable, after < t.droppedTo, platform.Changes{Version: t.version}
		for _, h := range t.history {
			if h.Version > after {
				ch.Rows = append(ch.Rows, h)
			}
		}
		t.mu.Unlock()
		switch {
		case unavailable:
			return platform.Changes{}, errUnavailable
		case dropped:
			return platform.Changes{}, platform.ErrHistoryGone
		case len(ch.Rows) > 0 || time.Now().After(deadline) || ctx.Err() != nil:
			return ch, nil
		}
	}
}

// A follower knows all rows of a table, across pages and partitions, and its changes. It
// recovers from an outage and from a loss of the change history, and reports both.
func TestFollower(t *testing.T) {
	tab := &table{}
	for i := range 5 {
		tab.put(fmt.Sprintf("t/0/%d", i))
	}
	tab.put("t/1/x")
	var mu sync.Mutex
	known, resets, failures := map[string]bool{}, 0, 0
	f := feed.Follower{Store: tab, Table: "t", Prefixes: []string{"t/0/", "t/1/"}, Wait: 20 * time.Millisecond, OnUpdate: func(u feed.Update) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case errors.Is(u.Err, platform.ErrUnavailable):
			failures++
		case u.Reset:
			resets++
			clear(known)
		}
		for _, ch := range u.Changes {
			known[ch.Key] = true
		}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.Run(ctx) })
	defer func() { cancel(); _ = g.Wait() }()
	want := func(what string, ok func() bool) {
		t.Helper()
		for i := 0; ; i++ {
			mu.Lock()
			done := ok()
			mu.Unlock()
			if done {
				return
			}
			if i > 3000 {
				t.Fatalf("no update for 3 s: %s (known %v, %d resets, %d errors)", what, known, resets, failures)
			}
			time.Sleep(time.Millisecond)
		}
	}
	want("all rows", func() bool { return len(known) == 6 && resets == 1 })
	tab.put("t/1/y")
	want("a change", func() bool { return known["t/1/y"] })
	tab.set(func() { tab.unavailable = true })
	want("the outage", func() bool { return failures > 0 })
	tab.put("t/1/z")
	tab.set(func() { tab.unavailable = false })
	want("what changed meanwhile", func() bool { return known["t/1/z"] })
	tab.set(func() { tab.version++; tab.droppedTo, tab.history = tab.version, nil })
	want("the table again", func() bool { return resets == 2 && len(known) == 8 })
}

// A follower backs off while the store is unavailable: it makes at most 12 calls within
// 1.5 s.
func TestFollowerBacksOff(t *testing.T) {
	tab := &table{unavailable: true}
	f := feed.Follower{Store: tab, Table: "t", Prefixes: []string{"t/0/"}, OnUpdate: func(feed.Update) {}}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if tab.scans > 12 {
		t.Fatalf("%d calls in 1.5 s, want at most 12", tab.scans)
	}
}

// A follower does not go back to an earlier version when the store has dropped its change
// history and returns an outdated table.
func TestOutdatedTableRejected(t *testing.T) {
	tab := &table{}
	tab.put("t/0/a")
	tab.put("t/0/b")
	var mu sync.Mutex
	var updates []feed.Update
	f := feed.Follower{Store: tab, Table: "t", Prefixes: []string{"t/0/"}, Wait: 5 * time.Millisecond, OnUpdate: func(u feed.Update) {
		mu.Lock()
		defer mu.Unlock()
		updates = append(updates, u)
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.Run(ctx) })
	defer func() { cancel(); _ = g.Wait() }()
	resets := func() (n int, last uint64) {
		mu.Lock()
		defer mu.Unlock()
		for _, u := range updates {
			if u.Reset {
				n, last = n+1, u.Version
			}
		}
		return n, last
	}
	await := func(what string, ok func() bool) {
		t.Helper()
		for deadline := time.Now().Add(3 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("no update within 3 s: %s", what)
			}
		}
	}
	await("the table", func() bool { n, _ := resets(); return n == 1 })
	tab.set(func() {
		tab.old, tab.oldAt = tab.rows[:1], 1
		tab.version++
		tab.droppedTo, tab.history = tab.version, nil
	})
	await("the failed read", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return errors.Is(updates[len(updates)-1].Err, platform.ErrUnavailable)
	})
	time.Sleep(300 * time.Millisecond)
	if n, last := resets(); n != 1 {
		t.Fatalf("%d full reads delivered, the last at version %d; want 1", n, last)
	}
	tab.set(func() { tab.oldAt = 0 })
	await("the current table", func() bool { n, last := resets(); return n == 2 && last == tab.version })
}
