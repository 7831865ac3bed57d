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

// WeightsRequest sets the target weight version of the pool of a training entry. Setting
// the current target again has no effect.
type WeightsRequest struct {
	Customer string `json:"customer"`
	Entry    string `json:"entry"`
	Version  uint64 `json:"version"`
}

// serveWeights handles POST /v1/weights. It responds with 204 once the version is stored in
// the platform's table, and with 409 if a newer one is.
func (in *Instance) serveWeights(w http.ResponseWriter, r *http.Request) {
	in.stats.requests.Inc(1)
	var req WeightsRequest
	if err := decode(w, r, &req); err != nil {
		in.writeError(w, err)
		return
	}
	err := in.authorize(r, req.Customer)
	if err == nil {
		err = in.setTargetVersion(r.Context(), req)
	}
	if err != nil {
		in.writeError(w, err)
		return
	}
	w.Header().Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(http.StatusNoContent)
}

func (in *Instance) setTargetVersion(ctx context.Context, req WeightsRequest) error {
	if req.Version == 0 {
		return verdict.BadRequest("weights: version must be positive")
	}
	e, err := in.View().EntryFor(req.Customer, req.Entry)
	if err != nil {
		return err
	}
	if e.Class != catalogue.Training {
		return verdict.BadRequest("weights: entry %s is of class %s, want training", e.Name, e.Class)
	}
	t := weights.Target{Pool: e.Pool, Version: req.Version, Author: req.Customer + "/" + e.Name, SetAt: in.cfg.Clock.Now()}
	err = weights.SetTarget(ctx, in.cfg.Platform, t)
	switch {
	case errors.Is(err, weights.ErrOlderVersion):
		return verdict.New(verdict.NotRun, http.StatusConflict, err)
	case err != nil:
		// The write may have been applied. Setting the version again is safe.
		return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusServiceUnavailable,
			RetryAt: in.defaultRetryAt(), Err: err}
	}
	in.post(ctx, control.PeerNotified{Changed: true})
	return nil
}
