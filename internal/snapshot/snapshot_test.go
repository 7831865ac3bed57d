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

// changingStore is a store in memory that calls change before each read.
type changingStore struct {
	rows    map[string]platform.Row
	history []platform.Change
	states  map[uint64]map[string]platform.Row // all rows by version of the store
	version uint64
	change  func(s *changingStore)
}

func (s *changingStore) put(key string) {
	s.version++
	s.rows[key] = platform.Row{Key: key, Version: s.version, Value: []byte(fmt.Sprint(s.version))}
	s.record(platform.Change{Row: s.rows[key]})
}

func (s *changingStore) remove(key string) {
	s.version++
	delete(s.rows, key)
	s.record(platform.Change{Row: platform.Row{Key: key, Version: s.version}, Deleted: true})
}

func (s *changingStore) record(c platform.Change) {
	s.history = append(s.history, c)
	s.states[s.version] = maps.Clone(s.rows)
}

func (s *changingStore) ScanFrom(_ context.Context, prefix, from string, limit int) (platform.Page, error) {
	s.change(s)
	page := platform.Page{Version: s.version}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if !strings.HasPrefix(key, prefix) || key < from {
			continue
		}
		if len(page.Rows) == min(limit, 3) { // a store may return fewer rows than the limit
			page.More = true
			break
		}
		page.Rows = append(page.Rows, s.rows[key])
	}
	return page, nil
}

func (s *changingStore) Changes(_ context.Context, table string, after uint64, _ time.Duration) (platform.Changes, error) {
	s.change(s)
	ch := platform.Changes{Version: s.version}
	for _, c := range s.history {
		if c.Version > after && strings.HasPrefix(c.Key, table+"/") {
			ch.Rows = append(ch.Rows, c)
		}
	}
	return ch, nil
}

func (s *changingStore) GetObject(context.Context, string) ([]byte, error) {
	return nil, platform.ErrNotFound
}

// A snapshot taken while rows change has the store's rows as of the snapshot's
// version. Its file reads back equal; a truncated file is an error, unless only the last
// newline is missing.
func TestSnapshotIsOfOneVersion(t *testing.T) {
	tables := []snapshot.Table{{Name: "a", Prefixes: []string{"a/0/", "a/1/"}}, {Name: "b", Prefixes: []string{"b//"}}}
	keys := []string{"a/0/x", "a/0/y", "a/0/z", "a/0/w", "a/1/x", "a/1/y", "b//x", "b//y", "b//z"}
	rapid.Check(t, func(t *rapid.T) {
		s := &changingStore{rows: map[string]platform.Row{}, states: map[uint64]map[string]platform.Row{}}
		s.change = func(s *changingStore) {
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
			t.Fatalf("snapshot of version %d has rows %v, want %v", snap.Version, got, want)
		}
		var file bytes.Buffer
		if err := snap.Write(&file); err != nil {
			t.Fatal(err)
		}
		whole := file.String()
		back, err := snapshot.Read(strings.NewReader(whole))
		if err != nil || !reflect.DeepEqual(back, snap) {
			t.Fatalf("Read = %+v, %v, want %+v", back, err, snap)
		}
		cut := whole[:rapid.IntRange(0, len(whole)-2).Draw(t, "cut")]
		if _, err := snapshot.Read(strings.NewReader(cut)); !errors.Is(err, snapshot.ErrFormat) {
			t.Fatalf("Read returned %v for a file truncated to %d of %d bytes, want ErrFormat", err, len(cut), len(whole))
		}
	})
}
