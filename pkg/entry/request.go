package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
)

// request is the body of a caller's request for a catalogue entry.
type request interface {
	check() error                     // returns a NotRun error that names the invalid field
	target() (customer, entry string) // the catalogue entry requested
}

// serve decodes a request into req, checks and admits it, and calls run with the request's
// deadline. If run returns an error, it must have written nothing; serve then writes the
// error response.
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
		err = in.admitAndRun(r, *req, run)
	}
	if err != nil {
		in.writeError(w, err)
	}
}

// admitAndRun admits req and calls run with the request's deadline.
func (in *Instance) admitAndRun(r *http.Request, req request, run func(context.Context, *View, catalogue.Entry) error) error {
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
