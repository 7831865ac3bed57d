package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/tcp/tcptest"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
)

// Guards against a call that its caller has given up and that reaches its service when the
// broken network path to it works again.
func TestGivenUpCallIsNotDeliveredLater(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1, 1, enginetest.Config{})
	server := tcptest.Listen(t)
	f := catalogue.File{
		Pools: []catalogue.Pool{{Name: "silent", Kind: catalogue.Services, Upstreams: []catalogue.Upstream{{Address: server.Address, DataCentre: "loopback", State: catalogue.Live}}}},
		Entries: []catalogue.Entry{{Name: "held", Owner: "minho", Class: catalogue.Interactive, Pool: "silent",
			Limits: catalogue.Limits{MaxInFlight: 64, MaxTokens: 1}}},
	}
	if err := s.Apply(f); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	const size = 64 << 10
	body := json.RawMessage(`"` + strings.Repeat("x", size) + `"`)
	if _, err := entry.NewClient(s.Entries[0].Addr(), nil).Call(ctx, entry.CallRequest{Customer: "minho", Entry: "held", Method: "balance", Key: "k", Idempotent: true, Body: body}); err == nil {
		t.Fatal("the call succeeded without a response")
	}
	conn := server.Accept(t)
	time.Sleep(300 * time.Millisecond) // until the instance has seen that its caller is gone
	if n, err := tcptest.ReadRest(conn); !errors.Is(err, syscall.ECONNRESET) || n >= size {
		t.Errorf("the service read %d bytes of a given up call of %d, then %v, want fewer and a reset", n, size, err)
	}
}
