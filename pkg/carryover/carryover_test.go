package carryover_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/zinnialadder/zinnialadder/pkg/carryover"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// A text with a version below the minimum, or with several or unknown versions where one
// is required, would become a result that its sender must not get.
func TestUsable(t *testing.T) {
	for _, tc := range []struct {
		versions   string
		minVersion uint64
		single     bool
		want       bool
	}{
		{"[3 4]", 3, false, true}, {"[3 4]", 4, false, false}, {"[3 4]", 3, true, false},
		{"[4]", 4, true, true}, {"[3]", 4, true, false},
		{"[]", 0, false, true}, {"[]", 1, false, false}, {"[]", 0, true, false},
	} {
		text := carryover.Text{Item: "i", Text: []string{"a"}, After: 1}
		for v := range uint64(9) {
			if strings.Contains(tc.versions, fmt.Sprint(v)) {
				text.Versions = append(text.Versions, v)
			}
		}
		if got := len(carryover.Usable([]carryover.Text{text}, tc.minVersion, tc.single)) == 1; got != tc.want {
			t.Errorf("versions %s, minimum %d, single %v: got usable %v, want %v", tc.versions, tc.minVersion, tc.single, got, tc.want)
		}
	}
}

// objects is an object store in memory, with an error for each call if err is set.
type objects struct {
	data map[string][]byte
	err  error
}

func (o objects) PutObject(_ context.Context, name string, data []byte) error {
	if o.err == nil {
		o.data[name] = data
	}
	return o.err
}

func (o objects) GetObject(_ context.Context, name string) ([]byte, error) {
	if data, ok := o.data[name]; ok || o.err != nil {
		return data, o.err
	}
	return nil, platform.ErrNotFound
}

func (o objects) DeleteObject(_ context.Context, name string) error {
	delete(o.data, name)
	return o.err
}

func record(model string, texts ...carryover.Text) carryover.Record {
	return carryover.Record{Key: carryover.Key{Model: model, Customer: "c"}, Submission: "l1", Items: []string{"i"}, Texts: texts}
}

func text(item string, events ...string) carryover.Text {
	return carryover.Text{Item: item, Request: "r", Text: events, After: len(events), Versions: []uint64{2, 3}}
}

// The next owner, which has nothing in memory, must read from the object what the lost
// one had, and no object that is malformed or of other submissions may be used.
func TestLoad(t *testing.T) {
	ctx := context.Background()
	stored := objects{data: map[string][]byte{}}
	lost, next := carryover.Store{Objects: stored, Limit: 1 << 20}, carryover.Store{Objects: stored, Limit: 1 << 20}
	rec := record("m", text("i", "a", "b"))
	lost.Put(rec)
	if ok, err := lost.Save(ctx, rec.Key, carryover.Requirements{MinVersion: 2}); !ok || err != nil {
		t.Fatalf("Save = %v, %v, want true", ok, err)
	}
	if _, ok := next.Get(rec.Key); ok {
		t.Fatal("got a record in the memory of an instance that stored none")
	}
	if got, err := next.Load(ctx, rec.Key); err != nil || fmt.Sprint(got) != fmt.Sprint(rec) {
		t.Fatalf("Load = %+v, %v, want %+v", got, err, rec)
	}
	if _, err := next.Load(ctx, carryover.Key{Model: "m", Customer: "d"}); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("Load of another customer: got error %v, want ErrNotFound", err)
	}
	name, good := rec.ObjectName(), string(stored.data[rec.ObjectName()])
	for what, data := range map[string]string{
		"cut": good[:len(good)/2], "another customer": strings.Replace(good, `"customer":"c"`, `"customer":"d"`, 1),
		"missing event": strings.Replace(good, `["a","b"]`, `["a"]`, 1), "versions": strings.Replace(good, "[2,3]", "[3,2]", 1),
		"no request": strings.Replace(good, `"request":"r"`, `"request":""`, 1), "no JSON": "\xff",
	} {
		stored.data[name] = []byte(data)
		if _, err := next.Load(ctx, rec.Key); data == good || !errors.Is(err, carryover.ErrMalformed) {
			t.Errorf("%s: got error %v for %s, want ErrMalformed", what, err, data)
		}
	}
}

