package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/pprof"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/delivery"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Handler returns the caller-facing HTTP handler:
//
//	GET  /v1/route      which instance a caller should use (RouteAnswer)
//	POST /v1/generate   a GenerateRequest; answers newline-delimited Events
//	POST /v1/call       a CallRequest to a plain service; answers a CallAnswer
//	POST /v1/weights    a WeightsRequest; 204 once kept
//	POST /v1/steps      a step.Spec; 202 once kept
//	GET  /v1/steps/{customer}/{entry}/{id}     its StepStatus
//	DELETE /v1/steps/{customer}/{entry}/{id}   end it; 204
//	GET  /metrics       counters, as JSON
//	GET  /healthz       200 while serving, 503 while draining
//	GET  /debug/pprof/  the runtime's profiles
func (in *Instance) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /v1/route", in.serveRoute)
	mux.HandleFunc("POST /v1/generate", in.serveGenerate)
	mux.HandleFunc("POST /v1/call", in.serveCall)
	mux.HandleFunc("POST /v1/weights", in.serveWeights)
	mux.HandleFunc("POST /v1/steps", in.serveStep)
	mux.HandleFunc("GET /v1/steps/{customer}/{entry}/{id}", in.serveStepStatus)
	mux.HandleFunc("DELETE /v1/steps/{customer}/{entry}/{id}", in.serveStepCancel)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(in.cfg.Metrics, w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if in.View().Draining {
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ok\n"))
	})
	return mux
}

// MoveHeader is the header by which a draining instance tells a caller to ask
// the path it names, at any instance, which one to use from now on.
const MoveHeader = "Zinnia-Move"

// ErrorResponse is the body of an answer that is not a success.
type ErrorResponse struct {
	Error   string          `json:"error"`
	Verdict verdict.Verdict `json:"verdict"`
}

// comeBackIn is how long callers are told to wait before they try again what
// was refused or failed.
const comeBackIn = time.Second

func (in *Instance) comeBackAt() time.Time { return in.cfg.Clock.Now().Add(comeBackIn) }

// fail answers err with its verdict, status and Retry-After at once.
func (in *Instance) fail(w http.ResponseWriter, err error) {
	ve := asVerdictError(err)
	if ve.Verdict == verdict.NotRun {
		in.stats.refused.Inc(1)
	} else {
		in.stats.failed.Inc(1)
	}
	w.Header().Set(verdict.Header, ve.Verdict.String())
	if errors.Is(err, errDraining) {
		w.Header().Set(MoveHeader, "/v1/route")
	}
	if s, ok := ve.RetryAfter(in.cfg.Clock.Now()); ok {
		w.Header().Set("Retry-After", s)
	}
	httpjson.Write(w, ve.Status, ErrorResponse{Error: ve.Err.Error(), Verdict: ve.Verdict})
}

func asVerdictError(err error) *verdict.Error {
	var ve *verdict.Error
	if errors.As(err, &ve) {
		return ve
	}
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, err)
}

// decode reads a request body, mapping bad input to a 4xx NotRun error.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	if err := httpjson.Decode(w, r, v); err != nil {
		if errors.Is(err, httpjson.ErrTooLarge) {
			return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, err)
		}
		return verdict.BadRequest("%v", err)
	}
	return nil
}

// counters are the instance's metrics.
type counters struct {
	requests, refused, failed, upstreamErrors, resumed metrics.Counter
	refusedAdmission, retriesRefused                   metrics.Counter
	delivery                                           delivery.Counters
	ejected, hedges                                    metrics.Counter
	orders, orderErrors                                metrics.Counter
	latency                                            metrics.Timer
	callTime                                           metrics.Timer // one copy of a service call
}

func newCounters(r metrics.Registry) *counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return &counters{
		requests: c("requests"), refused: c("refused"), failed: c("failed"),
		upstreamErrors: c("upstream_errors"), resumed: c("streams_resumed"),
		delivery: delivery.Counters{Delivered: c("samples_delivered"), Stale: c("samples_refused_stale"), Lost: c("samples_lost"),
			Retries: c("delivery_retries"), Redelivered: c("samples_redelivered")},
		refusedAdmission: c("refused_admission"), retriesRefused: c("retries_refused"), ejected: c("upstreams_ejected"), hedges: c("hedges"),
		orders: c("load_orders"), orderErrors: c("load_order_errors"),
		latency:  metrics.GetOrRegisterTimer("request_latency", r),
		callTime: metrics.GetOrRegisterTimer("service_call_latency", r),
	}
}

func writeJSONLine(w http.ResponseWriter, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	b = append(b, '\n')
	if _, err := w.Write(b); err != nil {
		return err
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}
