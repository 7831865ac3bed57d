package httpjson_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
)

// Guards against a server that sends a response without end: it was decoded, or discarded,
// until the call timed out, and all of it was held.
func TestResponseLimit(t *testing.T) {
	const limit = 1000
	for name, row := range map[string]struct {
		size    int // of the response; 0 for one without end
		discard bool
		want    error
	}{
		"at the limit":               {size: limit},
		"over the limit":             {size: limit + 1, want: httpjson.ErrResponseTooLarge},
		"without end":                {want: httpjson.ErrResponseTooLarge},
		"without end, not looked at": {discard: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if row.size > 0 {
					_, _ = io.WriteString(w, `"`+strings.Repeat("x", row.size-2)+`"`) // the test reports what was read
					return
				}
				_, err := io.WriteString(w, `"`)
				for err == nil {
					_, err = io.WriteString(w, strings.Repeat("x", 4096))
				}
				close(closed)
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			c := httpjson.NewClient(server.URL, nil)
			c.MaxResponse = limit
			var got string
			out := any(&got)
			if row.discard {
				out = nil
			}
			if err := c.Do(ctx, http.MethodGet, "/", nil, out); !errors.Is(err, row.want) || (err == nil) != (row.want == nil) {
				t.Errorf("got %v, want %v", err, row.want)
			}
			if row.size == 0 {
				select {
				case <-closed:
				case <-time.After(5 * time.Second):
					t.Error("the connection was not closed")
				}
			}
		})
	}
}

// Guards against status 200 with an empty body for a value that cannot be encoded.
func TestUnencodableResponse(t *testing.T) {
	w := httptest.NewRecorder()
	httpjson.Write(w, http.StatusOK, json.RawMessage("{"))
	if w.Code != http.StatusInternalServerError || w.Body.Len() == 0 {
		t.Errorf("got status %d and body %q, want 500 and the reason", w.Code, w.Body)
	}
	w = httptest.NewRecorder()
	if httpjson.Write(w, http.StatusCreated, map[string]int{"a": 1}); w.Code != http.StatusCreated || w.Body.String() != "{\"a\":1}\n" {
		t.Errorf("got status %d and body %q", w.Code, w.Body)
	}
}
