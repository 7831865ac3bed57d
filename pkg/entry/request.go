package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
)

// request is the body of a caller's request to a catalogue entry.
type request interface {
	check() error                     // a NotRun error that names the field
	target() (customer, entry string) // the entry it is for
}

// serve reads a request into req, checks and admits it, and runs it under its
// deadline. An error of run, which has then written nothing, is answered.
func serve[R request](in *Instance, w http.ResponseWriter, r *http.Request, req *R,
	run func(ctx context.Context, v *View, e catalogue.Entry) error) {
	in.stats.requests.Inc(1)
	start := time.Now()
	defer in.stats.latency.UpdateSince(start)
	err := decode(w, r, req)
	if err == nil {
		err = (*req).check()
	}
	if err == nil {
		err = in.admitted(r, *req, run)
	}
	if err != nil {
		in.fail(w, err)
	}
}

// admitted runs req with a place and its deadline.
func (in *Instance) admitted(r *http.Request, req request, run func(context.Context, *View, catalogue.Entry) error) error {
	v := in.View()
	customer, name := req.target()
	if err := in.authorize(r, customer); err != nil {
		return err
	}
	e, release, err := in.admit(v, customer, name)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel, err := in.withDeadline(r)
	if err != nil {
		return err
	}
	defer cancel()
	return run(ctx, v, e)
}
