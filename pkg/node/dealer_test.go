package node_test

import (
	"testing"

	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// Engines that come and go by the hundred have an instance that sends nothing to them
// deal them once, when it does; one that runs submissions deals them each time.
func TestIdleInstanceDealsWhenNeeded(t *testing.T) {
	busy, possible, deals := false, false, 0
	var last []weights.Demand
	d := node.NewAssigner(func() bool { return busy }, func(ds []weights.Demand) bool {
		if possible {
			deals, last = deals+1, ds
		}
		return possible
	})
	want := func(n int) { d.SetDemands([]weights.Demand{{Model: "m", MaxItems: n}}) }
	for i := range 100 {
		want(i)
	}
	d.EnsureCurrent() // no configuration is in force yet
	possible = true
	if d.EnsureCurrent(); deals != 1 || last[0].MaxItems != 99 {
		t.Fatalf("%d deals, the last by %v", deals, last)
	}
	if d.EnsureCurrent(); deals != 1 {
		t.Fatalf("%d deals though nothing has changed", deals)
	}
	busy = true
	if want(100); deals != 2 || last[0].MaxItems != 100 {
		t.Fatalf("%d deals, the last by %v", deals, last)
	}
}
