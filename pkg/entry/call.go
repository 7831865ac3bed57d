package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/service"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// CallRequest is a caller's call to a plain service. A call with
// Idempotent false runs at most once per Key, across all entry instances.
type CallRequest struct {
	Customer   string          `json:"customer"`
	Entry      string          `json:"entry"`
	Method     string          `json:"method"`
	Key        string          `json:"key"` // the Idempotency-Key
	Idempotent bool            `json:"idempotent"`
	Body       json.RawMessage `json:"body"`
}

// CallAnswer is the answer to a call. Replayed is set when the call had run
// before and this is its recorded answer.
type CallAnswer struct {
	Body     json.RawMessage `json:"body"`
	Replayed bool            `json:"replayed,omitempty"`
}

const claimPrefix = "claim/"

// claim is the record of a non-idempotent call in the platform's table:
// created before the call is sent, completed with its answer after.
type claim struct {
	Holder string          `json:"holder"`
	Done   bool            `json:"done"`
	Answer json.RawMessage `json:"answer,omitempty"`
}

func (r CallRequest) check() error {
	switch {
	case r.Customer == "" || r.Entry == "":
		return verdict.BadRequest("call: customer and entry are required")
	case r.Method == "" || strings.ContainsAny(r.Method, "/?# "):
		return verdict.BadRequest("call: method is required and may not hold '/', '?', '#' or spaces")
	case r.Key == "" || len(r.Key) > 128:
		return verdict.BadRequest("call: key is required, up to 128 characters")
	case len(r.Body) == 0:
		return verdict.BadRequest("call: body is required")
	}
	return nil
}

func (in *Instance) serveCall(w http.ResponseWriter, r *http.Request) {
	in.stats.requests.Inc(1)
	start := time.Now()
	defer in.stats.latency.UpdateSince(start)
	var req CallRequest
	if err := decode(w, r, &req); err != nil {
		in.fail(w, err)
		return
	}
	if err := req.check(); err != nil {
		in.fail(w, err)
		return
	}
	v := in.View()
	e, release, err := in.admit(v, req.Customer, req.Entry)
	if err != nil {
		in.fail(w, err)
		return
	}
	defer release()
	ctx, cancel := context.WithDeadline(r.Context(), in.deadline(r.Context()))
	defer cancel()
	ans, err := in.call(ctx, v, e, req)
	if err != nil {
		in.fail(w, err)
		return
	}
	w.Header().Set(verdict.Header, verdict.Ran.String())
	httpjson.Write(w, http.StatusOK, ans)
}

func (in *Instance) call(ctx context.Context, v *View, e catalogue.Entry, req CallRequest) (CallAnswer, error) {
	addr, err := in.pickService(v, e, req.Key)
	if err != nil {
		return CallAnswer{}, err
	}
	if req.Idempotent {
		return in.send1(ctx, addr, req)
	}
	key := claimPrefix + req.Customer + "/" + e.Name + "/" + req.Key
	row, err := in.takeClaim(ctx, key)
	var replay *errReplay
	if errors.As(err, &replay) {
		return replay.answer, nil
	}
	if err != nil {
		return CallAnswer{}, err
	}
	ans, err := in.send1(ctx, addr, req)
	if err != nil {
		return CallAnswer{}, err // the claim stays: the call may have run
	}
	if op, perr := platform.Put(key, row.Version, claim{Holder: in.cfg.ID, Done: true, Answer: ans.Body}); perr == nil {
		if _, perr = in.cfg.Platform.Commit(ctx, op); perr != nil {
			in.cfg.Logger.Warn("call ran but its answer was not recorded", "key", key, "err", perr)
		}
	}
	return ans, nil
}

// takeClaim creates the claim at key. A call whose claim exists is not
// sent again: its recorded answer is replayed, or, if it has none, the
// caller learns that it may have run.
func (in *Instance) takeClaim(ctx context.Context, key string) (platform.Row, error) {
	now := in.cfg.Clock.Now()
	op, err := platform.Put(key, 0, claim{Holder: in.cfg.ID})
	if err != nil {
		return platform.Row{}, err
	}
	rows, err := in.cfg.Platform.Commit(ctx, op)
	var ce *platform.ConflictError
	switch {
	case errors.As(err, &ce):
		return platform.Row{}, in.claimed(ce.Current)
	case errors.Is(err, platform.ErrUnavailable):
		// The claim may have been written; the call was not sent. A retry
		// finds the claim and answers MayHaveRun rather than run it.
		return platform.Row{}, verdict.Refuse(http.StatusServiceUnavailable, now.Add(2*time.Second),
			fmt.Errorf("call: platform unavailable; not sent: %w", err))
	case err != nil:
		return platform.Row{}, verdict.Refuse(http.StatusServiceUnavailable, now.Add(time.Second), err)
	}
	return rows[0], nil
}

// errReplay carries a recorded answer out of takeClaim.
type errReplay struct{ answer CallAnswer }

func (e *errReplay) Error() string { return "call already ran" }

func (in *Instance) claimed(row platform.Row) error {
	var c claim
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return verdict.New(verdict.MayHaveRun, http.StatusConflict, fmt.Errorf("call: unreadable claim: %w", err))
	}
	if c.Done {
		return &errReplay{answer: CallAnswer{Body: c.Answer, Replayed: true}}
	}
	return verdict.New(verdict.MayHaveRun, http.StatusConflict,
		errors.New("call: a call with this key was sent before and its outcome is unknown; it will not be sent again"))
}

// send1 sends the call once.
func (in *Instance) send1(ctx context.Context, addr string, req CallRequest) (CallAnswer, error) {
	body, err := service.NewClient(addr, in.http).Call(ctx, req.Method, req.Key, req.Body)
	var se *httpjson.StatusError
	switch {
	case errors.As(err, &se):
		return CallAnswer{}, verdict.New(verdict.Ran, http.StatusBadGateway, fmt.Errorf("call: service answered %w", err))
	case err != nil:
		in.stats.upstreamErrors.Inc(1)
		return CallAnswer{}, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, fmt.Errorf("call: %w", err))
	}
	return CallAnswer{Body: body}, nil
}

func (in *Instance) pickService(v *View, e catalogue.Entry, key string) (string, error) {
	p, ok := v.Pools[e.Pool]
	var live []catalogue.Upstream
	if ok && p.Kind == catalogue.Services {
		for _, u := range p.Upstreams {
			if u.State == catalogue.Live {
				live = append(live, u)
			}
		}
	}
	if len(live) == 0 {
		return "", verdict.Refuse(http.StatusServiceUnavailable, in.cfg.Clock.Now().Add(time.Second),
			fmt.Errorf("entry %s: no live service in pool %q", e.Name, e.Pool))
	}
	return live[route.Rendezvous(live, func(u catalogue.Upstream) string { return u.Address }, key)].Address, nil
}
