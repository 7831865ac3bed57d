package entry

import (
	"fmt"
	"net/http"

	"github.com/zinnialadder/zinnialadder/pkg/admission"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// classShare is the fraction of an instance's request slots that requests of a class may
// use, counting the requests of all classes. Under load, training requests are rejected
// first and interactive ones last.
var classShare = map[catalogue.Class]float64{
	catalogue.Training:    0.6,
	catalogue.Background:  0.8,
	catalogue.Interactive: 1,
}

// admit looks up the catalogue entry of the request and reserves a slot for it. If admit
// succeeds, the caller must call release.
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

// entryKeyPrefix precedes an entry's name in the key that counts the entry's requests in
// flight.
const entryKeyPrefix = "entry:"

// admitEntry reserves a slot for a request of e under the limits of e, of its customer and
// of its class. The slot is freed by release. If a limit is reached, the error is NotRun
// with status 429.
func (in *Instance) admitEntry(e catalogue.Entry) (release func(), err error) {
	limits := []admission.KeyLimit{
		{Key: entryKeyPrefix + e.Name, Limit: e.Limits.MaxInFlight},
		{Key: "customer:" + e.Owner, Limit: in.View().Customers[e.Owner].MaxInFlight},
		{Key: "instance", Limit: int(classShare[e.Class] * float64(in.cfg.MaxInFlight))},
	}
	if i := in.load.AcquireAll(limits); i >= 0 {
		what := [...]string{"entry " + e.Name, "customer " + e.Owner, "this instance, for class " + string(e.Class) + ","}[i]
		in.stats.refusedAdmission.Inc(1)
		return nil, verdict.Refuse(http.StatusTooManyRequests, in.defaultRetryAt(),
			fmt.Errorf("%s is at its limit of %d requests in flight", what, limits[i].Limit))
	}
	return func() { in.load.ReleaseAll(limits) }, nil
}
