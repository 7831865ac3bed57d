package node

import (
	"errors"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/internal/logs"
	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
	"github.com/zinnialadder/zinnialadder/pkg/waitqueue"
	"github.com/zinnialadder/zinnialadder/pkg/watch"
)

// Limits of log lines per second, by kind. The usual load of an instance is a few
// requests a second and, where it owns a submission, some tens of items a second. A
// line costs about 20 µs. Thousands of upstreams come and go when a large site starts.
const (
	failureLines  = 40
	requestLines  = 15
	itemLines     = 25
	resultLines   = 40
	upstreamLines = 10
)

// observer records metrics and log lines of requests and items.
type observer struct {
	node      *Node
	failures  *logs.Limiter
	requests  *logs.Limiter
	items     *logs.Limiter
	results   *logs.Limiter
	upstreams *logs.Limiter
}

func newObserver(n *Node) *observer {
	return &observer{node: n, failures: logs.NewLimiter(failureLines), requests: logs.NewLimiter(requestLines), items: logs.NewLimiter(itemLines), results: logs.NewLimiter(resultLines), upstreams: logs.NewLimiter(upstreamLines)}
}

func (o *observer) count(name string) { metrics.GetOrRegisterCounter(name, o.node.cfg.Metrics).Inc(1) }

func (o *observer) add(name string, count int) {
	metrics.GetOrRegisterCounter(name, o.node.cfg.Metrics).Inc(int64(count))
}

func (o *observer) time(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, o.node.cfg.Metrics).Update(d)
}

func (o *observer) gauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, o.node.cfg.Metrics).Update(v)
}

// logLine logs a line if budget allows it, as a warning if failed is set. Lines that
// exceed the budget are counted.
func (o *observer) logLine(budget *logs.Limiter, failed bool, msg string, fields ...any) {
	skipped, ok := budget.Allow(time.Now())
	if !ok {
		o.count("log.lines.skipped")
		return
	}
	if skipped > 0 {
		fields = append(fields, "skipped", skipped)
	}
	if failed {
		o.node.cfg.Logger.Warn(msg, fields...)
		return
	}
	o.node.cfg.Logger.Info(msg, fields...)
}

// attempt records an attempt at an upstream.
func (o *observer) attempt(a forward.Attempt) {
	o.node.usage.count(a.Customer, a.StartedAt)
	switch {
	case a.Err == nil && a.Status < 500:
		o.count("attempts.answered")
		return // the log line of the request covers it
	case errors.Is(a.Err, forward.ErrSuperseded):
		o.count("attempts.superseded")
		return // the request was answered
	case errors.Is(a.Err, forward.ErrNotRun):
		o.count("attempts.not_run")
	default:
		o.count("attempts.failed")
	}
	fields := []any{"request", a.Request, "content", a.Content.Fingerprint(), "route", a.Route, "upstream", a.Upstream, "attempt", a.Number, "status", a.Status, "took", a.Took, "err", a.Err}
	if a.Copy {
		fields = append(fields, "copy", true)
	}
	o.logLine(o.failures, true, "attempt failed", fields...)
}

// request records how a caller's request ended, of which r.Report tells.
func (o *observer) request(rt routetable.Route, r forward.Request, status int, started time.Time, err error) {
	took := time.Since(started)
	v := verdict.Of(err)
	o.count("requests." + v.String())
	o.time("requests.took", took)
	budget := o.requests
	if err != nil {
		budget = o.failures
		o.count("rejections." + rejectionReason(err))
	}
	fields := []any{"request", r.ID, "route", rt.Name, "status", status, "verdict", v, "took", took,
		"left", time.Until(r.Deadline), "configuration", o.node.configurationVersion(), "err", err}
	if r.Customer != "" {
		fields = append(fields, "customer", r.Customer)
	}
	fields = append(fields, reportFields(*r.Report, started, took)...)
	fields = append(fields, rejectionFields(err, time.Now())...)
	o.logLine(budget, err != nil, "request", fields...)
}

// rejectionReason returns the name of the counter for err.
func rejectionReason(err error) string {
	switch {
	case errors.Is(err, errNoRoute):
		return "no_route"
	case errors.Is(err, errNoConfiguration):
		return "no_configuration"
	case errors.Is(err, quarantine.ErrQuarantined):
		return "quarantined"
	case errors.Is(err, upstream.ErrTooLarge):
		return "too_large"
	case errors.Is(err, forward.ErrWithdrawn):
		return "memory" // displaced before it was sent
	case errors.Is(err, forward.ErrNotRun):
		return "upstreams_full"
	case errors.Is(err, waitqueue.ErrFull), errors.Is(err, forward.ErrDisplaced):
		return "queue_full"
	case errors.Is(err, waitqueue.ErrTooLate):
		return "queue_too_slow"
	case errors.Is(err, forward.ErrStreamInterrupted):
		return "stream_broken"
	}
	return "no_answer"
}

// quarantined records an event of the quarantine of requests that crash upstreams.
func (o *observer) quarantined(e quarantine.Event) {
	o.count("quarantine." + strings.ReplaceAll(e.What, " ", "_"))
	o.logLine(o.failures, true, e.What, "content", e.Content, "upstream", e.Upstream, "ends", e.Crashes, "unexplained", e.UnexplainedCrashes, "trials", e.Trials, "err", e.Err)
}

