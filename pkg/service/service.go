// Package service is a client for plain services, the upstreams that are not model
// engines. Some of their calls must not be repeated.
//
// The protocol is HTTP with JSON bodies:
//
//	POST /v1/calls/{method}   any JSON body; Idempotency-Key identifies the call;
//	                          responds with any JSON body
//
// A service that refuses a call before running it responds with the header
// Zinnia-Verdict: not_run. No other response means that the call was not run.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// KeyHeader is the request header that identifies a call, so that a service and
// zinnialadder can tell a repeated call from a new one.
const KeyHeader = "Idempotency-Key"

// Client is a client for one service at an address such as "127.0.0.1:7201".
type Client struct {
	server httpjson.Client
}

// NewClient returns a Client for the service at addr. A nil httpClient means
// http.DefaultClient.
func NewClient(addr string, httpClient *http.Client) *Client {
	return &Client{server: httpjson.NewClient("http://"+addr, httpClient)}
}

// Call calls method with body under key and returns the response's body, a JSON value.
// Errors carry a verdict (see verdict.Of): the call was not run if the service was not
// reached or says so; it ran if the status is not 2xx or the body exceeds httpjson.MaxBody
// bytes; after any other error it may have run.
//
// A call that is not idempotent is sent at most once: net/http would otherwise resend a
// request with an Idempotency-Key header on its own when a reused connection breaks
// before the response.
func (c *Client) Call(ctx context.Context, method, key string, idempotent bool, body json.RawMessage) (json.RawMessage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.server.BaseURL+"/v1/calls/"+method, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if !idempotent {
		req.GetBody = nil // net/http never resends a request whose body cannot be rewound
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
	b, err := io.ReadAll(io.LimitReader(resp.Body, httpjson.MaxBody+1))
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, err)
	}
	tooLarge := len(b) > httpjson.MaxBody
	if tooLarge {
		b = b[:httpjson.MaxBody]
	}
	if resp.StatusCode/100 != 2 {
		ran := verdict.Ran
		if resp.Header.Get(verdict.Header) == verdict.NotRun.String() {
			ran = verdict.NotRun
		}
		return nil, verdict.New(ran, http.StatusBadGateway, &httpjson.StatusError{Status: resp.StatusCode, Body: string(b)})
	}
	if tooLarge {
		return nil, verdict.New(verdict.Ran, http.StatusBadGateway, fmt.Errorf("service: response body exceeds %d bytes", httpjson.MaxBody))
	}
	if !json.Valid(b) { // a body without a length may have been cut off
		return nil, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, fmt.Errorf("service: response of %d bytes is not JSON", len(b)))
	}
	return b, nil
}
