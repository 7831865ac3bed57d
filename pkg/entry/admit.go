package entry

import (
	"fmt"
	"net/http"

	"github.com/zinnialadder/zinnialadder/pkg/admission"
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
	e, err := v.EntryFor(customer, name)
	if err != nil {
		return catalogue.Entry{}, nil, err
	}
	release, err := in.admitEntry(e)
	return e, release, err
}

// entryPlace goes before an entry's name in the key of its places.
const entryPlace = "entry:"

// admitEntry takes a place for a request of e under the limits of e, its
// customer and its class, to be given back with release.
func (in *Instance) admitEntry(e catalogue.Entry) (release func(), err error) {
	places := []admission.KeyLimit{
		{Key: entryPlace + e.Name, Limit: e.Limits.MaxInFlight},
		{Key: "customer:" + e.Owner, Limit: in.View().Customers[e.Owner].MaxInFlight},
		{Key: "instance", Limit: int(classShare[e.Class] * float64(in.cfg.MaxInFlight))},
	}
	if i := in.load.AcquireAll(places); i >= 0 {
		what := [...]string{"entry " + e.Name, "customer " + e.Owner, "this instance, for class " + string(e.Class) + ","}[i]
		in.stats.refusedAdmission.Inc(1)
		return nil, verdict.Refuse(http.StatusTooManyRequests, in.comeBackAt(),
			fmt.Errorf("%s is at its limit of %d requests in flight", what, places[i].Limit))
	}
	return func() { in.load.ReleaseAll(places) }, nil
}
