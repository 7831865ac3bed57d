package catalogue_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 100) }

// entry returns a valid catalogue entry with the given in-flight limit.
func entry(limit int) catalogue.Entry {
	return catalogue.Entry{Name: "balance-lookup", Owner: "minho", Class: catalogue.Interactive, Pool: "desk-app",
		Limits: catalogue.Limits{MaxInFlight: limit, MaxTokens: 1}}
}

// Operators edit one entry concurrently. Each edit is accepted, or refused as a
// conflict that wrote nothing. The accepted ones must form an unbroken chain of audit
// records, and the stored entry must be the last one accepted.
func TestRacingOperatorsKeepOneHistory(t *testing.T) {
	srv := httptest.NewServer(platformtest.New().Handler())
	defer srv.Close()
	c := platform.NewClient(srv.URL, nil)
	round := 0
	rapid.Check(t, func(rt *rapid.T) {
		round++
		e := entry(1)
		e.Name = fmt.Sprintf("e%d", round)
		key := catalogue.EntryPrefix + e.Name
		operators := rapid.IntRange(2, 6).Draw(rt, "operators")
		edits := rapid.IntRange(1, 4).Draw(rt, "edits")
		var g errgroup.Group
		accepted := make([]int, operators)
		for op := 0; op < operators; op++ {
			g.Go(func() error {
				for i := 0; i < edits; i++ {
					// Each edit increments the limit that it read, so a lost update
					// shows in the final value.
					v, expect := e, uint64(0)
					v.Limits.MaxInFlight = 0
					if row, err := c.Get(context.Background(), key); err == nil {
						_ = json.Unmarshal(row.Value, &v)
						expect = row.Version
					}
					v.Limits.MaxInFlight++
					_, err := catalogue.Apply(context.Background(), c, catalogue.Edit{Key: key, ExpectVersion: expect,
						Value: v, Author: fmt.Sprint("op", op), At: time.Now()})
					switch {
					case err == nil:
						accepted[op]++
					case !errors.Is(err, catalogue.ErrConflict):
						return err
					}
				}
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			rt.Fatal(err)
		}
		total := 0
		for _, n := range accepted {
			total += n
		}
		checkChain(rt, c, key, total)
		row, _ := c.Get(context.Background(), key)
		var final catalogue.Entry
		_ = json.Unmarshal(row.Value, &final)
		if final.Limits.MaxInFlight != total {
			rt.Fatalf("limit = %d after %d accepted increments: an update was lost", final.Limits.MaxInFlight, total)
		}
	})
}

// checkChain checks the audit records of key against its stored row.
func checkChain(t *rapid.T, c *platform.Client, key string, accepted int) {
	rows, err := c.Scan(context.Background(), catalogue.AuditPrefix+key+"/")
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != accepted {
		t.Fatalf("%d audit records, want %d, one for each accepted edit", len(rows), accepted)
	}
	prev := ""
	for i, r := range rows {
		var ch catalogue.Change
		if err := json.Unmarshal(r.Value, &ch); err != nil {
			t.Fatal(err)
		}
		if ch.Generation != uint64(i+1) || ch.Before != prev {
			t.Fatalf("record %d: generation, before = %d, %q; want %d, %q", i, ch.Generation, ch.Before, i+1, prev)
		}
		prev = ch.After
	}
	row, err := c.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	if string(row.Value) != prev {
		t.Fatalf("stored value = %s, want the last accepted, %s", row.Value, prev)
	}
}

// A pool can be removed only when no entry uses it, also if an entry is added during
// the removal. A removed item stays removed until it is added again.
func TestRemoveRefusesAPoolInUse(t *testing.T) {
	srv := httptest.NewServer(platformtest.New().Handler())
	defer srv.Close()
	c, ctx := platform.NewClient(srv.URL, nil), context.Background()
	pool := catalogue.Pool{Name: "desk-app", Kind: catalogue.Services}
	f := catalogue.File{Pools: []catalogue.Pool{pool}, Entries: []catalogue.Entry{entry(1)}}
	if _, err := catalogue.Sync(ctx, c, f, "ana", time.Now()); err != nil {
		t.Fatal(err)
	}
	remove := func(key string) error { return catalogue.Remove(ctx, c, key, "rui", time.Now()) }
	if err := remove(catalogue.PoolPrefix + "desk-app"); !errors.Is(err, catalogue.ErrInUse) {
		t.Fatalf("removing a pool in use: %v, want ErrInUse", err)
	}
	if err := remove(catalogue.EntryPrefix + "balance-lookup"); err != nil {
		t.Fatal(err)
	}
	if err := remove(catalogue.PoolPrefix + "desk-app"); err != nil {
		t.Fatalf("removing the pool once unused: %v", err)
	}
	if err := remove(catalogue.PoolPrefix + "desk-app"); err == nil {
		t.Fatal("removing a removed pool returned no error")
	}
	changes, err := catalogue.Audit(ctx, c, "")
	if err != nil || len(changes) != 4 {
		t.Fatalf("Audit returned %d changes and error %v, want 4", len(changes), err)
	}
	if _, err := catalogue.Sync(ctx, c, f, "ana", time.Now()); err != nil {
		t.Fatalf("Sync after the removal: %v", err)
	}
	snap, err := catalogue.Read(ctx, c)
	if err != nil || snap.Entries["balance-lookup"].Removed || snap.Pools["desk-app"].Removed {
		t.Fatalf("items still removed after Sync: %+v, error %v", snap, err)
	}
}

// A change whose response is lost after it was applied must be reported as accepted.
func TestChangeWithLostReplyIsConfirmed(t *testing.T) {
	p := platformtest.New()
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	c := platform.NewClient(srv.URL, nil)
	p.SetFaults(platformtest.Faults{LoseReplies: 1, LosePrefix: catalogue.EntryPrefix})
	e := entry(1)
	row, err := catalogue.Apply(context.Background(), c, catalogue.Edit{Key: catalogue.EntryPrefix + e.Name, Value: e, Author: "ana", At: time.Now()})
	if err != nil || row.Version == 0 {
		t.Fatalf("Apply returned error %v and row %+v, want no error and a row version", err, row)
	}
}