// While the object store is unavailable, the record must stay in memory. A record without
// texts must not be stored.
func TestSaveFails(t *testing.T) {
	unavailable := errors.New("unavailable")
	s := carryover.Store{Objects: objects{err: unavailable}, Limit: 1 << 20}
	s.Put(record("m", text("i", "a")))
	if ok, err := s.Save(context.Background(), record("m").Key, carryover.Requirements{}); ok || !errors.Is(err, unavailable) {
		t.Fatalf("Save = %v, %v, want false and the store's error", ok, err)
	}
	if got, ok := s.Get(record("m").Key); !ok || len(got.Texts) != 1 {
		t.Fatalf("Get = %+v, %v, want the record", got, ok)
	}
	s.Put(record("n"))
	if ok, err := s.Save(context.Background(), record("n").Key, carryover.Requirements{}); ok || err != nil {
		t.Fatalf("Save without texts = %v, %v, want false", ok, err)
	}
}

// The memory must stay below the limit: the oldest records are evicted, and one that
// exceeds the limit by itself loses texts.
func TestMemoryLimit(t *testing.T) {
	s := carryover.Store{Limit: 5000}
	big := text("i", strings.Repeat("x", 2000))
	for _, model := range []string{"m0", "m1", "m2"} {
		s.Put(record(model, big))
	}
	for model, want := range map[string]bool{"m0": false, "m1": true, "m2": true} {
		if _, ok := s.Get(record(model).Key); ok != want {
			t.Errorf("%s: got record %v, want %v", model, ok, want)
		}
	}
	s.Put(record("m3", big, big, big))
	if got, _ := s.Get(record("m3").Key); len(got.Texts) != 2 {
		t.Errorf("got %d texts of a record that exceeds the limit, want 2", len(got.Texts))
	}
}

// A sender may submit a step while the one before is open. The texts of a step must then
// outlast the next one, complete or not, but no longer, and the newest text of an item
// must be used.
func TestOverlappingSubmissions(t *testing.T) {
	step := func(id, item, event string) carryover.Record {
		rec := record("m", text(item, event))
		rec.Submission, rec.Items = id, []string{item}
		return rec
	}
	s := carryover.Store{Limit: 1 << 20}
	check := func(items string, texts ...string) {
		t.Helper()
		rec, _ := s.Get(record("m").Key)
		var got []string
		for _, c := range rec.Texts {
			got = append(got, c.Item+c.Text[0])
		}
		if fmt.Sprint(got) != fmt.Sprint(texts) || strings.Join(rec.Items, "") != items {
			t.Errorf("got texts %v of items %v, want %v of %s", got, rec.Items, texts, items)
		}
	}
	s.Put(step("l1", "i", "1"))
	s.Complete(record("m").Key, []string{"j"})
	check("i", "i1")
	s.Put(step("l2", "j", "2"))
	check("ij", "i1", "j2")
	s.Put(step("l3", "i", "3"))
	check("ji", "j2", "i3")
	s.Complete(record("m").Key, []string{"i"})
	check("ji", "j2")
	s.Put(step("l4", "k", "4"))
	check("ik", "k4")
}

// Texts that no later submission can use must not be written to the store at each step.
func TestSaveStale(t *testing.T) {
	stored := objects{data: map[string][]byte{}}
	s := carryover.Store{Objects: stored, Limit: 1 << 20}
	newer := text("j", "b")
	newer.Versions = []uint64{3}
	s.Put(record("m", text("i", "a"), newer))
	for _, next := range []carryover.Requirements{{MinVersion: 4}, {MinVersion: 3, SingleVersion: true, Target: 4}} {
		if ok, err := s.Save(context.Background(), record("m").Key, next); ok || err != nil || len(stored.data) > 0 {
			t.Fatalf("Save without texts for %+v = %v, %v, with %d objects, want false and none", next, ok, err, len(stored.data))
		}
	}
	if ok, err := s.Save(context.Background(), record("m").Key, carryover.Requirements{MinVersion: 3, SingleVersion: true, Target: 3}); !ok || err != nil {
		t.Fatalf("Save = %v, %v, want true", ok, err)
	}
	if got, err := s.Load(context.Background(), record("m").Key); err != nil || len(got.Texts) != 1 || got.Texts[0].Item != "j" {
		t.Errorf("Load = %+v, %v, want the text of j only", got, err)
	}
	if got, _ := s.Get(record("m").Key); len(got.Texts) != 2 {
		t.Errorf("got %d texts in memory, want both", len(got.Texts))
	}
}
