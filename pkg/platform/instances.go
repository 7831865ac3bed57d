package platform

import (
	"context"
	"fmt"
	"net/http"
)

// InstanceState says what the platform last knew of an upstream instance.
type InstanceState string

// The states of an instance in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list, which lags.
type Instance struct {
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// InstanceChanges is what changed in the instance list after a sequence
// number, and the number to ask from next.
type InstanceChanges struct {
	Sequence  uint64     `json:"sequence"`
	Instances []Instance `json:"instances"`
}

// Instances returns the changes of the instance list after sequence number
// since; 0 asks for the whole list.
func (c *Client) Instances(ctx context.Context, since uint64) (InstanceChanges, error) {
	var ch InstanceChanges
	err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/instances?since=%d", since), nil, &ch)
	return ch, err
}
