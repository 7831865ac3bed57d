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

// Client speaks to one entry instance, as callers and trainers do. Its errors
// are *verdict.Error: whether the request may have run, and when to come back.
type Client struct {
	server httpjson.Client
}

// NewClient returns a Client for the instance at addr, such as
// "127.0.0.1:7400". A nil hc means http.DefaultClient.
func NewClient(addr string, hc *http.Client) *Client {
	return &Client{server: httpjson.NewClient("http://"+addr, hc)}
}

// WithKey returns a Client like c that shows an API key with each request.
func (c *Client) WithKey(key string) *Client {
	hc := *c.server.HTTP
	hc.Transport = keyed{hc.Transport, key}
	return &Client{server: httpjson.NewClient(c.server.Base, &hc)}
}

// keyed adds a key to requests.
type keyed struct {
	next http.RoundTripper // nil for the default
	key  string
}

func (k keyed) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(KeyHeader, k.key)
	if k.next == nil {
		return http.DefaultTransport.RoundTrip(r)
	}
	return k.next.RoundTrip(r)
}

// GenerateResponse is what a generation came to. It is whole if Last has Done set;
// else Last tells the error and whether the generation may have run.
type GenerateResponse struct {
	Status int // of the HTTP answer
	Text   string
	Last   Event
}

// Generate sends req and reads its answer to the end. An error is of the
// connection or of an answer that can't be read, with what came before it;
// refusals are in the Answer.
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
			return a, fmt.Errorf("entry: bad event %q: %w", sc.Bytes(), err)
		}
		text.WriteString(a.Last.Text)
	}
	a.Text = text.String()
	return a, sc.Err()
}

// Route returns the instance that a customer's requests with this key should
// go to, and until when to keep that answer.
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

// SetTargetVersion names a new weight version for the pool of a training entry.
// It may be repeated after any error.
func (c *Client) SetTargetVersion(ctx context.Context, req WeightsRequest) error {
	return c.do(ctx, http.MethodPost, "/v1/weights", req, nil)
}

// SubmitStep submits a training step, which is kept once it returns nil. It
// may be repeated after any error.
func (c *Client) SubmitStep(ctx context.Context, spec step.Spec) error {
	return c.do(ctx, http.MethodPost, "/v1/steps", spec, nil)
}

// Step returns how far the step id of a customer's entry has got.
func (c *Client) Step(ctx context.Context, customer, entry, id string) (StepStatus, error) {
	var st StepStatus
	err := c.do(ctx, http.MethodGet, stepPath(customer, entry, id), nil, &st)
	return st, err
}

// CancelStep ends a step: no more of it is delivered. It may be repeated after
// any error.
func (c *Client) CancelStep(ctx context.Context, customer, entry, id string) error {
	return c.do(ctx, http.MethodDelete, stepPath(customer, entry, id), nil, nil)
}

func stepPath(customer, entry, id string) string {
	return fmt.Sprintf("/v1/steps/%s/%s/%s", url.PathEscape(customer), url.PathEscape(entry), url.PathEscape(id))
}

// do sends in and decodes the answer into out; either may be nil.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	return clientError(c.server.Do(ctx, method, path, in, out), time.Now())
}

// clientError returns err as a *verdict.Error: with the verdict that the
// instance told, or else not run if no connection could be made.
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
	v, _ := verdict.Parse(se.Header.Get(verdict.Header)) // Unknown reads as may have run
	e := verdict.New(v, se.Status, err)
	if s, err := strconv.Atoi(se.Header.Get("Retry-After")); err == nil {
		e.RetryAt = now.Add(time.Duration(s) * time.Second)
	}
	return e
}
