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

// maxRelayed bounds the calls under way for peers: each instance that is cut off
// has about five, four of which wait for changes of a table.
const maxRelayed = 64

// StoreServer makes calls of the platform's store for peers that cannot reach it.
// Peers are not authenticated: the store itself is open to every machine of the
// site's network, so that a peer is given nothing that it could not ask for.
type StoreServer struct {
	store platform.Store              // as reached directly: calls are passed on once
	ping  func(context.Context) error // whether it is
	start func(func() error)
	room  chan struct{}
	watch WatchServer // nil for none
}

// NewStoreServer returns a StoreServer for store as this instance reaches it
// itself. watch answers those who watch tables, nil for nobody. start starts a goroutine of the instance's group.
func NewStoreServer(store platform.Store, ping func(context.Context) error, watch WatchServer, start func(func() error)) *StoreServer {
	return &StoreServer{store: store, ping: ping, watch: watch, start: start, room: make(chan struct{}, maxRelayed)}
}

// Serve serves the one call of a stream. A caller that closes the stream takes its
// call back.
func (s *StoreServer) Serve(ctx context.Context, stream net.Conn) {
	call := &peerpb.StoreCall{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(newByteReader(stream), call); err != nil {
		return // nobody waits for an answer
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.start(func() error {
		defer cancel()
		_, _ = io.Copy(io.Discard, stream) // until it is closed at either end
		return nil
	})
	if w := call.GetWatch(); w != nil && s.watch != nil {
		serveWatch(ctx, s.watch, w, stream)
		return
	}
	// An answer that cannot be written is one that nobody waits for.
	_, _ = protodelim.MarshalTo(stream, s.answer(ctx, call))
}

var errBusy = errors.New("peer: too many calls for other instances")

func (s *StoreServer) answer(ctx context.Context, call *peerpb.StoreCall) *peerpb.StoreAnswer {
	select {
	case s.room <- struct{}{}:
		defer func() { <-s.room }()
	default:
		return failed(fmt.Errorf("%w: %w", platform.ErrNotApplied, errBusy))
	}
	a := &peerpb.StoreAnswer{}
	if err := s.carryOut(ctx, call, a); err != nil {
		return failed(err)
	}
	a.Outcome = peerpb.StoreAnswer_DONE
	return a
}

// carryOut makes the call and fills in what the store answered.
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
	return errors.New("unknown call")
}
