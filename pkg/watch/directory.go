package watch

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Table is the name of the store table that lists the relays: one row per slot of a data
// centre.
const Table = "relays"

// Prefix returns the prefix of the keys of Table.
func Prefix() string { return Table + "//" }

// Key returns the key of the row of slot in dataCentre.
func Key(dataCentre string, slot int) string {
	return Prefix() + dataCentre + "/" + strconv.Itoa(slot)
}

// Relay is an instance through which others follow tables.
type Relay struct {
	StartID    string `json:"start"` // ID of one start of the instance
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`

	Slot    int    `json:"-"` // slot number in the data centre
	version uint64 // version of its row
}

// directory is the set of known relays. It is not safe for concurrent use.
type directory struct {
	relays map[string]Relay // by key
}

// apply applies changes of Table; with reset set, they are the whole table. It returns an
// error that joins those of malformed rows, and leaves these out.
func (d *directory) apply(changes []platform.Change, reset bool) error {
	if reset || d.relays == nil {
		d.relays = map[string]Relay{}
	}
	var errs []error
	for _, ch := range changes {
		if ch.Deleted {
			delete(d.relays, ch.Key)
			continue
		}
		r, err := Decode(ch.Row)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		d.relays[ch.Key] = r
	}
	return errors.Join(errs...)
}

// Decode returns the relay described by a row of Table. It fails if the key does not end
// in a slot number or the value is malformed.
func Decode(row platform.Row) (Relay, error) {
	_, slot, ok := strings.Cut(strings.TrimPrefix(row.Key, Prefix()), "/")
	n, err := strconv.Atoi(slot)
	if !ok || err != nil {
		return Relay{}, fmt.Errorf("watch: relay row %s: key does not end in a slot number", row.Key)
	}
	r := Relay{Slot: n, version: row.Version}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Relay{}, fmt.Errorf("watch: relay row %s: %w", row.Key, err)
	}
	return r, nil
}

// replace makes relays the content of d.
func (d *directory) replace(relays []Relay) {
	d.relays = make(map[string]Relay, len(relays))
	for _, r := range relays {
		d.relays[Key(r.DataCentre, r.Slot)] = r
	}
}

// put records r as the relay in the slot with the given key.
func (d *directory) put(key string, r Relay) {
	if d.relays == nil {
		d.relays = map[string]Relay{}
	}
	d.relays[key] = r
}

// all returns the known relays, in no order.
func (d *directory) all() []Relay { return slices.Collect(maps.Values(d.relays)) }

// get returns the relay in the slot with the given key, if there is one.
func (d *directory) get(key string) (Relay, bool) {
	r, ok := d.relays[key]
	return r, ok
}

// nearest returns the relays in the order in which to try them: those of dataCentre
// first, and within each group in random order. random returns a number in [0, 1) and is
// called once per relay, in order of key, so that equal numbers give the same order. The
// relay whose start ID is start is left out.
func (d *directory) nearest(dataCentre, start string, random func() float64) []Relay {
	type ranked struct {
		Relay
		rank float64
	}
	var all []ranked
	for _, key := range slices.Sorted(maps.Keys(d.relays)) {
		r := d.relays[key]
		if r.StartID == start {
			continue
		}
		rr := ranked{r, random()}
		if r.DataCentre != dataCentre {
			rr.rank++
		}
		all = append(all, rr)
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]Relay, len(all))
	for i, rr := range all {
		out[i] = rr.Relay
	}
	return out
}

// minUsable is how many relays with room for more watchers a data centre should have, so
// that one of them may fail.
const minUsable = 2

// freeSlot is a slot that an instance may claim.
type freeSlot struct {
	key     string
	version uint64 // version of its row; 0 if there is no row
}

// relayState is the state in which an instance last found a relay.
type relayState int

const (
	usable relayState = iota
	full              // it has no room for another watcher
	gone              // it no longer acts as a relay
	silent            // it did not answer in time
)

// findFreeSlot returns the lowest slot of dataCentre that an instance may claim. It
// reports false if there are enough usable relays already.
//
// It covers three situations. When a site grows, slots are claimed one after the other
// until two relays have room. When a relay fails, its slot is claimed. When hundreds of
// instances reconnect and the relays are full, each slot that is claimed takes over some
// of them.
func (d *directory) findFreeSlot(dataCentre string, state func(Relay) relayState) (freeSlot, bool) {
	var free *freeSlot
	found := 0
	// Among len(d.relays)+1 slots, at least one is free.
	for slot := range len(d.relays) + 1 {
		key := Key(dataCentre, slot)
		r, taken := d.relays[key]
		switch {
		case taken && state(r) == usable:
			found++
		case taken && state(r) == full:
		case free == nil:
			free = &freeSlot{key: key, version: r.version}
		}
	}
	if found >= minUsable || free == nil {
		return freeSlot{}, false
	}
	return *free, true
}

// claimAt returns when an instance with the given number of cores may claim a slot that
// it has found free at now. Larger instances claim earlier than smaller ones, and random,
// in [0, 1), spreads the claims of equal ones.
func claimAt(now time.Time, cores, random float64) time.Time {
	return now.Add(time.Duration((1 + random) * float64(claimDelay) / max(cores, minCores)))
}

// minCores is the smallest size that claimAt counts with; it also stands for an unknown
// size.
const minCores = 0.05
