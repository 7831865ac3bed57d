package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// An idempotency key that is reused for a different request must be rejected. It must not
// return the response of the first request.
func TestIdempotencyKeyOfAnotherRequest(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	call := func(method, body string) (entry.CallResponse, error) {
		return entry.NewClient(s.Entries[0].Addr(), nil).Call(context.Background(), entry.CallRequest{Customer: "minho", Entry: "plans",
			Method: method, Key: "k1", Body: json.RawMessage(body)})
	}
	if _, err := call("log", `{"plan":1}`); err != nil {
		t.Fatal(err)
	}
	if ans, err := call("log", `{"plan":1}`); err != nil || !ans.Replayed {
		t.Fatalf("same request again: got %+v, %v; want a replayed response", ans, err)
	}
	for _, other := range [][2]string{{"log", `{"plan":2}`}, {"cancel", `{"plan":1}`}} {
		if ans, err := call(other[0], other[1]); statusOf(t, err) != http.StatusUnprocessableEntity || verdict.Of(err) != verdict.NotRun {
			t.Fatalf("reused key with %v: got %+v, %v; want status 422 and not_run", other, ans, err)
		}
	}
}

// Invalid calls must be rejected as not_run with the reason.
func TestInvalidCallIsRejected(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	post := func(path, body string) (int, string) {
		resp, err := http.Post("http://"+s.Entries[0].Addr()+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		if v := resp.Header.Get(verdict.Header); v != verdict.NotRun.String() {
			t.Fatalf("%s: got verdict %q (status %d %s), want not_run", path, v, resp.StatusCode, b)
		}
		return resp.StatusCode, string(b)
	}
	for _, c := range []struct {
		body, names string
		status      int
	}{
		{`{"customer":"minho","entry":"plans","method":"log","key":"a\u0001b","body":{}}`, "control character", http.StatusBadRequest},
		{`{"customer":"minho","entry":"plans","method":"lo\u0007g","key":"a","body":{}}`, "control character", http.StatusBadRequest},
		{`{"customer":"minho","entry":"plans","method":"log","key":"a","body":"` + strings.Repeat("x", 20<<20) + `"}`, "1048576 bytes", http.StatusRequestEntityTooLarge},
		{`{"customer":"minho","entry":"plans","method":"log","key":"a","body":{}}` + strings.Repeat(" ", 20<<20), "1048576 bytes", http.StatusRequestEntityTooLarge},
	} {
		if status, body := post("/v1/call", c.body); status != c.status || !strings.Contains(body, c.names) {
			t.Errorf("%.80s: got %d %s, want %d and a text with %q", c.body, status, body, c.status, c.names)
		}
	}
}

// A request for the route of an unknown customer must not disclose an address.
func TestRouteOfUnknownCustomer(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	for customer, want := range map[string]int{"minho": http.StatusOK, "nobody": http.StatusNotFound} {
		resp, err := http.Get("http://" + s.Entries[0].Addr() + "/v1/route?customer=" + customer)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("route of customer %s: got status %d, want %d", customer, resp.StatusCode, want)
		}
	}
}
