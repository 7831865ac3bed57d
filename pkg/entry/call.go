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

// claimState is where a non-idempotent call stands.
type claimState string

// The states of a claim. A call is sent only by the attempt that moved its
// claim from claimed to sending by compare-and-set on the version it wrote
// itself; so a claim still claimed was never sent, and any attempt may take
// it over, which fences out the attempt that wrote it.
const (
	claimed claimState = "claimed"
	sending claimState = "sending"
	done    claimState = "done"
)

// claim is the record of a non-idempotent call in the platform's table.
type claim struct {
	Attempt string          `json:"attempt"` // the entry instance and request that hold it
	State   claimState      `json:"state"`
	Answer  json.RawMessage `json:"answer,omitempty"`
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
	c := claimer{in: in, key: claimPrefix + req.Customer + "/" + e.Name + "/" + req.Key,
		attempt: fmt.Sprintf("%s/%s/%d", in.cfg.ID, in.life, in.attempts.Add(1))}
	row, replay, err := c.take(ctx)
	if err != nil || replay != nil {
		return deref(replay), err
	}
	if row, err = c.move(ctx, row, claim{Attempt: c.attempt, State: sending}); err != nil {
		return CallAnswer{}, err
	}
	ans, err := in.send1(ctx, addr, req)
	if err != nil {
		return CallAnswer{}, err // the claim stays at sending: the call may have run
	}
	if _, err := c.move(ctx, row, claim{Attempt: c.attempt, State: done, Answer: ans.Body}); err != nil {
		in.cfg.Logger.Warn("call ran but its answer was not recorded", "key", c.key, "err", err)
	}
	return ans, nil
}

func deref(a *CallAnswer) CallAnswer {
	if a == nil {
		return CallAnswer{}
	}
	return *a
}

// claimer takes and moves one call's claim.
type claimer struct {
	in      *Instance
	key     string
	attempt string
}

// take makes this attempt the claim's holder, in state claimed. A claim
// that is done gives its recorded answer instead; one that is sending
// means the call may have run, and it is not sent again.
func (c claimer) take(ctx context.Context) (platform.Row, *CallAnswer, error) {
	var expect uint64
	for try := 0; try < 3; try++ {
		row, err := c.in.commit(ctx, c.op(expect, claim{Attempt: c.attempt, State: claimed}))
		var ce *platform.ConflictError
		switch {
		case err == nil:
			return row[0], nil, nil
		case errors.As(err, &ce):
			cur, answer, err := c.standing(ce.Current)
			if err != nil || answer != nil {
				return platform.Row{}, answer, err
			}
			expect = cur.Version // claimed but never sent: take it over
		default:
			got, ok := c.confirm(ctx, claimed)
			if !ok {
				return platform.Row{}, nil, c.unsent(err)
			}
			return got, nil, nil
		}
	}
	return platform.Row{}, nil, c.unsent(errors.New("claim kept changing"))
}

// move rewrites the claim from row to next, failing NotRun if another
// attempt took it over meanwhile.
func (c claimer) move(ctx context.Context, row platform.Row, next claim) (platform.Row, error) {
	rows, err := c.in.commit(ctx, c.op(row.Version, next))
	var ce *platform.ConflictError
	switch {
	case err == nil:
		return rows[0], nil
	case errors.As(err, &ce):
		return platform.Row{}, c.unsent(errors.New("another attempt took the claim over"))
	}
	if got, ok := c.confirm(ctx, next.State); ok {
		return got, nil
	}
	return platform.Row{}, c.unsent(err)
}

// confirm re-reads the claim after a write whose answer was lost, and
// reports whether the write took effect.
func (c claimer) confirm(ctx context.Context, want claimState) (platform.Row, bool) {
	ctx, cancel := context.WithTimeout(ctx, c.in.cfg.PlatformTimeout)
	defer cancel()
	row, err := c.in.cfg.Platform.Get(ctx, c.key)
	if err != nil {
		return platform.Row{}, false
	}
	var cl claim
	if json.Unmarshal(row.Value, &cl) != nil || cl.Attempt != c.attempt || cl.State != want {
		return platform.Row{}, false
	}
	return row, true
}

// standing reads a claim found in the way: its answer if done, an error if
// sending, or the row itself if only claimed.
func (c claimer) standing(row platform.Row) (platform.Row, *CallAnswer, error) {
	var cl claim
	if err := json.Unmarshal(row.Value, &cl); err != nil {
		return row, nil, verdict.New(verdict.MayHaveRun, http.StatusConflict, fmt.Errorf("call: unreadable claim: %w", err))
	}
	switch cl.State {
	case done:
		return row, &CallAnswer{Body: cl.Answer, Replayed: true}, nil
	case sending:
		return row, nil, verdict.New(verdict.MayHaveRun, http.StatusConflict,
			errors.New("call: a call with this key was sent before and its outcome is unknown; it will not be sent again"))
	}
	return row, nil, nil
}

func (c claimer) op(expect uint64, cl claim) platform.Op {
	op, _ := platform.Put(c.key, expect, cl) // a claim always encodes
	return op
}

// unsent is the error of a call refused before it was sent.
func (c claimer) unsent(err error) error {
	return verdict.Refuse(http.StatusServiceUnavailable, c.in.cfg.Clock.Now().Add(time.Second),
		fmt.Errorf("call: not sent: %w", err))
}

// send1 sends the call once.
func (in *Instance) send1(ctx context.Context, addr string, req CallRequest) (CallAnswer, error) {
	body, err := service.NewClient(addr, in.http).Call(ctx, req.Method, req.Key, req.Idempotent, req.Body)
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
