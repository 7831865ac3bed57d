package peer

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// updateBytes is the approximate size in bytes of the rows in one message. It is limited
// so that the messages of several watchers on a link interleave.
const updateBytes = 64 << 10

// updateWriteTimeout bounds sending one message. A watcher that reads nothing for as long
// is suspended, and looks for another peer when it resumes.
const updateWriteTimeout = 2 * time.Second

// WatchedTable is a table and the version up to which its watcher knows it; 0 requests
// the whole table.
type WatchedTable struct {
	Table string
	After uint64
}

// TableUpdate is what has changed in a watched table.
type TableUpdate struct {
	Table string
	// Reset means that Changes is the whole table.
	Reset   bool
	Changes []platform.Change
	// Version is the version up to which the table is known with Changes.
	Version uint64
	// Unavailable means that the peer has recently been unable to read the store.
	Unavailable bool
}

// WatchUpdate is one message of a peer to its watchers. It also serves as a heartbeat.
type WatchUpdate struct {
	Tables []TableUpdate
	// Full means that the peer has no room for another watcher.
	Full bool
	// Leaving means that the peer is about to stop.
	Leaving bool
}

// AnyUnavailable reports whether any of the tables is Unavailable.
func (u WatchUpdate) AnyUnavailable() bool {
	return slices.ContainsFunc(u.Tables, func(t TableUpdate) bool { return t.Unavailable })
}

// Link is a connection to a peer that carries watches only.
type Link struct {
	address string
	session *yamux.Session
}

// DialLink opens a Link to the peer at address. The caller closes it.
func DialLink(ctx context.Context, address string) (*Link, error) {
	session, _, err := dial(ctx, address, 0)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return &Link{address: address, session: session}, nil
}

// Close closes the link and ends its watches.
func (l *Link) Close() { l.session.Close() }

// WatchStream reads the updates of one watch.
type WatchStream struct {
	stream net.Conn
	tables []WatchedTable
	reader *byteReader
	// partial holds, by table index, the first rows of tables whose remaining rows have
	// not arrived yet.
	partial map[uint32][]platform.Change
}

// Watch opens a watch of tables. The caller closes the WatchStream.
func (l *Link) Watch(tables []WatchedTable) (*WatchStream, error) {
	stream, err := l.session.Open()
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", l.address, err)
	}
	call := &peerpb.Watch{}
	for _, t := range tables {
		call.Tables = append(call.Tables, &peerpb.WatchedTable{Table: t.Table, After: t.After})
	}
	if _, err := protodelim.MarshalTo(stream, &peerpb.StoreCall{Call: &peerpb.StoreCall_Watch{Watch: call}}); err != nil {
		stream.Close()
		return nil, fmt.Errorf("peer %s: %w", l.address, err)
	}
	return &WatchStream{stream: stream, tables: tables, reader: newByteReader(stream), partial: map[uint32][]platform.Change{}}, nil
}

// Next returns the next update. It fails if no message arrives within the given time, as
// from a peer that is not live. A table that is split over several messages is returned
// with the last of them.
func (w *WatchStream) Next(within time.Duration) (WatchUpdate, error) {
	if err := w.stream.SetReadDeadline(time.Now().Add(within)); err != nil {
		return WatchUpdate{}, err
	}
	a := &peerpb.WatchAnswer{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(w.reader, a); err != nil {
		return WatchUpdate{}, err
	}
	u := WatchUpdate{Full: a.GetFull(), Leaving: a.GetLeaving()}
	for _, t := range a.GetTables() {
		if int(t.GetIndex()) >= len(w.tables) {
			return WatchUpdate{}, errors.New("peer: update of a table that is not watched")
		}
		changes := w.partial[t.GetIndex()]
		for _, r := range t.GetRows() {
			changes = append(changes, platform.Change{Row: rowOf(r), Deleted: r.GetDeleted()})
		}
		if t.GetMore() {
			w.partial[t.GetIndex()] = changes
			continue
		}
		delete(w.partial, t.GetIndex())
		u.Tables = append(u.Tables, TableUpdate{Table: w.tables[t.GetIndex()].Table, Reset: t.GetWhole(), Changes: changes, Version: t.GetVersion(), Unavailable: t.GetLost()})
	}
	return u, nil
}

// Close ends the watch.
func (w *WatchStream) Close() { w.stream.Close() }

// WatchServer serves watches. Watch calls send with all tables first, and then with the
// tables that have changed, until ctx ends, send fails or the watch is over, and returns
// the error of ctx or send.
type WatchServer interface {
	Watch(ctx context.Context, tables []WatchedTable, send func(WatchUpdate) error) error
}

// serveWatch has server serve a watch on a stream.
func serveWatch(ctx context.Context, server WatchServer, call *peerpb.Watch, stream net.Conn) {
	tables := make([]WatchedTable, len(call.GetTables()))
	index := map[string]uint32{}
	for i, t := range call.GetTables() {
		tables[i] = WatchedTable{Table: t.GetTable(), After: t.GetAfter()}
		index[t.GetTable()] = uint32(i)
	}
	// The error is not needed here: the watcher sees the end of the stream.
	_ = server.Watch(ctx, tables, func(u WatchUpdate) error {
		for a := range messagesOf(u, index) {
			if err := stream.SetWriteDeadline(time.Now().Add(updateWriteTimeout)); err != nil {
				return err
			}
			if _, err := protodelim.MarshalTo(stream, a); err != nil {
				return err
			}
		}
		return nil
	})
}

// messagesOf returns the messages that encode u: one, or more if there are many rows.
// They are created one at a time, as whole tables may be sent to many watchers at once.
func messagesOf(u WatchUpdate, index map[string]uint32) iter.Seq[*peerpb.WatchAnswer] {
	return func(yield func(*peerpb.WatchAnswer) bool) {
		a := &peerpb.WatchAnswer{Full: u.Full, Leaving: u.Leaving}
		size := 0
		for _, t := range u.Tables {
			update := &peerpb.TableNews{Index: index[t.Table], Whole: t.Reset, Version: t.Version, Lost: t.Unavailable}
			a.Tables = append(a.Tables, update)
			for _, ch := range t.Changes {
				if size >= updateBytes {
					update.More = true
					if !yield(a) {
						return
					}
					update = &peerpb.TableNews{Index: update.Index, Whole: t.Reset, Version: t.Version, Lost: t.Unavailable}
					a, size = &peerpb.WatchAnswer{Leaving: u.Leaving, Tables: []*peerpb.TableNews{update}}, 0
				}
				r := storedRow(ch.Row)
				r.Deleted = ch.Deleted
				update.Rows = append(update.Rows, r)
				size += len(ch.Key) + len(ch.Value) + rowOverhead
			}
		}
		yield(a)
	}
}

// rowOverhead is the approximate size of an encoded row in bytes, without its key and
// value.
const rowOverhead = 16
