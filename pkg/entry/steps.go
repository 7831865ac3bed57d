package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// StepStatus is the response to GET /v1/steps/{customer}/{entry}/{id}.
type StepStatus struct {
	Desired   int         `json:"desired"`
	Groups    int         `json:"groups"`
	Delivered int         `json:"delivered"` // groups that the trainer has acknowledged
	DueAt     time.Time   `json:"due_at"`
	Closed    step.Reason `json:"closed,omitempty"`
}

func stepStatus(head step.Head, delivered int) StepStatus {
	return StepStatus{Desired: head.Desired, Groups: head.Groups, Delivered: delivered, DueAt: head.Deadline, Closed: head.Closed}
}

// serveStep handles POST /v1/steps. It responds with 202 once the step is stored, also if
// it was stored before. A stored step runs even if this instance stops.
func (in *Instance) serveStep(w http.ResponseWriter, r *http.Request) {
	in.stats.requests.Inc(1)
	var spec step.Spec
	if err := decode(w, r, &spec); err != nil {
		in.writeError(w, err)
		return
	}
	err := in.authorize(r, spec.Customer)
	var head step.Head
	if err == nil {
		head, err = in.acceptStep(r.Context(), spec)
	}
	if err != nil {
		in.writeError(w, err)
		return
	}
	w.Header().Set(verdict.Header, verdict.Ran.String())
	httpjson.Write(w, http.StatusAccepted, stepStatus(head, 0))
}

func (in *Instance) acceptStep(ctx context.Context, spec step.Spec) (step.Head, error) {
	if err := spec.Check(); err != nil {
		return step.Head{}, verdict.BadRequest("%v", err)
	}
	view := in.View()
	now := in.cfg.Clock.Now()
	e, err := view.EntryFor(spec.Customer, spec.Entry)
	switch {
	case err != nil:
		return step.Head{}, err
	case e.Class != catalogue.Training:
		return step.Head{}, verdict.BadRequest("step: entry %s is of class %s, want training", e.Name, e.Class)
	case view.Draining:
		return step.Head{}, verdict.Refuse(http.StatusServiceUnavailable, now, errDraining)
	case !spec.Deadline.After(now):
		return step.Head{}, verdict.BadRequest("step %s: due_at is in the past", spec.ID)
	}
	for _, g := range spec.Groups {
		if g.MaxTokens > e.Limits.MaxTokens {
			return step.Head{}, verdict.BadRequest("step %s: group %s: max_tokens %d exceeds entry %s's limit of %d",
				spec.ID, g.ID, g.MaxTokens, e.Name, e.Limits.MaxTokens)
		}
	}
	head, err := in.storeStep(ctx, spec)
	if err == nil {
		in.post(ctx, control.StepAccepted{})
	}
	return head, err
}

// storeStep stores the step. It writes the Spec first, so that every head has one, and then
// the head, which makes the step accepted. It returns a NotRun error with status 409 if
// another step has the same ID.
func (in *Instance) storeStep(ctx context.Context, spec step.Spec) (step.Head, error) {
	head := step.NewHead(spec, in.cfg.ShardGroups)
	if err := in.putSpec(ctx, spec); err != nil {
		return step.Head{}, in.notStoredError(verdict.NotRun, err) // a step without a head never runs
	}
	op, err := platform.Put(step.HeadKey(spec.Key()), 0, head)
	if err != nil {
		return step.Head{}, err
	}
	_, err = in.cfg.Platform.Commit(ctx, op)
	var ce *platform.ConflictError
	if !errors.As(err, &ce) {
		if err != nil {
			return step.Head{}, in.notStoredError(verdict.MayHaveRun, err) // submitting the step again is safe
		}
		return head, nil
	}
	stored, err := step.DecodeHead(ce.Current)
	if err != nil {
		return step.Head{}, err
	}
	if stored.Digest != head.Digest {
		return step.Head{}, verdict.New(verdict.NotRun, http.StatusConflict,
			fmt.Errorf("step %s was already submitted with different contents", spec.ID))
	}
	return stored, nil
}

func (in *Instance) putSpec(ctx context.Context, spec step.Spec) error {
	b, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	return in.cfg.Platform.PutObject(ctx, step.ObjectName(spec.Key(), spec.Digest()), b)
}

// notStoredError returns the error of a step that the platform did not confirm.
func (in *Instance) notStoredError(v verdict.Verdict, err error) error {
	return &verdict.Error{Verdict: v, Status: http.StatusServiceUnavailable, RetryAt: in.defaultRetryAt(),
		Err: fmt.Errorf("step: could not store it: %w", err)}
}

// serveStepStatus handles GET /v1/steps/{customer}/{entry}/{id}.
func (in *Instance) serveStepStatus(w http.ResponseWriter, r *http.Request) {
	if err := in.authorize(r, r.PathValue("customer")); err != nil {
		in.writeError(w, err)
		return
	}
	key := step.Key(r.PathValue("customer"), r.PathValue("entry"), r.PathValue("id"))
	head, _, err := step.ReadHead(r.Context(), in.cfg.Platform, key)
	if err != nil {
		in.writeError(w, in.stepError(key, err))
		return
	}
	n, err := step.CountDelivered(r.Context(), in.cfg.Platform, key)
	if err != nil {
		in.writeError(w, in.stepError(key, err))
		return
	}
	httpjson.Write(w, http.StatusOK, stepStatus(head, n))
}

// serveStepCancel handles DELETE /v1/steps/{customer}/{entry}/{id}. It responds with 204
// once the step is closed, also if it was closed before.
func (in *Instance) serveStepCancel(w http.ResponseWriter, r *http.Request) {
	if err := in.authorize(r, r.PathValue("customer")); err != nil {
		in.writeError(w, err)
		return
	}
	key := step.Key(r.PathValue("customer"), r.PathValue("entry"), r.PathValue("id"))
	closed, err := step.Close(r.Context(), in.cfg.Platform, key, step.Cancelled, in.cfg.Clock.Now())
	if err != nil {
		in.writeError(w, in.stepError(key, err))
		return
	}
	if closed {
		in.cfg.Logger.Info("step closed", "step", key, "reason", step.Cancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (in *Instance) stepError(key string, err error) error {
	if errors.Is(err, platform.ErrNotFound) {
		return verdict.New(verdict.NotRun, http.StatusNotFound, fmt.Errorf("step %s not found", key))
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusServiceUnavailable,
		RetryAt: in.defaultRetryAt(), Err: err}
}
