package entry

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// GenerateRequest is a caller's request for a generation.
type GenerateRequest struct {
	Customer  string `json:"customer"`
	Entry     string `json:"entry"`
	RequestID string `json:"request_id"` // names the request; a sample's ID derives from it
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Group     string `json:"group,omitempty"` // training step group, for samples
}

// Event is one line of a generation's answer. Text events carry tokens;
// the last event has Done set, or Error with the verdict.
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
	errNoInstance = errors.New("no entry instance is accepting callers")
	errDraining   = errors.New("this entry instance is draining; ask /v1/route again")
)

func (r GenerateRequest) check() error {
	switch {
	case r.Customer == "":
		return verdict.BadRequest("generate: customer is required")
	case r.Entry == "":
		return verdict.BadRequest("generate: entry is required")
	case r.RequestID == "" || len(r.RequestID) > 128 || strings.ContainsAny(r.RequestID, "/ \n"):
		return verdict.BadRequest("generate: request_id is required: up to 128 characters, no '/' or spaces")
	case r.MaxTokens <= 0:
		return verdict.BadRequest("generate: max_tokens must be positive")
	}
	return nil
}

func (in *Instance) serveGenerate(w http.ResponseWriter, r *http.Request) {
	in.stats.requests.Inc(1)
	start := time.Now()
	defer in.stats.latency.UpdateSince(start)
	var req GenerateRequest
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
	if req.MaxTokens > e.Limits.MaxTokens {
		in.fail(w, verdict.BadRequest("generate: max_tokens %d is over entry %s's limit of %d", req.MaxTokens, e.Name, e.Limits.MaxTokens))
		return
	}
	ctx, cancel, err := in.withDeadline(r)
	if err != nil {
		in.fail(w, err)
		return
	}
	defer cancel()
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
	err = in.timedOut(ctx, err)
	if err == nil && e.Class == catalogue.Training {
		res.SampleID = in.sample(ctx, e, g.sample(res))
	}
	switch {
	case err == nil:
		_ = g.emit(res)
	case started:
		vd := verdict.Of(err)
		_ = writeJSONLine(w, Event{Error: err.Error(), Verdict: &vd})
	default:
		in.fail(w, err)
	}
}
