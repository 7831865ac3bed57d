package watch

import (
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

// Table is the table of the relays' rows, one for each slot of a data centre.
const Table = "relays"

// Prefix returns the prefix of the relays' keys.
func Prefix() string { return Table + "//" }

// Key returns the key of a slot of a data centre.
func Key(dataCentre string, slot int) string {
	return Prefix() + dataCentre + "/" + strconv.Itoa(slot)
}

// Relay is an instance that others follow tables through.
type Relay struct {
	StartID    string `json:"start"` // identifies the start of the instance
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`

	Slot    int    `json:"-"` // of the data centre
	version uint64 // of its row
}

// directory is which relays there are. It is not safe for concurrent use.
type directory struct {
	relays map[string]Relay // by key
}

// apply takes rows of the table.
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

// Decode returns the relay that has the slot of a row.
func Decode(row platform.Row) (Relay, error) {
	_, slot, ok := strings.Cut(strings.TrimPrefix(row.Key, Prefix()), "/")
	n, err := strconv.Atoi(slot)
	if !ok || err != nil {
		return Relay{}, fmt.Errorf("watch: %s: not a slot", row.Key)
	}
	r := Relay{Slot: n, version: row.Version}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Relay{}, fmt.Errorf("watch: %s: %w", row.Key, err)
	}
	return r, nil
}

// set takes the relays there are.
func (d *directory) set(relays []Relay) {
	d.relays = make(map[string]Relay, len(relays))
	for _, r := range relays {
		d.relays[Key(r.DataCentre, r.Slot)] = r
	}
}

// take takes a relay for the one that has a key.
func (d *directory) take(key string, r Relay) {
	if d.relays == nil {
		d.relays = map[string]Relay{}
	}
	d.relays[key] = r
}

// all returns the relays there are, in no order.
func (d *directory) all() []Relay { return slices.Collect(maps.Values(d.relays)) }

// of returns the relay that has a key, if there is one.
func (d *directory) of(key string) (Relay, bool) {
	r, ok := d.relays[key]
	return r, ok
}

// nearest returns the relays to try, those of the own data centre first, else in the
// order of draw, which is asked once for each. The one with the start given is left out.
func (d *directory) nearest(dataCentre, start string, draw func() float64) []Relay {
	type placed struct {
		Relay
		at float64
	}
	var all []placed
	for _, r := range d.relays {
		if r.StartID == start {
			continue
		}
		p := placed{r, draw()}
		if r.DataCentre != dataCentre {
			p.at++
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b placed) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	out := make([]Relay, len(all))
	for i, p := range all {
		out[i] = p.Relay
	}
	return out
}

// wanted is how many relays with room for others a data centre is to have, so that one
// of them may be lost.
const wanted = 2

// vacancy is a slot that an instance may take.
type vacancy struct {
	key     string
	version uint64 // of its row; 0 if it has none
}

// condition is how an instance has found a relay.
type condition int

const (
	useful condition = iota
	full             // it has no room
	gone             // it relays no more
)

// vacant returns a slot of a data centre that is to be taken, the lowest that is free:
// none if there are relays of use enough.
//
// It answers three loads. A site has become large: slots are taken one after the other
// until two relays have room. A relay is lost: its slot is taken. Instances come back by
// the hundred and relays are full: each slot that is taken draws some of them.
func (d *directory) vacant(dataCentre string, of func(Relay) condition) (vacancy, bool) {
	var free *vacancy
	found := 0
	// Of one slot more than there are relays one at least is free.
	for slot := range len(d.relays) + 1 {
		key := Key(dataCentre, slot)
		r, taken := d.relays[key]
		switch {
		case taken && of(r) == useful:
			found++
		case taken && of(r) == full:
		case free == nil:
			free = &vacancy{key: key, version: r.version}
		}
	}
	if found >= wanted || free == nil {
		return vacancy{}, false
	}
	return *free, true
}

// claimAt returns when an instance may take a slot that it has found free at now: larger
// ones before smaller ones, and each at a time of its own.
func claimAt(now time.Time, cores, draw float64) time.Time {
	return now.Add(time.Duration((1 + draw) * float64(claimDelay) / max(cores, minCores)))
}

// minCores stands for sizes that are not told.
const minCores = 0.05
