package node_test

import (
	"testing"

	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
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
