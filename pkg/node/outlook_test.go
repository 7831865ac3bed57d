package node_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
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
