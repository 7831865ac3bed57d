package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// maxCalls bounds the calls in flight for peers: each instance that is cut off from the
// store has about five, four of which wait for changes of a table.
const maxCalls = 64

// StoreServer makes calls to the platform's store on behalf of peers that cannot reach
// it. Peers are not authenticated: the store itself is open to every machine in the
// site's network, so a peer gains no access that it does not have already.
type StoreServer struct {
	store platform.Store              // reached directly, so that calls are passed on only once
	ping  func(context.Context) error // checks whether the store is reachable
	start func(func() error)
	slots chan struct{}
	watch WatchServer // nil to reject watches
}

// NewStoreServer returns a StoreServer for store, as this instance reaches it directly.
// watch serves watches of tables; nil rejects them. start starts a goroutine of the
// instance's group.
func NewStoreServer(store platform.Store, ping func(context.Context) error, watch WatchServer, start func(func() error)) *StoreServer {
	return &StoreServer{store: store, ping: ping, watch: watch, start: start, slots: make(chan struct{}, maxCalls)}
}

// Serve serves the single call of a stream. The call is cancelled when the caller closes
// the stream.
func (s *StoreServer) Serve(ctx context.Context, stream net.Conn) {
	call := &peerpb.StoreCall{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(newByteReader(stream), call); err != nil {
		return // the call was not received in full, so no caller waits for an answer
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.start(func() error {
		defer cancel()
		_, _ = io.Copy(io.Discard, stream) // until either end closes the stream
		return nil
	})
	if w := call.GetWatch(); w != nil && s.watch != nil {
		serveWatch(ctx, s.watch, w, stream)
		return
	}
	// If the answer cannot be written, the caller has gone.
	_, _ = protodelim.MarshalTo(stream, s.answer(ctx, call))
}

var errBusy = errors.New("peer: too many calls in flight for other instances")

func (s *StoreServer) answer(ctx context.Context, call *peerpb.StoreCall) *peerpb.StoreAnswer {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return errorAnswer(fmt.Errorf("%w: %w", platform.ErrNotApplied, errBusy))
	}
	a := &peerpb.StoreAnswer{}
	if err := s.carryOut(ctx, call, a); err != nil {
		return errorAnswer(err)
	}
	a.Outcome = peerpb.StoreAnswer_DONE
	return a
}

// carryOut makes the call and fills in the answer.
func (s *StoreServer) carryOut(ctx context.Context, call *peerpb.StoreCall, a *peerpb.StoreAnswer) error {
	switch c := call.GetCall().(type) {
	case *peerpb.StoreCall_Ping:
		return s.ping(ctx)
	case *peerpb.StoreCall_Get:
		row, err := s.store.Get(ctx, c.Get)
		a.Rows = storedRows([]platform.Row{row})
		return err
	case *peerpb.StoreCall_Scan:
		page, err := s.store.ScanFrom(ctx, c.Scan.GetPrefix(), c.Scan.GetFrom(), int(c.Scan.GetLimit()))
		a.Rows, a.More, a.Version = storedRows(page.Rows), page.More, page.Version
		return err
	case *peerpb.StoreCall_Changes:
		ch, err := s.store.Changes(ctx, c.Changes.GetTable(), c.Changes.GetAfter(), waitOf(call))
		for _, row := range ch.Rows {
			r := storedRow(row.Row)
			r.Deleted = row.Deleted
			a.Rows = append(a.Rows, r)
		}
		a.Version = ch.Version
		return err
	case *peerpb.StoreCall_Commit:
		rows, err := s.store.Commit(ctx, opsOf(c.Commit)...)
		a.Rows = storedRows(rows)
		return err
	case *peerpb.StoreCall_PutObject:
		return s.store.PutObject(ctx, c.PutObject.GetName(), c.PutObject.GetData())
	case *peerpb.StoreCall_GetObject:
		data, err := s.store.GetObject(ctx, c.GetObject)
		a.Object = data
		return err
	case *peerpb.StoreCall_DeleteObject:
		return s.store.DeleteObject(ctx, c.DeleteObject)
	}
	return errors.New("peer: unknown kind of call")
}
