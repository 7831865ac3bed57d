package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// WeightsRequest names a new weight version for the pool of a training
// entry. Naming the version in force again changes nothing.
type WeightsRequest struct {
	Customer string `json:"customer"`
	Entry    string `json:"entry"`
	Version  uint64 `json:"version"`
}

// serveWeights answers POST /v1/weights: 204 once the version is kept in
// the platform's table, 409 if a newer one is.
func (in *Instance) serveWeights(w http.ResponseWriter, r *http.Request) {
	in.stats.requests.Inc(1)
	var req WeightsRequest
	if err := decode(w, r, &req); err != nil {
		in.fail(w, err)
		return
	}
	err := in.authorize(r, req.Customer)
	if err == nil {
		err = in.nameWeights(r.Context(), req)
	}
	if err != nil {
		in.fail(w, err)
		return
	}
	w.Header().Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(http.StatusNoContent)
}

func (in *Instance) nameWeights(ctx context.Context, req WeightsRequest) error {
	if req.Version == 0 {
		return verdict.BadRequest("weights: version must be positive")
	}
	e, err := in.View().EntryFor(req.Customer, req.Entry)
	if err != nil {
		return err
	}
	if e.Class != catalogue.Training {
		return verdict.BadRequest("weights: entry %s is of class %s, not training", e.Name, e.Class)
	}
	t := weights.Target{Pool: e.Pool, Version: req.Version, Author: req.Customer + "/" + e.Name, SetAt: in.cfg.Clock.Now()}
	err = weights.SetTarget(ctx, in.cfg.Platform, t)
	switch {
	case errors.Is(err, weights.ErrOlderVersion):
		return verdict.New(verdict.NotRun, http.StatusConflict, err)
	case err != nil:
		// The write may have taken effect; naming the version again is safe.
		return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusServiceUnavailable,
			RetryAt: in.comeBackAt(), Err: err}
	}
	in.post(ctx, control.PeerNotified{Changed: true})
	return nil
}
