package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
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

// maxAttempts bounds how many engines one generation may be tried on.
const maxAttempts = 3

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

// admit finds the request's catalogue entry and takes a place under its
// limit. The caller must call release when admit succeeds.
func (in *Instance) admit(v *View, customer, name string) (catalogue.Entry, func(), error) {
	now := in.cfg.Clock.Now()
	if v.Draining {
		return catalogue.Entry{}, nil, verdict.Refuse(http.StatusServiceUnavailable, now, errDraining)
	}
	e, ok := v.Entries[name]
	if !ok || e.Owner != customer {
		// The same answer whether the entry is missing or another
		// customer's, so that no customer learns of another's entries.
		return catalogue.Entry{}, nil, verdict.New(verdict.NotRun, http.StatusNotFound,
			fmt.Errorf("no catalogue entry %q for customer %q", name, customer))
	}
	key := "entry:" + name
	if !in.load.acquire(key, e.Limits.MaxInFlight) {
		return catalogue.Entry{}, nil, verdict.Refuse(http.StatusTooManyRequests, now.Add(time.Second),
			fmt.Errorf("entry %s is at its limit of %d requests in flight", name, e.Limits.MaxInFlight))
	}
	return e, func() { in.load.release(key) }, nil
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
	ctx, cancel := context.WithDeadline(r.Context(), in.deadline(r.Context()))
	defer cancel()
	g := &generation{in: in, view: v, entry: e, req: req, w: w}
	res, err := g.run(ctx)
	if err != nil {
		if !g.started {
			in.fail(w, err)
			return
		}
		vd := verdict.Of(err)
		_ = writeJSONLine(w, Event{Error: err.Error(), Verdict: &vd})
		return
	}
	if e.Class == catalogue.Training {
		res.SampleID = in.sample(ctx, e, req, res, g.text.String())
	}
	_ = writeJSONLine(w, res)
}

// deadline returns the stored deadline of a request: the caller's if it
// set one, else now plus UpstreamTimeout.
func (in *Instance) deadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return in.cfg.Clock.Now().Add(in.cfg.UpstreamTimeout)
}

// generation is one caller's generation in progress.
type generation struct {
	in      *Instance
	view    *View
	entry   catalogue.Entry
	req     GenerateRequest
	w       http.ResponseWriter
	started bool // some text has reached the caller
	text    strings.Builder
	tokens  int
	labels  []uint64
	tried   []string
}

// run tries engines until the generation is whole. A stream cut after some
// tokens resumes on another engine from where it stopped.
func (g *generation) run(ctx context.Context) (Event, error) {
	var last error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		addr, err := g.pick()
		if err != nil {
			if last != nil {
				break
			}
			return Event{}, err
		}
		g.tried = append(g.tried, addr)
		done, err := g.stream(ctx, addr)
		if done {
			return Event{Done: true, WeightVersions: g.labels, Tokens: g.tokens}, nil
		}
		last = err
		g.in.stats.upstreamErrors.Inc(1)
		if ctx.Err() != nil {
			break
		}
		if g.tokens > 0 {
			g.in.stats.resumed.Inc(1)
		}
	}
	return Event{}, g.failure(last)
}

// failure is the verdict of a generation that could not be completed. A
// generation has no side effects beyond the engine's work, so the caller
// may retry it whatever happened; NotRun is said only if no engine was
// reached.
func (g *generation) failure(err error) error {
	now := g.in.cfg.Clock.Now()
	if len(g.tried) == 0 {
		return verdict.Refuse(http.StatusServiceUnavailable, now.Add(time.Second), err)
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, RetryAt: now.Add(time.Second),
		Err: fmt.Errorf("generate: gave up after %d engines: %w", len(g.tried), err)}
}

// pick chooses a live engine of the entry's pool not yet tried.
func (g *generation) pick() (string, error) {
	p, ok := g.view.Pools[g.entry.Pool]
	if !ok || p.Kind != catalogue.Engines {
		return "", verdict.Refuse(http.StatusServiceUnavailable, g.in.cfg.Clock.Now().Add(time.Second),
			fmt.Errorf("entry %s: pool %q has no engines", g.entry.Name, g.entry.Pool))
	}
	var cands []route.Candidate
	for _, u := range p.Upstreams {
		if u.State != catalogue.Live || slices.Contains(g.tried, u.Address) {
			continue
		}
		if g.entry.Class == catalogue.Training && g.tooStale(p.Name, u.Address) {
			continue
		}
		cands = append(cands, route.Candidate{Key: u.Address, Load: g.in.loadOf(g.view, u.Address)})
	}
	i := g.in.policy.Pick(cands, affinity(g.req.Prompt))
	if i < 0 {
		return "", verdict.Refuse(http.StatusServiceUnavailable, g.in.cfg.Clock.Now().Add(time.Second),
			fmt.Errorf("entry %s: no live engine in pool %s", g.entry.Name, p.Name))
	}
	return cands[i].Key, nil
}

