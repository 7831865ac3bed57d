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
	cfg      StoreServerConfig
	slots    chan struct{}
	receiver *receiver
}

// StoreServerConfig configures a StoreServer.
type StoreServerConfig struct {
	Store platform.Store              // reached directly, so that calls are passed on only once
	Ping  func(context.Context) error // checks whether the store is reachable
	Watch WatchServer                 // serves watches of tables; nil to reject them
	Go    func(func() error)          // starts a goroutine of the instance's group
	// MemoryLimit is the memory limit of the process, in bytes. The calls of peers may take an
	// eighth of it beyond 16 KiB each, and another eighth limits how many there are at a time,
	// watches included. 0 means no limit.
	MemoryLimit int64
}

// NewStoreServer returns a StoreServer.
func NewStoreServer(cfg StoreServerConfig) *StoreServer {
	return &StoreServer{cfg: cfg, slots: make(chan struct{}, maxCalls), receiver: newReceiver(cfg.MemoryLimit)}
}

// Serve serves the single call of a stream. The call is cancelled when the caller closes
// the stream. It fails if the call is not received in time or exceeds a limit.
func (s *StoreServer) Serve(ctx context.Context, stream net.Conn) error {
	call := &peerpb.StoreCall{}
	release, err := s.receiver.receive(stream, call)
	defer release()
	if err != nil {
		return limitError(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.cfg.Go(func() error {
		defer cancel()
		_, _ = io.Copy(io.Discard, stream) // until either end closes the stream
		return nil
	})
	if w := call.GetWatch(); w != nil && s.cfg.Watch != nil {
		serveWatch(ctx, s.cfg.Watch, w, stream)
		return nil
	}
	// If the answer cannot be written, the caller has gone.
	_, _ = protodelim.MarshalTo(stream, s.answer(ctx, call))
	return nil
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
		return s.cfg.Ping(ctx)
	case *peerpb.StoreCall_Get:
		row, err := s.cfg.Store.Get(ctx, c.Get)
		a.Rows = storedRows([]platform.Row{row})
		return err
	case *peerpb.StoreCall_Scan:
		page, err := s.cfg.Store.ScanFrom(ctx, c.Scan.GetPrefix(), c.Scan.GetFrom(), int(c.Scan.GetLimit()))
		a.Rows, a.More, a.Version = storedRows(page.Rows), page.More, page.Version
		return err
	case *peerpb.StoreCall_Changes:
		ch, err := s.cfg.Store.Changes(ctx, c.Changes.GetTable(), c.Changes.GetAfter(), waitOf(call))
		for _, row := range ch.Rows {
			r := storedRow(row.Row)
			r.Deleted = row.Deleted
			a.Rows = append(a.Rows, r)
		}
		a.Version = ch.Version
		return err
	case *peerpb.StoreCall_Commit:
		rows, err := s.cfg.Store.Commit(ctx, opsOf(c.Commit)...)
		a.Rows = storedRows(rows)
		return err
	case *peerpb.StoreCall_PutObject:
		return s.cfg.Store.PutObject(ctx, c.PutObject.GetName(), c.PutObject.GetData())
	case *peerpb.StoreCall_GetObject:
		data, err := s.cfg.Store.GetObject(ctx, c.GetObject)
		a.Object = data
		return err
	case *peerpb.StoreCall_DeleteObject:
		return s.cfg.Store.DeleteObject(ctx, c.DeleteObject)
	}
	return errors.New("peer: unknown kind of call")
}
