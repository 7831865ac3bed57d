package engine

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
)

// RequestState is the state of a request at an engine.
type RequestState string

// The states of a request.
const (
	RequestUnknown RequestState = "unknown" // never received, or has ended
	RequestQueued  RequestState = "queued"  // waits for a slot
	RequestRunning RequestState = "running"
)

// RequestStatus is an engine's report of one request; of the newest attempt if it was
// sent more than once.
type RequestStatus struct {
	State RequestState `json:"state"`
}

// ErrNoStatus is returned by RequestStatus for an engine that does not report the
// status of requests.
var ErrNoStatus = errors.New("engine: request status not supported")

// RequestStatus returns the status of the request with the given ID.
func (c *Client) RequestStatus(ctx context.Context, id string) (RequestStatus, error) {
	var st RequestStatus
	err := c.server.Do(ctx, http.MethodGet, "/v1/requests/"+url.PathEscape(id), nil, &st)
	var se *httpjson.StatusError
	if errors.As(err, &se) && se.Status == http.StatusNotFound {
		return RequestStatus{}, ErrNoStatus
	}
	return st, err
}
