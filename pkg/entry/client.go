package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Client is an HTTP client of one entry instance, for callers and trainers. Except for
// Generate, its methods return errors of type *verdict.Error, which tell whether the
// request may have run and when to retry.
type Client struct {
	server httpjson.Client
}

// NewClient returns a Client for the instance at addr, such as
// "127.0.0.1:7400". A nil hc means http.DefaultClient.
func NewClient(addr string, hc *http.Client) *Client {
	return &Client{server: httpjson.NewClient("http://"+addr, hc)}
}

// WithKey returns a Client like c that sends an API key with each request.
func (c *Client) WithKey(key string) *Client {
	hc := *c.server.HTTP
	hc.Transport = keyTransport{hc.Transport, key}
	return &Client{server: httpjson.NewClient(c.server.BaseURL, &hc)}
}

// keyTransport is a http.RoundTripper that adds an API key to requests.
type keyTransport struct {
	next http.RoundTripper // nil means http.DefaultTransport
	key  string
}

func (k keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(KeyHeader, k.key)
	if k.next == nil {
		return http.DefaultTransport.RoundTrip(r)
	}
	return k.next.RoundTrip(r)
}

// GenerateResponse is the result of a generation. The generation is complete if Last.Done
// is set. Otherwise Last holds the error and the verdict, which tells whether the
// generation may have run.
type GenerateResponse struct {
	Status int // HTTP status code
	Text   string
	Last   Event
}

// Generate sends req and reads the response to its end. A rejected or failed generation is
// reported in the GenerateResponse, not as an error. If the connection fails or an event is
// malformed, Generate returns an error with the response received until then.
func (c *Client) Generate(ctx context.Context, req GenerateRequest) (GenerateResponse, error) {
	resp, err := c.server.Send(ctx, http.MethodPost, "/v1/generate", req)
	if err != nil {
		return GenerateResponse{}, clientError(err, time.Now())
	}
	defer resp.Body.Close()
	a := GenerateResponse{Status: resp.StatusCode}
	var text strings.Builder
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(nil, httpjson.MaxBody)
	for sc.Scan() {
		a.Last = Event{}
		if err := json.Unmarshal(sc.Bytes(), &a.Last); err != nil {
			return a, fmt.Errorf("entry: decode event %q of /v1/generate: %w", sc.Bytes(), err)
		}
		text.WriteString(a.Last.Text)
	}
	a.Text = text.String()
	return a, sc.Err()
}

// Route returns the instance to which a customer's requests with this key should be sent,
// and how long that holds.
func (c *Client) Route(ctx context.Context, customer, key string) (RouteResponse, error) {
	var ra RouteResponse
	q := url.Values{"customer": {customer}, "key": {key}}
	err := c.do(ctx, http.MethodGet, "/v1/route?"+q.Encode(), nil, &ra)
	return ra, err
}

// Call sends a plain service call.
func (c *Client) Call(ctx context.Context, req CallRequest) (CallResponse, error) {
	var ans CallResponse
	err := c.do(ctx, http.MethodPost, "/v1/call", req, &ans)
	return ans, err
}

// SetTargetVersion sets the target weight version of the pool of a training entry. It is
// safe to retry after any error.
func (c *Client) SetTargetVersion(ctx context.Context, req WeightsRequest) error {
	return c.do(ctx, http.MethodPost, "/v1/weights", req, nil)
}

// SubmitStep submits a training step. Once it returns nil, the step is stored. It is safe
// to retry after any error.
func (c *Client) SubmitStep(ctx context.Context, spec step.Spec) error {
	return c.do(ctx, http.MethodPost, "/v1/steps", spec, nil)
}

// Step returns the progress of the step id of a customer's entry.
func (c *Client) Step(ctx context.Context, customer, entry, id string) (StepStatus, error) {
	var st StepStatus
	err := c.do(ctx, http.MethodGet, stepPath(customer, entry, id), nil, &st)
	return st, err
}

// CancelStep cancels a step: no more of its samples are delivered. It is safe to retry
// after any error.
func (c *Client) CancelStep(ctx context.Context, customer, entry, id string) error {
	return c.do(ctx, http.MethodDelete, stepPath(customer, entry, id), nil, nil)
}

func stepPath(customer, entry, id string) string {
	return fmt.Sprintf("/v1/steps/%s/%s/%s", url.PathEscape(customer), url.PathEscape(entry), url.PathEscape(id))
}

// do sends in as the JSON request body and decodes the response into out. Either may be
// nil.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	return clientError(c.server.Do(ctx, method, path, in, out), time.Now())
}

// clientError converts err to a *verdict.Error. The verdict is the one that the instance
// sent, or NotRun if no connection was made, or else MayHaveRun.
func clientError(err error, now time.Time) error {
	var se *httpjson.StatusError
	switch {
	case err == nil:
		return nil
	case httpjson.NotSent(err):
		return verdict.New(verdict.NotRun, 0, err)
	case !errors.As(err, &se):
		return verdict.New(verdict.MayHaveRun, 0, err)
	}
	v, _ := verdict.Parse(se.Header.Get(verdict.Header)) // a missing verdict is Unknown, which counts as MayHaveRun
	e := verdict.New(v, se.Status, err)
	if s, err := strconv.Atoi(se.Header.Get("Retry-After")); err == nil {
		e.RetryAt = now.Add(time.Duration(s) * time.Second)
	}
	return e
}
