package platform_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
)

// Guards against a conflict with a large row that is not reported as one because only the
// start of the response was read, and against one that is taken for known although its
// response was cut off.
func TestConflictWithLargeRow(t *testing.T) {
	server := httptest.NewServer(platformtest.New().Handler())
	defer server.Close()
	c := platform.NewClient(server.URL, nil)
	for _, size := range []int{1, 2 << 10, 4 << 10, 512 << 10} {
		op := platform.Op{Key: fmt.Sprint("k", size), Value: fmt.Appendf(nil, "%q", bytes.Repeat([]byte("x"), size))}
		if _, err := c.Commit(t.Context(), op); err != nil {
			t.Fatal(err)
		}
		_, err := c.Commit(t.Context(), op)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || !bytes.Equal(conflict.Current.Value, op.Value) {
			t.Errorf("row of %d bytes: got %.100v, want a conflict with its value", size, err)
		}
	}
	cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"key":"k","current":{`) // the test reports what was read
	}))
	defer cut.Close()
	if _, err := platform.NewClient(cut.URL, nil).Commit(t.Context(), platform.Op{Key: "k"}); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("conflict that is cut off: got %v, want ErrUnavailable", err)
	}
}
