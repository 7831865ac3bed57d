// Package service speaks to plain services, the back ends that are not
// model engines. Some of their calls may not be repeated.
//
// The protocol is HTTP with JSON bodies:
//
//	POST /v1/calls/{method}   any JSON body; Idempotency-Key names the call
//
// A service that turns a call away before running it answers with the
// header Zinnia-Verdict: not_run; no other failure says that.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// KeyHeader names a call so that a service and zinnialadder can tell a
// repeat from a new call.
const KeyHeader = "Idempotency-Key"

// Client speaks to one service at an address such as "127.0.0.1:7201".
type Client struct {
	server httpjson.Client
}

// NewClient returns a Client for the service at addr. A nil hc means
// http.DefaultClient.
func NewClient(addr string, hc *http.Client) *Client {
	return &Client{server: httpjson.NewClient("http://"+addr, hc)}
}

// Call invokes method with body under key and returns the answer's body.
// Errors carry a verdict (see verdict.Of): a service not reached, or that
// says so, did not run the call; an answer outside 2xx ran; with any other
// error the call may have run.
//
// A call that is not idempotent is sent at most once: net/http would
// otherwise resend a request bearing an Idempotency-Key header by itself
// when a reused connection breaks before the answer.
func (c *Client) Call(ctx context.Context, method, key string, idempotent bool, body json.RawMessage) (json.RawMessage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.server.Base+"/v1/calls/"+method, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if !idempotent {
		req.GetBody = nil // a request whose body cannot be rewound is never resent
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(KeyHeader, key)
	resp, err := c.server.HTTP.Do(req)
	if httpjson.NotSent(err) {
		return nil, verdict.New(verdict.NotRun, http.StatusBadGateway, err)
	}
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, httpjson.MaxBody))
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, err)
	}
	if resp.StatusCode/100 != 2 {
		ran := verdict.Ran
		if resp.Header.Get(verdict.Header) == verdict.NotRun.String() {
			ran = verdict.NotRun
		}
		return nil, verdict.New(ran, http.StatusBadGateway, &httpjson.StatusError{Status: resp.StatusCode, Body: string(b)})
	}
	return b, nil
}
