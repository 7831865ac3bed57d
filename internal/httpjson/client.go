package httpjson

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Client sends JSON requests to one server. The clients of zinnialadder's HTTP protocols
// use it.
type Client struct {
	BaseURL string // URL that request paths are appended to, such as "http://127.0.0.1:7101"
	HTTP    *http.Client
	// MaxResponse is the largest response body that Do decodes, in bytes. 0 means 64 MB, which
	// is enough for all rows of a platform.
	MaxResponse int64
	// MaxError is the largest part of an error response's body that a StatusError of Do
	// holds, in bytes. 0 means 4,096 bytes, which is enough for messages.
	MaxError int64
}

// defaultMaxResponse is the default of Client.MaxResponse.
const defaultMaxResponse = 64 << 20

// maxDiscard is how many bytes of an unused body are read so that the connection can be
// reused.
const maxDiscard = 64 << 10

// ErrResponseTooLarge is wrapped by the error of Do for a body of more than MaxResponse
// bytes.
var ErrResponseTooLarge = errors.New("response exceeds its limit")

// NewClient returns a Client for the server at baseURL. If hc is nil, the Client uses
// http.DefaultClient.
func NewClient(baseURL string, hc *http.Client) Client {
	if hc == nil {
		hc = http.DefaultClient
	}
	return Client{BaseURL: baseURL, HTTP: hc}
}

// Send sends a request with the JSON encoding of in as its body, or without a body if in
// is nil, and returns the response, whatever its status. The caller must close the
// response's body.
func (c Client) Send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, body)
	if err != nil {
		return nil, err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return c.HTTP.Do(req)
}

// Do sends a request as Send does and decodes the JSON response into out, or discards it
// if out is nil. For a status other than 2xx the error is a *StatusError. A server may send a
// body without end: what exceeds a limit is not read, and the connection is closed.
func (c Client) Do(ctx context.Context, method, path string, in, out any) error {
	resp, err := c.Send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return newStatusError(resp, cmp.Or(c.MaxError, maxErrorBody))
	}
	if out == nil {
		_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
		return nil
	}
	limit := cmp.Or(c.MaxResponse, defaultMaxResponse)
	body := &io.LimitedReader{R: resp.Body, N: limit + 1}
	err = json.NewDecoder(body).Decode(out)
	if body.N == 0 {
		err = fmt.Errorf("%w of %d bytes", ErrResponseTooLarge, limit)
	}
	if err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// maxErrorBody is the number of bytes of a response's body that a StatusError holds by
// default, and that its message has.
const maxErrorBody = 4096

// NewStatusError returns the error for a response with an unexpected status. It reads the
// first maxErrorBody bytes of the body and does not close it.
func NewStatusError(resp *http.Response) *StatusError { return newStatusError(resp, maxErrorBody) }

// newStatusError is NewStatusError with another limit.
func newStatusError(resp *http.Response, limit int64) *StatusError {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, limit)) // of a body that is cut off, its start
	return &StatusError{Status: resp.StatusCode, Header: resp.Header, Body: string(bytes.TrimSpace(b))}
}
