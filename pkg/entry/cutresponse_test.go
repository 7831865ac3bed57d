package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/service"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// partialResponse is a part of a response, after which its connection is closed or reset.
type partialResponse struct {
	text  string
	reset bool
}

// requestsKey is the context key of the number of requests that a connection has carried.
type requestsKey struct{}

// servePartial starts a server and returns its address. Its responses are those of whole,
// unless partial returns a part to be sent instead. used tells whether the connection has
// carried a request before.
func servePartial(t testing.TB, whole http.HandlerFunc, partial func(r *http.Request, used bool) *partialResponse) string {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests := r.Context().Value(requestsKey{}).(*int)
		*requests++
		p := partial(r, *requests > 1)
		if p == nil {
			whole(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, p.text)
		if p.reset {
			time.Sleep(5 * time.Millisecond) // lets the client read before
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, requestsKey{}, new(int))
	}
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// caseHeader marks the requests of a case. Clients of other tests on the machine may still
// send requests to an address that was theirs.
const caseHeader = "Case"

// caseTransport adds caseHeader to requests.
type caseTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c caseTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set(caseHeader, "1")
	return c.RoundTripper.RoundTrip(r)
}

// framedResponses returns a response with the given body in the framings of HTTP.
func framedResponses(body string) map[string]string {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	half := len(body) / 2
	return map[string]string{
		"length":          fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks":          fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, half, body[:half], len(body)-half, body[half:]),
		"until the close": head + "Connection: close\r\n\r\n" + body,
	}
}

// Guards against a response that the clients of engines, services, trainers, the platform
// and entry instances take for whole although its connection was closed or reset before the
// end of its JSON.
func TestCutResponsesAreErrors(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	for _, tt := range []struct {
		name, body string
		call       func(addr string, hc *http.Client) error
	}{
		{"service call", `{"a":[1,2]}`, func(addr string, hc *http.Client) error {
			_, err := service.NewClient(addr, hc).Call(ctx, "m", "k", false, json.RawMessage(`{}`))
			if err != nil && verdict.Of(err) != verdict.MayHaveRun {
				t.Errorf("service call: verdict %v of %v, want that it may have run", verdict.Of(err), err)
			}
			return err
		}},
		{"generation", `{"request_id":"r","text":"a"}` + "\n" + `{"request_id":"r","index":1,"done":true}`, func(addr string, hc *http.Client) error {
			s, err := engine.NewClient(addr, hc).Generate(ctx, engine.GenerateRequest{RequestID: "r", MaxTokens: 1})
			if err != nil {
				return err
			}
			defer s.Close()
			for {
				if c, err := s.Next(); err != nil || c.Done {
					return err
				}
			}
		}},
		{"load report", `{"active":1,"weight_version":3}`, func(addr string, hc *http.Client) error {
			_, err := engine.NewClient(addr, hc).LoadReport(ctx)
			return err
		}},
		{"request status", `{"state":"running"}`, func(addr string, hc *http.Client) error {
			_, err := engine.NewClient(addr, hc).RequestStatus(ctx, "r")
			return err
		}},
		{"delivery", `{"new":["a"],"duplicate":[]}`, func(addr string, hc *http.Client) error {
			_, err := trainer.NewClient(addr, hc).Deliver(ctx, trainer.Group{Samples: []trainer.Sample{{ID: "a"}}})
			return err
		}},
		{"row", `{"key":"k","version":3,"value":"aGVsbG8="}`, func(addr string, hc *http.Client) error {
			_, err := platform.NewClient("http://"+addr, hc).Get(ctx, "k")
			return err
		}},
		{"transaction", `{"rows":[{"key":"k","version":3}]}`, func(addr string, hc *http.Client) error {
			_, err := platform.NewClient("http://"+addr, hc).Commit(ctx, platform.Op{Key: "k"})
			return err
		}},
		{"object", `"aGVsbG8="`, func(addr string, hc *http.Client) error {
			_, err := platform.NewClient("http://"+addr, hc).GetObject(ctx, "k")
			return err
		}},
		{"entry instance", `{"body":{"a":1}}`, func(addr string, hc *http.Client) error {
			_, err := entry.NewClient(addr, hc).Call(ctx, entry.CallRequest{Customer: "c"})
			return err
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var group errgroup.Group
			group.SetLimit(8)
			calls := 0
			for framing, message := range framedResponses(tt.body) {
				for i, end := range []struct{ reset, reused bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
					for n := i % 3; n < strings.LastIndex(message, tt.body[len(tt.body)-1:]); n += 3 {
						calls++
						group.Go(func() error {
							var cut atomic.Bool
							addr := servePartial(t, func(w http.ResponseWriter, _ *http.Request) {
								_, _ = io.WriteString(w, tt.body) // fails if the client has gone
							}, func(r *http.Request, used bool) *partialResponse {
								if r.Header.Get(caseHeader) == "" {
									t.Logf("%s, part of %d bytes: %s %s of another client", framing, n, r.Method, r.URL)
									return nil
								}
								if used != end.reused || cut.Swap(true) {
									return nil
								}
								return &partialResponse{message[:n], end.reset}
							})
							transport := &http.Transport{}
							defer transport.CloseIdleConnections()
							hc := &http.Client{Transport: caseTransport{transport}}
							err := tt.call(addr, hc)
							if end.reused {
								if err != nil {
									t.Errorf("whole response: %v", err)
								}
								err = tt.call(addr, hc)
							}
							// A GET of which nothing is answered on a reused connection is sent again.
							if err == nil && (n > 0 || !end.reused) {
								t.Errorf("%s, part of %d bytes, reset %v, reused %v: taken for whole", framing, n, end.reset, end.reused)
							}
							return nil
						})
					}
				}
			}
			_ = group.Wait() // the functions return nil
			t.Logf("%d cut responses", calls)
		})
	}
}

