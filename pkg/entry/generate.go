package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// GenerateRequest is a caller's request for a generation.
type GenerateRequest struct {
	Customer  string `json:"customer"`
	Entry     string `json:"entry"`
	RequestID string `json:"request_id"` // chosen by the caller; the sample ID is derived from it
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Group     string `json:"group,omitempty"` // group of a training step, for samples
}

// Event is one line of the response to a generation. Events with Text carry tokens. The
// last event has either Done set, or Error and Verdict.
type Event struct {
	Text           string           `json:"text,omitempty"`
	WeightVersion  uint64           `json:"weight_version,omitempty"`
	Done           bool             `json:"done,omitempty"`
	WeightVersions []uint64         `json:"weight_versions,omitempty"`
	Tokens         int              `json:"tokens,omitempty"`
	SampleID       string           `json:"sample_id,omitempty"`
	Error          string           `json:"error,omitempty"`
	Verdict        *verdict.Verdict `json:"verdict,omitempty"`
}

var (
	errNoInstance = errors.New("no entry instance accepts callers")
	errDraining   = errors.New("this entry instance is draining; get another one from /v1/route")
)

func (r GenerateRequest) target() (customer, entry string) { return r.Customer, r.Entry }

func (r GenerateRequest) check() error {
	switch {
	case r.Customer == "":
		return verdict.BadRequest("generate: customer is required")
	case r.Entry == "":
		return verdict.BadRequest("generate: entry is required")
	case r.RequestID == "" || len(r.RequestID) > 128 || strings.ContainsAny(r.RequestID, "/ \n") || !printable(r.RequestID):
		return verdict.BadRequest("generate: request_id is required, up to 128 characters, without '/', spaces or control characters")
	case r.MaxTokens <= 0:
		return verdict.BadRequest("generate: max_tokens must be positive")
	}
	return nil
}

func (in *Instance) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req GenerateRequest
	serve(in, w, r, &req, func(ctx context.Context, _ *View, e catalogue.Entry) error {
		if req.MaxTokens > e.Limits.MaxTokens {
			return verdict.BadRequest("generate: max_tokens %d exceeds entry %s's limit of %d", req.MaxTokens, e.Name, e.Limits.MaxTokens)
		}
		return in.generate(ctx, w, e, req)
	})
}

// generate runs one generation and writes its events. It returns an error only if it has
// written nothing.
func (in *Instance) generate(ctx context.Context, w http.ResponseWriter, e catalogue.Entry, req GenerateRequest) error {
	started := false
	g := &generation{in: in, entry: e, req: req, emit: func(ev Event) error {
		if !started {
			w.Header().Set("Content-Type", "application/x-ndjson")
			w.Header().Set(verdict.Header, verdict.Ran.String())
			started = true
		}
		return writeJSONLine(w, ev)
	}}
	res, err := g.run(ctx)
	if err = in.timedOut(ctx, err); err != nil {
		if !started {
			return err
		}
		vd := verdict.Of(err)
		_ = writeJSONLine(w, Event{Error: err.Error(), Verdict: &vd})
		return nil
	}
	if e.Class == catalogue.Training {
		res.SampleID = in.samples.RecordAndSend(ctx, e, g.sample(res))
	}
	_ = g.emit(res)
	return nil
}
