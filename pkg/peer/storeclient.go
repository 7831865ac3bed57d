package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// callTimeout bounds a call in addition to the time that the store may hold it. It is
// longer than the peer's own longest timeout, the 2.5 s of a call for an object.
const callTimeout = 2800 * time.Millisecond

// StoreClient is the platform's store as reached through a peer. If the answer of a call
// does not arrive from the peer, the call may have been carried out. It is safe for
// concurrent use.
type StoreClient struct {
	Sessions *Sessions
	Address  string // address of the peer
}

var _ platform.Store = (*StoreClient)(nil)

// Ping checks whether the peer reaches the store.
func (c *StoreClient) Ping(ctx context.Context) error {
	_, err := c.call(ctx, &peerpb.StoreCall{Call: &peerpb.StoreCall_Ping{Ping: &peerpb.Ping{}}})
	return err
}

// Get implements platform.Table.
func (c *StoreClient) Get(ctx context.Context, key string) (platform.Row, error) {
	a, err := c.call(ctx, &peerpb.StoreCall{Call: &peerpb.StoreCall_Get{Get: key}})
	if err != nil {
		return platform.Row{}, err
	}
	if len(a.GetRows()) != 1 {
		return platform.Row{}, fmt.Errorf("%w: peer answered %d rows to a get, want 1", platform.ErrUnavailable, len(a.GetRows()))
	}
	return rowOf(a.GetRows()[0]), nil
}

// Commit implements platform.Table.
func (c *StoreClient) Commit(ctx context.Context, ops ...platform.Op) ([]platform.Row, error) {
	a, err := c.call(ctx, &peerpb.StoreCall{Call: &peerpb.StoreCall_Commit{Commit: &peerpb.Commit{Ops: callOps(ops)}}})
	if err != nil {
		return nil, err
	}
	rows := rowsOf(a)
	if len(rows) != len(ops) {
		return nil, fmt.Errorf("%w: peer answered %d rows to a commit of %d", platform.ErrUnavailable, len(rows), len(ops))
	}
	return rows, nil
}

// ScanFrom implements platform.Scanner.
func (c *StoreClient) ScanFrom(ctx context.Context, prefix, from string, limit int) (platform.Page, error) {
	a, err := c.call(ctx, &peerpb.StoreCall{Call: &peerpb.StoreCall_Scan{Scan: &peerpb.Scan{Prefix: prefix, From: from, Limit: int32(limit)}}})
	if err != nil {
		return platform.Page{}, err
	}
	return platform.Page{Rows: rowsOf(a), More: a.GetMore(), Version: a.GetVersion()}, nil
}

// Changes implements platform.Follower.
func (c *StoreClient) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	a, err := c.call(ctx, &peerpb.StoreCall{Call: &peerpb.StoreCall_Changes{Changes: &peerpb.Changes{Table: table, After: after, WaitMs: wait.Milliseconds()}}})
	if err != nil {
		return platform.Changes{}, err
	}
	ch := platform.Changes{Version: a.GetVersion(), Rows: make([]platform.Change, len(a.GetRows()))}
	for i, r := range a.GetRows() {
		ch.Rows[i] = platform.Change{Row: rowOf(r), Deleted: r.GetDeleted()}
	}
	return ch, nil
}

// PutObject implements platform.Objects.
func (c *StoreClient) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, &peerpb.StoreCall{Call: &peerpb.StoreCall_PutObject{PutObject: &peerpb.Object{Name: name, Data: data}}})
	return err
}

// GetObject implements platform.Objects.
func (c *StoreClient) GetObject(ctx context.Context, name string) ([]byte, error) {
	a, err := c.call(ctx, &peerpb.StoreCall{Call: &peerpb.StoreCall_GetObject{GetObject: name}})
	return a.GetObject(), err
}

// DeleteObject implements platform.Objects.
func (c *StoreClient) DeleteObject(ctx context.Context, name string) error {
	_, err := c.call(ctx, &peerpb.StoreCall{Call: &peerpb.StoreCall_DeleteObject{DeleteObject: name}})
	return err
}

// call sends one call and reads its answer. It fails with platform.ErrNotApplied if the
// call was not sent, with platform.ErrUnavailable if the outcome is unknown, and otherwise
// with the error in the answer.
func (c *StoreClient) call(ctx context.Context, call *peerpb.StoreCall) (*peerpb.StoreAnswer, error) {
	session, err := c.Sessions.Open(ctx, c.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: peer %s: %v", platform.ErrNotApplied, c.Address, err)
	}
	stream, err := session.Open()
	if err != nil {
		return nil, fmt.Errorf("%w: peer %s: %v", platform.ErrNotApplied, c.Address, err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	a, err := exchange(stream, call)
	if err != nil {
		return nil, fmt.Errorf("%w: peer %s: %v", platform.ErrUnavailable, c.Address, err)
	}
	return a, errOf(a)
}

func exchange(stream net.Conn, call *peerpb.StoreCall) (*peerpb.StoreAnswer, error) {
	if err := stream.SetDeadline(time.Now().Add(waitOf(call) + callTimeout)); err != nil {
		return nil, err
	}
	if _, err := protodelim.MarshalTo(stream, call); err != nil {
		return nil, err
	}
	a := &peerpb.StoreAnswer{}
	return a, protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(newByteReader(stream), a)
}
