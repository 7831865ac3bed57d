package snapshot_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/internal/snapshot"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 200) }

// busyStore is a store whose rows change between the calls of its reader.
type busyStore struct {
	rows    map[string]platform.Row
	history []platform.Change
	states  map[uint64]map[string]platform.Row // by version
	version uint64
	change  func(s *busyStore)
}

func (s *busyStore) put(key string) {
	s.version++
	s.rows[key] = platform.Row{Key: key, Version: s.version, Value: []byte(fmt.Sprint(s.version))}
	s.wrote(platform.Change{Row: s.rows[key]})
}

func (s *busyStore) remove(key string) {
	s.version++
	delete(s.rows, key)
	s.wrote(platform.Change{Row: platform.Row{Key: key, Version: s.version}, Deleted: true})
}

func (s *busyStore) wrote(c platform.Change) {
	s.history = append(s.history, c)
	s.states[s.version] = maps.Clone(s.rows)
}

func (s *busyStore) ScanFrom(_ context.Context, prefix, from string, limit int) (platform.Page, error) {
	s.change(s)
	page := platform.Page{Version: s.version}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if !strings.HasPrefix(key, prefix) || key < from {
			continue
		}
		if len(page.Rows) == min(limit, 3) { // a store may answer fewer than asked for
			page.More = true
			break
		}
		page.Rows = append(page.Rows, s.rows[key])
	}
	return page, nil
}

func (s *busyStore) Changes(_ context.Context, table string, after uint64, _ time.Duration) (platform.Changes, error) {
	s.change(s)
	ch := platform.Changes{Version: s.version}
	for _, c := range s.history {
		if c.Version > after && strings.HasPrefix(c.Key, table+"/") {
			ch.Rows = append(ch.Rows, c)
		}
	}
	return ch, nil
}

func (s *busyStore) GetObject(context.Context, string) ([]byte, error) {
	return nil, platform.ErrNotFound
}

// Whatever changes while it is taken, a snapshot holds what the store held at its
// version, and a file of it reads back the same.
func TestSnapshotIsOfOneVersion(t *testing.T) {
	tables := []snapshot.Table{{Name: "a", Prefixes: []string{"a/0/", "a/1/"}}, {Name: "b", Prefixes: []string{"b//"}}}
	keys := []string{"a/0/x", "a/0/y", "a/0/z", "a/0/w", "a/1/x", "a/1/y", "b//x", "b//y", "b//z"}
	rapid.Check(t, func(t *rapid.T) {
		s := &busyStore{rows: map[string]platform.Row{}, states: map[uint64]map[string]platform.Row{}}
		s.change = func(s *busyStore) {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				if _, there := s.rows[key]; there && rapid.Bool().Draw(t, "remove") {
					s.remove(key)
				} else {
					s.put(key)
				}
			}
		}
		for _, key := range keys {
			s.put(key)
		}
		snap, err := snapshot.Take(context.Background(), s, tables, true, time.Unix(1_800_000_000, 0).UTC())
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]platform.Row{}
		for _, r := range snap.Rows {
			got[r.Key] = platform.Row{Key: r.Key, Version: r.Version, Value: r.Value}
		}
		if want := s.states[snap.Version]; !reflect.DeepEqual(got, want) {
			t.Fatalf("snapshot of version %d holds %v, the store held %v", snap.Version, got, want)
		}
		var file bytes.Buffer
		if err := snap.Write(&file); err != nil {
			t.Fatal(err)
		}
		whole := file.String()
		back, err := snapshot.Read(strings.NewReader(whole))
		if err != nil || !reflect.DeepEqual(back, snap) {
			t.Fatalf("read back %+v, %v, want %+v", back, err, snap)
		}
		cut := whole[:rapid.IntRange(0, len(whole)-2).Draw(t, "cut")]
		if _, err := snapshot.Read(strings.NewReader(cut)); !errors.Is(err, snapshot.ErrFormat) {
			t.Fatalf("error %v of a file cut to %d of %d bytes", err, len(cut), len(whole))
		}
	})
}
