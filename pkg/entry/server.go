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
//	GET  /v1/route      which instance a caller should use (RouteResponse)
//	POST /v1/generate   a GenerateRequest; responds with newline-delimited Events
//	POST /v1/call       a CallRequest to a plain service; responds with a CallResponse
//	POST /v1/weights    a WeightsRequest; 204 once stored
//	POST /v1/steps      a step.Spec; 202 once stored
//	GET  /v1/steps/{customer}/{entry}/{id}     the step's StepStatus
//	DELETE /v1/steps/{customer}/{entry}/{id}   cancels the step; 204
//	GET  /metrics       metrics as JSON
//	GET  /healthz       200 while serving, 503 while draining
//	GET  /debug/pprof/  runtime profiles
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

// MoveHeader is the response header with which a draining instance tells the caller to use
// another instance. Its value is the path to request, at any instance, to get the other
// one's address.
const MoveHeader = "Zinnia-Move"

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error   string          `json:"error"`
	Verdict verdict.Verdict `json:"verdict"`
}

// retryDelay is the Retry-After delay of requests that were rejected or failed.
const retryDelay = time.Second

func (in *Instance) defaultRetryAt() time.Time { return in.cfg.Clock.Now().Add(retryDelay) }

// writeError writes the response for err with its verdict, status and Retry-After header.
func (in *Instance) writeError(w http.ResponseWriter, err error) {
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

// decode reads the JSON request body into v. Malformed input gives a NotRun error with a
// 4xx status.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	if err := httpjson.Decode(w, r, v); err != nil {
		if errors.Is(err, httpjson.ErrTooLarge) {
			return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, err)
		}
		return verdict.BadRequest("%v", err)
	}
	return nil
}

// counters holds the instance's metrics.
type counters struct {
	requests, refused, failed, upstreamErrors, resumed metrics.Counter
	refusedAdmission, retriesRefused                   metrics.Counter
	delivery                                           delivery.Counters
	ejected, hedges                                    metrics.Counter
	orders, orderErrors                                metrics.Counter
	latency                                            metrics.Timer
	callLatency                                        metrics.Timer // one attempt of a service call
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
		latency:     metrics.GetOrRegisterTimer("request_latency", r),
		callLatency: metrics.GetOrRegisterTimer("service_call_latency", r),
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