// step records an event of an item or submission that runs here.
func (o *observer) step(e submission.RunEvent) {
	o.count("items." + e.What)
	switch e.What {
	case submission.TextMoved:
		o.count("texts.moved")
	case submission.ItemTooLarge:
		o.count("memory.too_large")
	case submission.ResultsListed:
		o.add("results.objects", e.Objects)
		o.logLine(o.results, false, e.What, "submission", e.Submission, "position", e.Position, "events", e.Events, "fencing", e.Fencing,
			"objects", e.Objects, "largest", e.Largest, "results", submission.Digests(e.Results))
		return
	}
	budget := o.items
	if e.Err != nil {
		budget = o.failures
	}
	fields := []any{"submission", e.Submission, "item", e.Item, "upstream", e.Upstream, "events", e.Events,
		"status", e.Status, "position", e.Position, "waiting", e.Waiting, "running", e.Running, "err", e.Err}
	if e.Content != (quarantine.Fingerprint{}) {
		fields = append(fields, "content", e.Content)
	}
	if e.Took > 0 {
		fields = append(fields, "took", e.Took)
	}
	o.logLine(budget, e.Err != nil, e.What, fields...)
}

// resultsRead records that a caller was sent results of a submission from a position on.
// The digests tell whether a position was given out with different results.
func (o *observer) resultsRead(id string, position int, results []submission.Result, source string) {
	if len(results) == 0 {
		return
	}
	o.count("results.read_from." + source)
	o.logLine(o.results, false, "results read", "submission", id, "position", position, "source", source, "results", submission.Digests(results))
}

// outlook records that a step that runs here has become short of engines or is no longer
// short.
func (o *observer) outlook(e submission.OutlookEvent) {
	if e.First {
		o.count("completion.steps_short")
		metrics.GetOrRegisterCounter("completion.groups_deferred", o.node.cfg.Metrics).Inc(int64(e.Outlook.Deferred))
	}
	o.node.cfg.Logger.Info(e.What, "submission", e.Submission, "model", e.Model, "groups_in_time", e.Outlook.InTime, "deferred", e.Outlook.Deferred, "desired", e.Desired, "slots", e.Slots)
}

// source records a change of the source through which tables are followed.
func (o *observer) source(e watch.Event) {
	if e.Err != nil {
		o.logLine(o.failures, true, "relays", "err", e.Err)
		return
	}
	o.count("watch.sources_taken")
	o.node.cfg.Logger.Info("source of the followed tables changed", "source", e.Source.Kind, "relay", e.Source.Relay, "why", e.Reason, "away", e.Downtime)
}

// runEnded records how a submission's run here ended. Its log line tells how the time
// of the last item was spent.
func (o *observer) runEnded(h submission.Head, s submission.Summary, err error) {
	writing := time.Duration(0)
	if !s.LastItem.FinishedAt.IsZero() {
		writing = s.EndedAt.Sub(s.LastItem.FinishedAt)
	}
	o.node.cfg.Logger.Info("submission runs no more", "submission", h.ID, "model", h.Model, "step", h.Step,
		"owner_after", s.StartedAt.Sub(h.AcceptedAt), "took", s.EndedAt.Sub(s.StartedAt), "waited", s.LastItem.Waited(s.StartedAt),
		"generating", s.LastItem.Generating, "interrupted", s.LastItem.Interrupted(), "scoring", s.LastItem.Scoring(), "writing", writing,
		"attempts", s.Attempts, "refused", s.EmptyAttempts, "fencing", s.Fencing, "err", err)
}

// state sets the gauges of the control state.
func (o *observer) state(s *state) {
	open := 0
	for _, h := range s.heads {
		if h.Open() {
			open++
		}
	}
	o.gauge("submissions.open", int64(open))
	o.gauge("submissions.running_here", int64(len(s.running)))
	o.gauge("upstreams", int64(len(s.entries)))
	o.gauge("upstreams.unusable_entries", int64(len(s.unusable)))
	o.gauge("members", int64(s.members.Len()))
	o.gauge("configuration.version", int64(o.node.configurationVersion()))
	o.gauge("orders.fencing_token_held", int64(o.node.orders.current().Fencing))
	o.gauge("store.tables_away", int64(len(s.unavailableSince)))
	o.gauge("watch.watchers", int64(o.node.follower.Watchers()))
	contents, quarantined := o.node.quarantine.Guard.Counts()
	o.gauge("quarantine.contents", int64(contents))
	o.gauge("quarantine.refused_contents", int64(quarantined))
	reports := metrics.GetOrRegisterCounter("pace.reports", o.node.cfg.Metrics)
	reports.Inc(o.node.registry.PaceReports() - reports.Count())
	o.failingUpstreams(time.Now())
	noRoom := metrics.GetOrRegisterCounter("memory.no_room", o.node.cfg.Metrics)
	noRoom.Inc(o.node.registry.MemoryRefusals() - noRoom.Count())
	for model, v := range s.targetVersions {
		o.gauge("weights.named."+model, int64(v))
	}
}

// failingUpstreams records which upstreams fail many of this instance's requests, and which
// no longer do.
func (o *observer) failingUpstreams(now time.Time) {
	changes, failing := o.node.registry.FailureChanges(now)
	o.gauge("upstreams.failing", int64(failing))
	for _, c := range changes {
		what := "upstream fails requests"
		if !c.Failing {
			what = "upstream no longer fails requests"
		}
		o.logLine(o.upstreams, c.Failing, what, "upstream", c.Upstream, "pool", c.Pool, "rate", c.Rate)
	}
}
