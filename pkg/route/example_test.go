package route_test

import (
	"fmt"

	"github.com/zinnialadder/zinnialadder/pkg/route"
)

// Requests with the same prefix go to the same engine while its load is within Slack of
// the lowest, and otherwise to the next in rank.
func ExamplePolicy() {
	policy := route.Policy{Slack: 3}
	engines := []route.Candidate{{Key: "10.0.1.1:7101"}, {Key: "10.0.1.2:7101"}, {Key: "10.0.1.3:7101"}}
	first := policy.Pick(engines, "You are a negotiation assistant.")
	fmt.Println(first == policy.Pick(engines, "You are a negotiation assistant."))
	engines[first].Load = 8
	fmt.Println(first == policy.Pick(engines, "You are a negotiation assistant."))
	// Output:
	// true
	// false
}
