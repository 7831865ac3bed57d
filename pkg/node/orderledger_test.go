package node_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/node"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 2000) }

// Holders of the orders lease enter engines in the ledger, order them, may be lost at
// any moment and follow each other. No engine may be ordered by two holders within the
// time in which holders must not alternate, and a holder must not wait for an engine
// that nobody ordered recently.
func TestHoldersDoNotAlternate(t *testing.T) {
	const minHolderInterval = 3 * time.Second
	engines := []string{"e1", "e2", "e3"}
	type order struct {
		holder int
		at     time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		holder, ledger := 1, node.NewOrderLedger()
		row := json.RawMessage(nil) // data of the row of the lease
		entered := map[string]bool{}
		last := map[string]order{}
		pending := map[string]bool{}
		recentUntil := map[string]time.Time{}    // until when an engine may be in the ledger without an order that is about to be sent
		inheritedUntil := map[string]time.Time{} // until when the holder must wait for an engine; zero for those not inherited
		write := func() {
			ids := ledger.Entries(now)
			for _, id := range ids {
				if !pending[id] && !now.Before(recentUntil[id]) {
					t.Fatalf("ledger holds %s, which nobody has ordered or inherited recently", id)
				}
			}
			data, err := json.Marshal(ids)
			if err != nil {
				t.Fatal(err)
			}
			row = data
			clear(entered)
			for _, id := range ids {
				entered[id] = true
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"begin": func(t *rapid.T) {
				id := rapid.SampledFrom(engines).Draw(t, "engine")
				if !pending[id] && ledger.MayOrder(id, now) {
					ledger.Begin(id)
					pending[id] = true
				}
			},
			"write": func(*rapid.T) { write() },
			"send": func(t *rapid.T) {
				id := rapid.SampledFrom(engines).Draw(t, "engine")
				if !pending[id] || !entered[id] {
					return // not in the row yet
				}
				if before, ok := last[id]; ok && before.holder != holder && now.Sub(before.at) < minHolderInterval {
					t.Fatalf("%s ordered by holder %d %v after it was ordered by holder %d", id, holder, now.Sub(before.at), before.holder)
				}
				last[id] = order{holder, now}
				ledger.End(id, now.Add(minHolderInterval))
				recentUntil[id] = now.Add(minHolderInterval)
				delete(pending, id)
			},
			"lost": func(t *rapid.T) {
				now = now.Add(1500 * time.Millisecond) // until its lease has expired
				holder, ledger = holder+1, node.NewOrderLedger()
				if err := ledger.Inherit(row, now.Add(minHolderInterval)); err != nil {
					t.Fatal(err)
				}
				clear(inheritedUntil)
				for id := range entered { // the engines in the row
					inheritedUntil[id] = now.Add(minHolderInterval)
					recentUntil[id] = inheritedUntil[id]
				}
				clear(pending)
			},
			"": func(t *rapid.T) {
				for _, id := range engines {
					if got, want := ledger.MayOrder(id, now), !now.Before(inheritedUntil[id]); got != want {
						t.Fatalf("MayOrder(%s) = %v, want %v: the holder inherited it until %v, now %v", id, got, want, inheritedUntil[id], now)
					}
				}
			},
		})
	})
}

// A new holder must not order the engines in the inherited ledger until their time has
// passed, even if another holder is lost in between. It may order all other engines.
func TestLedgerIsInherited(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	first := node.NewOrderLedger()
	first.Begin("e1")
	first.Begin("e2")
	first.End("e2", now.Add(time.Second))
	if got := fmt.Sprint(first.Entries(now.Add(2 * time.Second))); got != "[e1]" {
		t.Fatalf("Entries = %s, want [e1], whose order is about to be sent", got)
	}
	second := node.NewOrderLedger()
	if err := second.Inherit(json.RawMessage(`["e1"]`), now.Add(3*time.Second)); err != nil {
		t.Fatal(err)
	}
	if second.MayOrder("e1", now.Add(2*time.Second)) || !second.MayOrder("e1", now.Add(3*time.Second)) || !second.MayOrder("e2", now) {
		t.Error("MayOrder is wrong: want false for e1 within 3 s and true afterwards, and true for e2")
	}
	if got := fmt.Sprint(second.Entries(now.Add(2 * time.Second))); got != "[e1]" {
		t.Errorf("Entries of the second holder = %s, want [e1], which it inherited", got)
	}
	if err := second.Inherit(json.RawMessage(`{`), now); err == nil {
		t.Error("Inherit of malformed data = nil, want an error")
	}
}

// Guards against engines that are ordered twice because the ledger of their last holder
// cannot be read: until its time has passed, neither the next holder nor the one after it
// may order any engine, and afterwards all may be ordered.
func TestMalformedLedgerBlocksAllEngines(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	const interval = 3 * time.Second
	for _, c := range []struct {
		data   string
		blocks bool
	}{
		{`{`, true}, {`["e1"`, true}, {`{}`, true}, {`{"e1":1}`, true}, {`"unreadable"`, true}, {`[1]`, true}, {`["e1",null]`, true}, {`7`, true},
		{``, false}, {`null`, false}, {`[]`, false},
	} {
		first := node.NewOrderLedger()
		if err := first.Inherit(json.RawMessage(c.data), now.Add(interval)); (err != nil) != c.blocks {
			t.Errorf("Inherit(%q) = %v, want an error: %v", c.data, err, c.blocks)
		}
		if first.MayOrder("e2", now.Add(interval-1)) == c.blocks || !first.MayOrder("e2", now.Add(interval)) {
			t.Errorf("ledger %q: MayOrder is wrong: want %v before the time has passed and true afterwards", c.data, !c.blocks)
		}
		row, err := first.Encode(now.Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		second := node.NewOrderLedger()
		if err := second.Inherit(row, now.Add(time.Second+interval)); (err != nil) != c.blocks {
			t.Errorf("ledger %q: second holder inherits %q with error %v, want an error: %v", c.data, row, err, c.blocks)
		}
		if second.MayOrder("e2", now.Add(time.Second+interval-1)) == c.blocks {
			t.Errorf("ledger %q: second holder may order: %v, want %v", c.data, c.blocks, !c.blocks)
		}
		if row, err := first.Encode(now.Add(interval)); err != nil || node.NewOrderLedger().Inherit(row, now) != nil {
			t.Errorf("ledger %q: encoded as %q, %v after the time has passed, want a ledger", c.data, row, err)
		}
	}
}