// tooStale reports whether the engine at addr last reported a weight
// version older than the entry allows.
func (g *generation) tooStale(pool, addr string) bool {
	rep, ok := g.view.Loads[addr]
	newest := g.view.Newest[pool]
	return ok && rep.WeightVersion+g.entry.MaxVersionLag < newest
}

// loadOf is the believed load of an engine: this instance's own requests
// in flight to it, plus its last report.
func (in *Instance) loadOf(v *View, addr string) float64 {
	own := float64(in.load.get(addr))
	rep, ok := v.Loads[addr]
	if !ok {
		return own
	}
	return own + float64(rep.Active+rep.Queued)
}

// affinityLen is how much of a prompt decides which engine's prefix cache
// a request prefers.
const affinityLen = 64

func affinity(prompt string) string {
	if len(prompt) > affinityLen {
		return prompt[:affinityLen]
	}
	return prompt
}

// stream runs one attempt on the engine at addr, relaying chunks to the
// caller. It reports whether the generation is now whole.
func (g *generation) stream(ctx context.Context, addr string) (bool, error) {
	g.in.load.acquire(addr, 0)
	defer g.in.load.release(addr)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(g.in.cfg.IdleTimeout, func() { cancel(errIdle) })
	defer idle.Stop()
	req := engine.GenerateRequest{
		RequestID: g.req.Customer + "." + g.req.RequestID,
		Prompt:    g.req.Prompt + g.text.String(),
		MaxTokens: g.req.MaxTokens - g.tokens,
		Priority:  g.entry.Class.Priority(),
	}
	s, err := engine.NewClient(addr, g.in.http).Generate(ctx, req)
	if err != nil {
		return false, attemptError(ctx, err)
	}
	defer s.Close()
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, attemptError(ctx, err)
		}
		idle.Reset(g.in.cfg.IdleTimeout)
		if c.Done {
			return true, nil
		}
		if err := g.relay(c); err != nil {
			return false, err
		}
	}
}

// errIdle ends an attempt whose engine sent nothing for IdleTimeout.
var errIdle = errors.New("engine sent nothing within the idle timeout")

// attemptError names the cause of an attempt's end: the idle timeout if it
// fired, else err.
func attemptError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errIdle) {
		return fmt.Errorf("%w: %v", errIdle, err)
	}
	return err
}

// relay passes one chunk to the caller and records its version.
func (g *generation) relay(c engine.Chunk) error {
	if n := len(g.labels); n == 0 || g.labels[n-1] != c.WeightVersion {
		g.labels = append(g.labels, c.WeightVersion)
	}
	g.text.WriteString(c.Text)
	g.tokens++
	if !g.started {
		g.w.Header().Set("Content-Type", "application/x-ndjson")
		g.w.Header().Set(verdict.Header, verdict.Ran.String())
		g.started = true
	}
	return writeJSONLine(g.w, Event{Text: c.Text, WeightVersion: c.WeightVersion})
}

// sample labels and delivers the training sample of a finished generation,
// returning its ID, or "" if the sample was refused as too stale.
func (in *Instance) sample(ctx context.Context, e catalogue.Entry, req GenerateRequest, res Event, text string) string {
	smp := trainer.Sample{
		ID:             req.Customer + "." + e.Name + "." + req.RequestID,
		Customer:       req.Customer,
		Entry:          e.Name,
		Group:          req.Group,
		WeightVersions: res.WeightVersions,
		Tokens:         res.Tokens,
		Text:           text,
	}
	newest := max(in.View().Newest[e.Pool], slices.Max(append([]uint64{0}, res.WeightVersions...)))
	if len(smp.WeightVersions) == 0 || smp.WeightVersions[0]+e.MaxVersionLag < newest {
		in.stats.samplesStale.Inc(1)
		return ""
	}
	if err := in.deliver(ctx, e, smp); err != nil {
		in.cfg.Logger.Warn("sample kept for redelivery", "sample", smp.ID, "err", err)
	}
	return smp.ID
}
