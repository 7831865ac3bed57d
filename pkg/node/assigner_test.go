package node_test

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
	"github.com/zinnialadder/zinnialadder/platform"
)

// When hundreds of engines come and go, an instance that sends nothing to them must
// assign them only once, when it first needs the assignment. An instance that runs
// submissions assigns them after each change.
func TestIdleInstanceAssignsWhenNeeded(t *testing.T) {
	busy, configured, assignments := false, false, 0
	var last []weights.Demand
	d := node.NewAssigner(func() bool { return busy }, func(ds []weights.Demand) bool {
		if configured {
			assignments, last = assignments+1, ds
		}
		return configured
	})
	setItems := func(n int) { d.SetDemands([]weights.Demand{{Model: "m", MaxItems: n}}) }
	for i := range 100 {
		setItems(i)
	}
	d.EnsureCurrent() // no configuration is in force yet
	configured = true
	if d.EnsureCurrent(); assignments != 1 || last[0].MaxItems != 99 {
		t.Fatalf("%d assignments, the last by %v, want 1 by 99 items", assignments, last)
	}
	if d.EnsureCurrent(); assignments != 1 {
		t.Fatalf("%d assignments though nothing has changed, want 1", assignments)
	}
	busy = true
	if setItems(100); assignments != 2 || last[0].MaxItems != 100 {
		t.Fatalf("%d assignments, the last by %v, want 2 by 100 items", assignments, last)
	}
}

// Instances of a site that assign by different rules send texts to engines of other
// models. Engines must be assigned by rank if the settings say that capacity is contended,
// also by an instance that has assigned others before, and as ranges of IDs if not.
func TestAssignmentRuleFollowsSettings(t *testing.T) {
	pool := routetable.Pool{Name: "p", Models: []string{"a", "b"}}
	demands := []weights.Demand{{Model: "a", Work: 1}, {Model: "b", Work: 2}}
	var ids []string
	var entries []upstream.Entry
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("i%02d", i))
		entries = append(entries, upstream.Entry{ID: ids[i], Pool: "p", Slots: 1})
	}
	for contended, assign := range map[bool]func([]string, []weights.Demand) map[string][]string{false: weights.AssignEngines, true: weights.AssignStable} {
		n := node.New(node.Config{Name: "a", Store: platform.NewStore("127.0.0.1:1"), Upstreams: platform.NewUpstreamClient(platform.UpstreamClientConfig{}), Decoder: platform.Decoder(), Logger: log.New(io.Discard), Contended: contended})
		for _, engines := range []int{20, 14, 20} {
			got := n.AssignPool(pool, entries[:engines], demands)
			if want := assign(ids[:engines], demands); !maps.EqualFunc(got, want, slices.Equal) {
				t.Errorf("contended %v, %d engines: got %v, want %v", contended, engines, got, want)
			}
		}
	}
}