// Guards against callers who get status 200 and no body for a call whose response was cut, or
// is not JSON: the status was sent before it was known that the response cannot be encoded.
func TestCallersOfCutServiceResponses(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	const body = `{"a":[1,2]}`
	var parts []partialResponse
	for _, message := range framedResponses(body) {
		for n := 0; n < len(message); n += 7 {
			parts = append(parts, partialResponse{message[:n], false}, partialResponse{message[:n], true})
		}
	}
	for _, notJSON := range []string{"", "{", `{"a":1}}`, "hello"} {
		parts = append(parts, partialResponse{framedResponses(notJSON)["length"], false})
	}
	var mu sync.Mutex
	runs := map[string]int{}
	addrs := make([]catalogue.Upstream, 3)
	for i := range addrs {
		addr := servePartial(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body) // fails if the instance has gone
		}, func(r *http.Request, _ bool) *partialResponse {
			mu.Lock()
			defer mu.Unlock()
			key := r.Header.Get(service.KeyHeader)
			runs[key]++
			var part int
			if _, err := fmt.Sscanf(key, "cut-%d-", &part); err != nil || runs[key] > 1 {
				return nil
			}
			return &parts[part]
		})
		addrs[i] = catalogue.Upstream{Address: addr, DataCentre: "loopback", State: catalogue.Live}
	}
	if err := s.Apply(cutServices(s, addrs)); err != nil {
		t.Fatal(err)
	}
	client := entry.NewClient(s.Entries[0].Addr(), nil)
	for part, p := range parts {
		for _, idempotent := range []bool{true, false} {
			for i := range 5 { // the budget of retries grows by a share of the calls
				if status := lookupAt(t, client, fmt.Sprintf("whole-%d-%v-%d", part, idempotent, i)); status != http.StatusOK {
					t.Errorf("whole response: status %d", status)
				}
			}
			key := fmt.Sprintf("cut-%d-%v", part, idempotent)
			resp, err := client.Call(t.Context(), entry.CallRequest{Customer: "minho", Entry: "cuts", Method: "m", Key: key, Idempotent: idempotent, Body: json.RawMessage(`{}`)})
			mu.Lock()
			n := runs[key]
			mu.Unlock()
			var ve *verdict.Error
			switch {
			case idempotent && (err != nil || string(resp.Body) != body):
				t.Errorf("%q, reset %v: got %q, %v, want the response of another service", p.text, p.reset, resp.Body, err)
			case !idempotent && (!errors.As(err, &ve) || ve.Status != http.StatusBadGateway || ve.Verdict != verdict.MayHaveRun || n != 1):
				t.Errorf("%q, reset %v, once: got %q, %v after %d runs, want 502 after one", p.text, p.reset, resp.Body, err, n)
			}
		}
	}
	t.Logf("%d partial responses", 2*len(parts))
}

// cutServices returns a catalogue with an entry whose services are ups.
func cutServices(s *site.Site, ups []catalogue.Upstream) catalogue.File {
	return catalogue.File{
		Pools:   []catalogue.Pool{s.EnginePool("assistant-pool"), {Name: "cut-pool", Kind: catalogue.Services, Upstreams: ups}},
		Entries: []catalogue.Entry{{Name: "cuts", Owner: "minho", Class: catalogue.Interactive, Pool: "cut-pool", Limits: catalogue.Limits{MaxInFlight: 64, MaxTokens: 1}}},
	}
}

// lookupAt sends one idempotent call and returns the response status.
func lookupAt(t testing.TB, client *entry.Client, key string) int {
	t.Helper()
	_, err := client.Call(t.Context(), entry.CallRequest{Customer: "minho", Entry: "cuts", Method: "m", Key: key, Idempotent: true, Body: json.RawMessage(`{}`)})
	return statusOf(t, err)
}
