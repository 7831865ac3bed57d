package platform

import (
	"context"
	"fmt"
	"net/http"
)

// InstanceState is the state of an upstream process in the platform's instance list.
type InstanceState string

// The states of an upstream process.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's instance list, which is not up to date.
type Instance struct {
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// InstanceChanges holds the changes of the instance list after a sequence number, and
// the number after which to ask for the next ones.
type InstanceChanges struct {
	Sequence  uint64     `json:"sequence"`
	Instances []Instance `json:"instances"`
}

// Instances returns the changes of the instance list after sequence number since; 0
// asks for the whole list.
func (c *Client) Instances(ctx context.Context, since uint64) (InstanceChanges, error) {
	var ch InstanceChanges
	err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/instances?since=%d", since), nil, &ch)
	return ch, err
}
