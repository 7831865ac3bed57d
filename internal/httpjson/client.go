package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Client sends JSON requests to one server. The clients of the protocols are
// built on it.
type Client struct {
	BaseURL string // URL that paths are added to, such as "http://127.0.0.1:7101"
	HTTP    *http.Client
}

// NewClient returns a Client for the server at base. A nil hc means
// http.DefaultClient.
func NewClient(base string, hc *http.Client) Client {
	if hc == nil {
		hc = http.DefaultClient
	}
	return Client{BaseURL: base, HTTP: hc}
}

// Send sends in (nil for no body) to path with method and returns the answer,
// whatever its status. The caller closes its body.
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

// Do sends in as Send does and decodes a JSON answer into out (nil to discard
// it). An answer outside 2xx is a *StatusError.
func (c Client) Do(ctx context.Context, method, path string, in, out any) error {
	resp, err := c.Send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return NewStatusError(resp)
	}
	if out == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// maxReason is how much of a refusal's body is kept.
const maxReason = 4096

// NewStatusError returns the error of an answer whose status was not the one
// expected, with what its body says.
func NewStatusError(resp *http.Response) *StatusError {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxReason))
	return &StatusError{Status: resp.StatusCode, Header: resp.Header, Body: string(bytes.TrimSpace(b))}
}
