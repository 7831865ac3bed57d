// Package trainer is a client of trainers. It delivers training samples to them.
//
// The protocol is HTTP with JSON bodies:
//
//	POST /v1/samples   a Group; responds with an Ack
//
// A trainer identifies samples by Sample.ID. A sample that is delivered again with the same
// ID is acknowledged, and the trainer does not train on it twice. A trainer knows the
// target versions it has set, including one set during a delivery. If one sample of a group
// is older than its MaxVersionLag allows, the trainer rejects the whole group and lists it
// as Stale in the Ack.
package trainer

import (
	"context"
	"net/http"
	"slices"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
)

// Sample is one rollout: the text generated for a request, with every weight version that
// produced it, in order.
type Sample struct {
	ID             string   `json:"id"`
	Customer       string   `json:"customer"`
	Entry          string   `json:"entry"`
	Group          string   `json:"group,omitempty"`
	WeightVersions []uint64 `json:"weight_versions"`
	Tokens         int      `json:"tokens"`
	Text           string   `json:"text"`
}

// OldestVersion returns the oldest weight version that produced s, or 0 if s has no
// version.
func (s Sample) OldestVersion() uint64 {
	if len(s.WeightVersions) == 0 {
		return 0
	}
	return slices.Min(s.WeightVersions)
}

// Group is a batch of samples that are delivered together.
type Group struct {
	Samples []Sample `json:"samples"`
	// MaxVersionLag is how many versions behind the newest version the oldest version of a
	// sample may be.
	MaxVersionLag uint64 `json:"max_version_lag"`
}

// Ack is a trainer's response to a delivery. It lists sample IDs: New are accepted by this
// delivery, Duplicate were accepted by an earlier one, and Stale are rejected because a
// sample of their group is too old.
type Ack struct {
	New       []string `json:"new"`
	Duplicate []string `json:"duplicate"`
	Stale     []string `json:"stale,omitempty"`
}

// Client is an HTTP client of one trainer.
type Client struct {
	server httpjson.Client
}

// NewClient returns a Client for the trainer at addr, such as "127.0.0.1:7301". A nil hc
// means http.DefaultClient.
func NewClient(addr string, hc *http.Client) *Client {
	server := httpjson.NewClient("http://"+addr, hc)
	server.MaxResponse = httpjson.MaxBody
	return &Client{server: server}
}

// Deliver sends g and returns the trainer's Ack. After an error it is unknown whether the
// trainer accepted g. Delivering g again is safe.
func (c *Client) Deliver(ctx context.Context, g Group) (Ack, error) {
	var a Ack
	err := c.server.Do(ctx, http.MethodPost, "/v1/samples", g, &a)
	return a, err
}
