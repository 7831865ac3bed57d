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

// ErrStaleFencing is returned by Load when the engine refused the order because it has
// accepted one with a higher fencing token.
var ErrStaleFencing = errors.New("engine: stale fencing token")

// Client is a client for one engine at an address such as "127.0.0.1:7101".
type Client struct {
	server httpjson.Client
}

// NewClient returns a Client for the engine at addr. A nil httpClient means
// http.DefaultClient.
func NewClient(addr string, httpClient *http.Client) *Client {
	server := httpjson.NewClient("http://"+addr, httpClient)
	server.MaxResponse = httpjson.MaxBody
	return &Client{server: server}
}

// Stream is an open generation. Call Next until it returns a chunk with Done set or an
// error, then Close.
type Stream struct {
	// Load is the load that the engine sent with its response, if HasLoad is set.
	Load    Load
	HasLoad bool

	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Generate opens a generation stream. If it returns an error, no chunk was received;
// whether the engine has started to work is unknown.
func (c *Client) Generate(ctx context.Context, req GenerateRequest) (*Stream, error) {
	resp, err := c.server.Send(ctx, http.MethodPost, "/v1/generate", req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, httpjson.NewStatusError(resp)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 64<<10), httpjson.MaxBody)
	s := &Stream{body: resp.Body, scanner: scanner}
	s.Load, s.HasLoad = parseLoad(resp.Header.Get(LoadHeader))
	return s, nil
}

// Next returns the next chunk. If the stream has ended, it returns io.ErrUnexpectedEOF,
// also after a chunk with Done set. An error that the engine sent in a chunk is returned
// with that chunk.
func (s *Stream) Next() (Chunk, error) {
	if !s.scanner.Scan() {
		if err := s.scanner.Err(); err != nil {
			return Chunk{}, err
		}
		return Chunk{}, io.ErrUnexpectedEOF
	}
	var c Chunk
	if err := json.Unmarshal(s.scanner.Bytes(), &c); err != nil {
		return Chunk{}, fmt.Errorf("engine: decode chunk: %w", err)
	}
	if c.Error != "" {
		return c, fmt.Errorf("engine: %s", c.Error)
	}
	return c, nil
}

// Close releases the stream.
func (s *Stream) Close() error { return s.body.Close() }

// Load orders the engine to load a weight version and waits until it has. It returns
// ErrStaleFencing for an order with a stale fencing token. After any other error the
// outcome is unknown.
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
