package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
)

// ErrStaleFencing is returned by Load when the engine refused the order
// because it has obeyed a higher fencing number.
var ErrStaleFencing = errors.New("engine: stale fencing number")

// Client speaks to one engine at an address such as "127.0.0.1:7101".
type Client struct {
	server httpjson.Client
}

// NewClient returns a Client for the engine at addr. A nil hc means
// http.DefaultClient.
func NewClient(addr string, hc *http.Client) *Client {
	return &Client{server: httpjson.NewClient("http://"+addr, hc)}
}

// Stream is an open generation. Call Next until it returns io.EOF, then Close.
type Stream struct {
	// Load is the engine's load as it told when it took the request, if
	// HasLoad is set.
	Load    Load
	HasLoad bool

	body io.ReadCloser
	sc   *bufio.Scanner
}

// Generate opens a generation stream. An error from Generate means no
// chunk was produced; whether the engine started work is unknown.
func (c *Client) Generate(ctx context.Context, req GenerateRequest) (*Stream, error) {
	resp, err := c.server.Send(ctx, http.MethodPost, "/v1/generate", req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, httpjson.Refused(resp)
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 0, 64<<10), httpjson.MaxBody)
	s := &Stream{body: resp.Body, sc: sc}
	s.Load, s.HasLoad = parseLoad(resp.Header.Get(LoadHeader))
	return s, nil
}

// Next returns the next chunk, or io.EOF after the last one. A stream that
// ends without a Done chunk returns io.ErrUnexpectedEOF.
func (s *Stream) Next() (Chunk, error) {
	if !s.sc.Scan() {
		if err := s.sc.Err(); err != nil {
			return Chunk{}, err
		}
		return Chunk{}, io.ErrUnexpectedEOF
	}
	var c Chunk
	if err := json.Unmarshal(s.sc.Bytes(), &c); err != nil {
		return Chunk{}, fmt.Errorf("engine: bad chunk: %w", err)
	}
	if c.Error != "" {
		return c, fmt.Errorf("engine: %s", c.Error)
	}
	return c, nil
}

// Close releases the stream.
func (s *Stream) Close() error { return s.body.Close() }

// Load orders the engine to load a weight version and waits until it has.
// It returns ErrStaleFencing for an order with an old fencing number; any
// other error leaves the outcome unknown.
func (c *Client) Load(ctx context.Context, o LoadOrder) error {
	err := c.server.Do(ctx, http.MethodPost, "/v1/load", o, nil)
	var se *httpjson.StatusError
	if errors.As(err, &se) && se.Status == http.StatusConflict {
		return ErrStaleFencing
	}
	return err
}

// LoadReport returns the engine's load report.
func (c *Client) LoadReport(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := c.server.Do(ctx, http.MethodGet, "/v1/load", nil, &r)
	return r, err
}
