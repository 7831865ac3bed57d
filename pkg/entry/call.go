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

// CallRequest is a request to call a plain service. A call with Idempotent set to false
// runs at most once per Key, across all entry instances.
type CallRequest struct {
	Customer   string          `json:"customer"`
	Entry      string          `json:"entry"`
	Method     string          `json:"method"`
	Key        string          `json:"key"` // the idempotency key
	Idempotent bool            `json:"idempotent"`
	Body       json.RawMessage `json:"body"`
}

// CallResponse is the response to a call. Replayed reports that an earlier call with the
// same key ran and that Body is its recorded response.
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

// digest returns a hash of the method and body, which distinguishes the request from others
// with the same key.
func (r CallRequest) digest() string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s", r.Method, r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// printable reports whether s is valid UTF-8 without control characters, so that it can be
// sent in a header unchanged.
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
		return c.sendIdempotent(ctx)
	}
	cl := claim.New(in.claimConfig(), in.newAttemptID(), req.Customer+"/"+req.Entry+"/"+req.Key, req.digest())
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
	ans, err := c.sendOnce(ctx)
	if verdict.Of(err) == verdict.NotRun {
		// No service received the call, so another attempt may claim the key.
		if _, merr := cl.SetState(ctx, row, claim.Claimed, nil); merr != nil {
			in.cfg.Logger.Debug("could not release the claim of a call that was not sent", "key", cl.Key(), "err", merr)
		}
		return CallResponse{}, err
	}
	if err != nil {
		return CallResponse{}, err // the claim stays in state Sending: the call may have run
	}
	if _, err := cl.SetState(ctx, row, claim.Done, ans.Body); err != nil {
		in.cfg.Logger.Warn("call ran but its response could not be recorded", "key", cl.Key(), "err", err)
	}
	return ans, nil
}

// claimConfig returns the configuration of the claims of non-idempotent calls.
func (in *Instance) claimConfig() claim.Config {
	return claim.Config{Get: in.cfg.Platform.Get, Commit: in.cfg.Platform.Commit, Clock: in.cfg.Clock, Timeout: in.cfg.PlatformTimeout, RetryAt: in.defaultRetryAt}
}
