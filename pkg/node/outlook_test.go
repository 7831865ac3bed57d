package node_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// A step near the limit becomes short of engines again and again. Counted each time, one
// step would look like many to operators, who add engines by that count.
func TestStepShortOfEnginesCountsOnce(t *testing.T) {
	var lines bytes.Buffer
	cfg := node.Config{Metrics: metrics.NewRegistry(), Logger: log.New(&lines)}
	e := submission.OutlookEvent{What: "step short of engines", Outlook: completion.Outlook{Short: true, InTime: 11, Deferred: 7}, Desired: 17, Slots: 12, First: true}
	node.ObserveOutlook(cfg, e)
	e.First = false
	node.ObserveOutlook(cfg, e)
	for name, want := range map[string]int64{"completion.steps_short": 1, "completion.groups_deferred": 7} {
		if c, ok := cfg.Metrics.Get(name).(metrics.Counter); !ok || c.Count() != want {
			t.Errorf("counter %s = %v, want %d", name, cfg.Metrics.Get(name), want)
		}
	}
	if got := lines.String(); strings.Count(got, "step short of engines") != 2 || !strings.Contains(got, "groups_in_time=11 deferred=7 desired=17 slots=12") {
		t.Errorf("log lines %q, want two with 11 groups in time, 7 deferred, 17 desired and 12 slots", got)
	}
}

// Guards against a failing upstream that an operator is not told of, or is told of twice.
func TestFailingUpstreamIsReported(t *testing.T) {
	var lines bytes.Buffer
	cfg := node.Config{Metrics: metrics.NewRegistry(), Logger: log.New(&lines)}
	r, now := upstream.NewRegistry(""), time.Unix(1_800_000_000, 0)
	r.SetContended(true)
	r.Set([]upstream.Entry{{ID: "u", Pool: "p"}})
	rsv, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: now})
	rsv.Done(upstream.AttemptResult{At: now, Failed: true})
	for i, want := range []int64{1, 1, 0, 0} {
		node.ObserveFailures(cfg, r, now.Add(time.Duration(i/2)*10*time.Second))
		if got := metrics.GetOrRegisterGauge("upstreams.failing", cfg.Metrics).Value(); got != want {
			t.Errorf("gauge at check %d: %d, want %d", i, got, want)
		}
	}
	if got := lines.String(); got != "WARN upstream fails requests upstream=u pool=p rate=0.2\nINFO upstream no longer fails requests upstream=u pool=p rate=0\n" {
		t.Errorf("log lines %q, want one of each", got)
	}
}
