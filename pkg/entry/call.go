package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/claim"
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

// CallResponse is the answer to a call. Replayed is set when the call had run
// before and this is its recorded answer.
type CallResponse struct {
	Body     json.RawMessage `json:"body"`
	Replayed bool            `json:"replayed,omitempty"`
}

func (r CallRequest) target() (customer, entry string) { return r.Customer, r.Entry }

func (r CallRequest) check() error {
	switch {
	case r.Customer == "" || r.Entry == "":
		return verdict.BadRequest("call: customer and entry are required")
	case r.Method == "" || strings.ContainsAny(r.Method, "/?# ") || !printable(r.Method):
		return verdict.BadRequest("call: method is required and may not hold '/', '?', '#', spaces or control characters")
	case r.Key == "" || len(r.Key) > 128 || !printable(r.Key):
		return verdict.BadRequest("call: key is required, up to 128 characters, none of them a control character")
	case len(r.Body) == 0:
		return verdict.BadRequest("call: body is required")
	}
	return nil
}

// digest tells the request from others with the same key.
func (r CallRequest) digest() string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s", r.Method, r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// printable reports whether s can be carried in a header as it is.
func printable(s string) bool {
	return !strings.ContainsFunc(s, unicode.IsControl) && utf8.ValidString(s)
}

func (in *Instance) serveCall(w http.ResponseWriter, r *http.Request) {
	var req CallRequest
	serve(in, w, r, &req, func(ctx context.Context, v *View, e catalogue.Entry) error {
		ans, err := in.call(ctx, v, e, req)
		if err = in.timedOut(ctx, err); err != nil {
			return err
		}
		w.Header().Set(verdict.Header, verdict.Ran.String())
		httpjson.Write(w, http.StatusOK, ans)
		return nil
	})
}

func (in *Instance) call(ctx context.Context, v *View, e catalogue.Entry, req CallRequest) (CallResponse, error) {
	c := &serviceCall{in: in, view: v, entry: e, req: req}
	if req.Idempotent {
		return c.repeatable(ctx)
	}
	cl := claim.New(in.claims(), in.attempt(), req.Customer+"/"+req.Entry+"/"+req.Key, req.digest())
	row, replay, err := cl.Acquire(ctx)
	if err != nil {
		return CallResponse{}, err
	}
	if replay != nil {
		return CallResponse{Body: replay, Replayed: true}, nil
	}
	if row, err = cl.SetState(ctx, row, claim.Sending, nil); err != nil {
		return CallResponse{}, err
	}
	ans, err := c.once(ctx)
	if verdict.Of(err) == verdict.NotRun {
		// It reached no service: let the key be claimed again.
		if _, merr := cl.SetState(ctx, row, claim.Claimed, nil); merr != nil {
			in.cfg.Logger.Debug("claim of a call not sent left standing", "key", cl.Key(), "err", merr)
		}
		return CallResponse{}, err
	}
	if err != nil {
		return CallResponse{}, err // the claim stays at sending: the call may have run
	}
	if _, err := cl.SetState(ctx, row, claim.Done, ans.Body); err != nil {
		in.cfg.Logger.Warn("call ran but its answer was not recorded", "key", cl.Key(), "err", err)
	}
	return ans, nil
}

// claims returns what claims of calls need.
func (in *Instance) claims() claim.Config {
	return claim.Config{Get: in.cfg.Platform.Get, Commit: in.cfg.Platform.Commit, Clock: in.cfg.Clock, Timeout: in.cfg.PlatformTimeout, RetryAt: in.comeBackAt}
}
