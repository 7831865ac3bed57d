package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
)

// Client is a client for one platform endpoint. It is safe for concurrent use.
type Client struct {
	server  httpjson.Client
	timeout time.Duration // for each call; 0 for no limit but that of the context
}

// NewClient returns a Client for the platform at base, such as "http://127.0.0.1:7000".
// A nil httpClient means http.DefaultClient.
func NewClient(base string, httpClient *http.Client) *Client {
	server := httpjson.NewClient(base, httpClient)
	server.MaxError = maxConflict
	return &Client{server: server}
}

// maxConflict limits the body of a response to a commit whose condition failed, in bytes. It
// holds a row, whose value was written with a body of at most httpjson.MaxBody bytes.
const maxConflict = 2 * httpjson.MaxBody

// WithTimeout returns a copy of c whose calls end after timeout.
func (c *Client) WithTimeout(timeout time.Duration) *Client {
	copied := *c
	copied.timeout = timeout
	return &copied
}

// Get returns the row at key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var r Row
	err := c.do(ctx, http.MethodGet, "/v1/rows/"+url.PathEscape(key), nil, &r)
	return r, err
}

// Scan returns every row whose key starts with prefix, in key order.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var r ScanResult
	err := c.do(ctx, http.MethodGet, "/v1/rows?prefix="+url.QueryEscape(prefix), nil, &r)
	return r.Rows, err
}

// ScanLimit returns the first rows that Scan would return, up to limit.
func (c *Client) ScanLimit(ctx context.Context, prefix string, limit int) ([]Row, error) {
	var r ScanResult
	err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/rows?prefix=%s&limit=%d", url.QueryEscape(prefix), limit), nil, &r)
	return r.Rows, err
}

// Commit applies ops atomically. The error is a *ConflictError if a condition failed,
// and an ErrUnavailable if the outcome is unknown.
func (c *Client) Commit(ctx context.Context, ops ...Op) ([]Row, error) {
	var r TxnResult
	err := c.do(ctx, http.MethodPost, "/v1/commit", Txn{Ops: ops}, &r)
	return r.Rows, err
}

// PutObject stores data under name, replacing any object there.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.do(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), data, nil)
}

// GetObject returns the object stored under name, or ErrNotFound.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var b []byte
	err := c.do(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil, &b)
	return b, err
}

// DeleteObject deletes the object stored under name, if there is one.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	return c.do(ctx, http.MethodDelete, "/v1/objects/"+url.PathEscape(name), nil, nil)
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	err := c.server.Do(ctx, method, path, in, out)
	if err == nil {
		return nil
	}
	var se *httpjson.StatusError
	if !errors.As(err, &se) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	switch se.Status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return decodeConflict(se.Body)
	case http.StatusBadRequest:
		return fmt.Errorf("platform: refused: %s", se.Body)
	default:
		return fmt.Errorf("%w: %v", ErrUnavailable, se)
	}
}
