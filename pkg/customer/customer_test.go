package customer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/customer"
	"github.com/zinnialadder/zinnialadder/pkg/option"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 60) }

func entry(name string, keys ...string) customer.Entry {
	e := customer.Entry{Customer: customer.Customer{Name: name}}
	for _, k := range keys {
		e.Keys = append(e.Keys, customer.DigestOf(k))
	}
	return e
}

// A key finds the customer that has it in that version of the index, whatever other
// versions say of it; other strings find no customer.
func TestFind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var versions []*customer.Index
		var owners []map[string]string // key → customer name, by version of the index
		for range rapid.IntRange(1, 5).Draw(t, "versions") {
			owner, keys := map[string]string{}, map[string][]string{}
			for k := range 12 {
				if c := rapid.IntRange(-1, 4).Draw(t, "owner"); c >= 0 {
					key, name := fmt.Sprintf("key%d", k), fmt.Sprintf("c%d", c)
					owner[key], keys[name] = name, append(keys[name], key)
				}
			}
			var entries []customer.Entry
			for name, ks := range keys {
				entries = append(entries, entry(name, ks...))
			}
			x, err := customer.NewIndex(entries)
			if err != nil {
				t.Fatal(err)
			}
			versions, owners = append(versions, x), append(owners, owner)
		}
		for i, x := range versions {
			for k := range 12 {
				key := fmt.Sprintf("key%d", k)
				got, ok := x.FindByKey(key)
				if want, has := owners[i][key]; ok != has || got.Name != want {
					t.Fatalf("version %d: customer of key %s = %q, want %q", i, key, got.Name, want)
				}
			}
			for _, other := range []string{"", "c0", "key", "key1 "} {
				if c, ok := x.FindByKey(other); ok {
					t.Fatalf("%q found customer %s, want none", other, c.Name)
				}
			}
		}
	})
}

func TestNewIndexRejectsInvalidEntries(t *testing.T) {
	for name, entries := range map[string][]customer.Entry{
		"no name":                          {entry("", "k")},
		"duplicate name":                   {entry("a", "k"), entry("a", "l")},
		"duplicate key":                    {entry("a", "k"), entry("b", "k")},
		"one duplicate among several keys": {entry("a", "k", "l"), entry("b", "m", "l")},
	} {
		if _, err := customer.NewIndex(entries); err == nil {
			t.Errorf("%s: NewIndex returned no error", name)
		}
	}
	if _, err := customer.NewIndex([]customer.Entry{entry("a", "k", "k")}); err != nil {
		t.Errorf("customer with one key twice: error %v, want none", err)
	}
}

// Neither a nil Index nor one without entries finds a customer.
func TestIndexWithoutCustomers(t *testing.T) {
	empty, err := customer.NewIndex(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []*customer.Index{nil, empty} {
		if _, ok := x.FindByKey("k"); ok {
			t.Error("FindByKey found a customer, want none")
		}
		if _, ok := x.FindByName("a"); ok || x.Len() != 0 {
			t.Error("FindByName found a customer or Len is not 0, want none")
		}
	}
}

func TestCompare(t *testing.T) {
	before, err := customer.NewIndex([]customer.Entry{entry("gone", "g"), entry("kept", "k", "l"), entry("rotated", "r"), entry("more", "m")})
	if err != nil {
		t.Fatal(err)
	}
	reprioritized := entry("kept", "l", "k")
	reprioritized.Priority = option.Some(0)
	after, err := customer.NewIndex([]customer.Entry{reprioritized, entry("rotated", "s"), entry("more", "m", "n"), entry("new", "x")})
	if err != nil {
		t.Fatal(err)
	}
	d := after.Compare(before)
	if !slices.Equal(d.Added, []string{"new"}) || !slices.Equal(d.Removed, []string{"gone"}) || !slices.Equal(d.KeysChanged, []string{"more", "rotated"}) {
		t.Errorf("Compare = %+v, want added new, removed gone, keys changed more and rotated", d)
	}
	if d := after.Compare(after); !d.Empty() {
		t.Errorf("Compare with itself = %+v, want no difference", d)
	}
	if d := before.Compare(nil); len(d.Added) != 4 {
		t.Errorf("Compare with nil = %+v, want 4 added", d)
	}
	if c, _ := after.FindByName("kept"); c.Priority.Or(7) != 0 {
		t.Errorf("priority = %d, want 0", c.Priority.Or(7))
	}
}

// Formatting a digest, also inside an entry, must not reveal it in logs.
func TestDigestIsHidden(t *testing.T) {
	d := customer.DigestOf("k")
	for _, s := range []string{fmt.Sprint(d), fmt.Sprintf("%v %s", entry("a", "k"), d)} {
		if strings.Contains(s, fmt.Sprintf("%x", d[:4])) || strings.Contains(s, fmt.Sprint(d[0], " ", d[1])) {
			t.Errorf("formatted digest reveals the digest: %s", s)
		}
	}
}

// maxFindNanos bounds the time of a key look-up, in nanoseconds: a hundredth of the
// processor time that an instance spends on a request.
const maxFindNanos = 20_000

func BenchmarkFind(b *testing.B) {
	entries := make([]customer.Entry, 10_000)
	for i := range entries {
		entries[i] = entry(fmt.Sprintf("c%d", i), fmt.Sprintf("key%d", i))
	}
	x, err := customer.NewIndex(entries)
	if err != nil {
		b.Fatal(err)
	}
	n := 0
	for b.Loop() {
		n++
		if _, ok := x.FindByKey(entries[n%len(entries)].Name); ok {
			b.Fatal("a customer's name was accepted as a key")
		}
	}
	if each := float64(b.Elapsed().Nanoseconds()) / float64(b.N); b.N > 100 && each > maxFindNanos {
		b.Errorf("%.0f ns per look-up, want at most %d", each, maxFindNanos)
	}
}
