// Package trainer delivers training samples to trainers.
//
// The protocol is HTTP with JSON bodies:
//
//	POST /v1/samples   a Group; answers an Ack
//
// A trainer treats Sample.ID as the key of the sample: a sample delivered
// again under the same ID is acknowledged and not learned twice. A trainer
// knows the versions it has named, also one named while a delivery was under
// way: it turns away a group with a sample further behind than its
// MaxVersionLag, whole, and says so in the Ack.
package trainer

import (
	"context"
	"net/http"
	"slices"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
)

// Sample is one rollout: the tokens a request produced, labelled with every
// weight version that produced them, oldest first.
type Sample struct {
	ID             string   `json:"id"`
	Customer       string   `json:"customer"`
	Entry          string   `json:"entry"`
	Group          string   `json:"group,omitempty"`
	WeightVersions []uint64 `json:"weight_versions"`
	Tokens         int      `json:"tokens"`
	Text           string   `json:"text"`
}

// OldestVersion returns the oldest weight version that produced s, or 0 if s names
// none.
func (s Sample) OldestVersion() uint64 {
	if len(s.WeightVersions) == 0 {
		return 0
	}
	return slices.Min(s.WeightVersions)
}

// Group is a batch of samples sent together.
type Group struct {
	Samples []Sample `json:"samples"`
	// MaxVersionLag is how many versions behind the newest a sample's
	// oldest version may be.
	MaxVersionLag uint64 `json:"max_version_lag"`
}

// Ack lists the IDs the trainer holds after a delivery: New were learned
// now, Duplicate had been learned before, Stale were turned away since one of
// their group was too old.
type Ack struct {
	New       []string `json:"new"`
	Duplicate []string `json:"duplicate"`
	Stale     []string `json:"stale,omitempty"`
}

// Client speaks to one trainer at an address such as "127.0.0.1:7301".
type Client struct {
	server httpjson.Client
}

// NewClient returns a Client for the trainer at addr. A nil hc means
// http.DefaultClient.
func NewClient(addr string, hc *http.Client) *Client {
	return &Client{server: httpjson.NewClient("http://"+addr, hc)}
}

// Deliver sends g and returns the trainer's Ack. An error means the
// delivery's outcome is unknown; delivering again is safe.
func (c *Client) Deliver(ctx context.Context, g Group) (Ack, error) {
	var a Ack
	err := c.server.Do(ctx, http.MethodPost, "/v1/samples", g, &a)
	return a, err
}
