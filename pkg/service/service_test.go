package service_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/service"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Guards against a response that is cut at the bound and returned as if it were whole. The
// call of a response that is too large ran, so that its error must not allow a retry.
func TestLargestResponse(t *testing.T) {
	for _, c := range []struct {
		size int
		ok   bool
	}{{httpjson.MaxBody - 1, true}, {httpjson.MaxBody, true}, {httpjson.MaxBody + 1, false}} {
		for _, withLength := range []bool{true, false} {
			hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if withLength {
					w.Header().Set("Content-Length", strconv.Itoa(c.size))
				} else if err := http.NewResponseController(w).Flush(); err != nil {
					return
				}
				_, _ = io.WriteString(w, `"`+strings.Repeat("x", c.size-2)+`"`) // fails if the client has refused the response
			}))
			b, err := service.NewClient(strings.TrimPrefix(hs.URL, "http://"), nil).Call(context.Background(), "m", "k", false, nil)
			hs.Close()
			var ve *verdict.Error
			if c.ok && (err != nil || len(b) != c.size) || !c.ok && (!errors.As(err, &ve) || verdict.Of(err) != verdict.Ran || len(b) != 0) {
				t.Errorf("response of %d bytes, with length %v: got %d bytes, %v", c.size, withLength, len(b), err)
			}
		}
	}
}
