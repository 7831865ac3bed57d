package entry

import (
	"fmt"
	"net/http"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// classShare is the part of an instance's places that requests of a class
// may take, counting every class's: training is turned away first and
// callers on live calls last.
var classShare = map[catalogue.Class]float64{
	catalogue.Training:    0.6,
	catalogue.Background:  0.8,
	catalogue.Interactive: 1,
}

// admit finds the request's catalogue entry and takes a place for it. The
// caller must call release when admit succeeds.
func (in *Instance) admit(v *View, customer, name string) (catalogue.Entry, func(), error) {
	if v.Draining {
		return catalogue.Entry{}, nil, verdict.Refuse(http.StatusServiceUnavailable, in.cfg.Clock.Now(), errDraining)
	}
	e, err := v.entryFor(customer, name)
	if err != nil {
		return catalogue.Entry{}, nil, err
	}
	release, err := in.admitEntry(e)
	return e, release, err
}

// entryPlace goes before an entry's name in the key of its places.
const entryPlace = "entry:"

// place is one of the limits a request must keep within.
type place struct {
	key   string // of the count in Instance.load
	limit int    // 0: none
	what  string // for the refusal
}

// admitEntry takes a place for a request of e under the limits of e, its
// customer and its class, to be given back with release.
func (in *Instance) admitEntry(e catalogue.Entry) (release func(), err error) {
	places := [...]place{
		{entryPlace + e.Name, e.Limits.MaxInFlight, "entry " + e.Name},
		{"customer:" + e.Owner, in.View().Customers[e.Owner].MaxInFlight, "customer " + e.Owner},
		{"instance", int(classShare[e.Class] * float64(in.cfg.MaxInFlight)), "this instance, for class " + string(e.Class) + ","},
	}
	for i, p := range places {
		if in.load.acquire(p.key, p.limit) {
			continue
		}
		for _, held := range places[:i] {
			in.load.release(held.key)
		}
		in.stats.refusedAdmission.Inc(1)
		return nil, verdict.Refuse(http.StatusTooManyRequests, in.comeBackAt(),
			fmt.Errorf("%s is at its limit of %d requests in flight", p.what, p.limit))
	}
	return func() {
		for _, p := range places {
			in.load.release(p.key)
		}
	}, nil
}
