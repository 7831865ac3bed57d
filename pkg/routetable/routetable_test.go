package routetable_test

import (
	"fmt"
	"testing"

	"github.com/zinnialadder/zinnialadder/pkg/routetable"
)

func ExampleTable_Match() {
	t := routetable.New(1, []routetable.Route{
		{Name: "cards", Host: "trees.example", PathPrefix: "/cards/"},
		{Name: "one-card", Host: "trees.example", PathPrefix: "/cards/one/"},
	}, nil, routetable.Limits{})
	for _, path := range []string{"/cards/7", "/cards/one/7", "/other"} {
		r, ok := t.Match("trees.example", path)
		fmt.Println(r.Name, ok)
	}
	// Output:
	// cards true
	// one-card true
	//  false
}

// Requests are distributed over a route's pools by their weights.
func TestPickPoolFollowsWeights(t *testing.T) {
	r := routetable.Route{Shares: []routetable.Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	got := map[string]int{}
	for i := range 100 {
		got[r.PickPool(float64(i)/100)]++
	}
	if got["a"] != 90 || got["b"] != 10 {
		t.Fatalf("PickPool returned %v, want 90 times a and 10 times b", got)
	}
	if p := r.PickPool(1); p != "b" {
		t.Fatalf("PickPool(1) = %q, want b", p)
	}
}

func TestSingleVersion(t *testing.T) {
	for want, routes := range map[bool][]routetable.Route{
		false: {{Host: "h", PathPrefix: "/a/"}},
		true:  {{Host: "h", PathPrefix: "/a/"}, {Host: "h", PathPrefix: "/b/", SingleVersion: true}},
	} {
		if got := routetable.New(1, routes, nil, routetable.Limits{}).SingleVersion(); got != want {
			t.Errorf("SingleVersion = %v for routes %+v, want the opposite", got, routes)
		}
	}
}
