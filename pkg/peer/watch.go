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

// newsBytes is about how many bytes of rows are sent in one message, so that those of
// several watchers take turns on a link.
const newsBytes = 64 << 10

// newsWriteTimeout bounds the sending of one message: a watcher that takes none for as
// long has been suspended, and looks for another peer when it wakes.
const newsWriteTimeout = 2 * time.Second

// WatchedTable is a table and the version up to which its watcher knows it, 0 for
// nothing.
type WatchedTable struct {
	Table string
	After uint64
}

// TableUpdate is what has become of a watched table.
type TableUpdate struct {
	Table string
	// Reset means that Changes hold the whole table.
	Reset   bool
	Changes []platform.Change
	// Version is the one up to which the table is known with Changes.
	Version uint64
	// Unavailable means that the peer could not ask the store lately.
	Unavailable bool
}

// WatchUpdate is what a peer tells its watchers, and a sign that it lives.
type WatchUpdate struct {
	Tables []TableUpdate
	// Full means that the peer has no room for another watcher.
	Full bool
	// Leaving means that the peer is about to stop.
	Leaving bool
}

// AnyUnavailable reports whether the peer has lost the store for any of the tables.
func (n WatchUpdate) AnyUnavailable() bool {
	return slices.ContainsFunc(n.Tables, func(t TableUpdate) bool { return t.Unavailable })
}

// Link is a connection to a peer for watches alone.
type Link struct {
	address string
	session *yamux.Session
}

// DialLink opens a Link to the peer at address. The caller closes it.
func DialLink(ctx context.Context, address string) (*Link, error) {
	session, err := dial(ctx, address, 0)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return &Link{address: address, session: session}, nil
}

// Close ends the watches of the link.
func (l *Link) Close() { l.session.Close() }

// WatchStream reads the answers to one watch.
type WatchStream struct {
	stream net.Conn
	tables []WatchedTable
	read   *byteReader
	// begun are the first rows of tables of which the rest is to come, by index.
	begun map[uint32][]platform.Change
}

// Watch asks the peer for what changes in tables. The caller closes the Watcher.
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
	return &WatchStream{stream: stream, tables: tables, read: newByteReader(stream), begun: map[uint32][]platform.Change{}}, nil
}

// Next returns the next news, which come within a time if the peer lives. Tables of
// which a part of the rows has come are told with the last part.
func (w *WatchStream) Next(within time.Duration) (WatchUpdate, error) {
	if err := w.stream.SetReadDeadline(time.Now().Add(within)); err != nil {
		return WatchUpdate{}, err
	}
	a := &peerpb.WatchAnswer{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(w.read, a); err != nil {
		return WatchUpdate{}, err
	}
	n := WatchUpdate{Full: a.GetFull(), Leaving: a.GetLeaving()}
	for _, t := range a.GetTables() {
		if int(t.GetIndex()) >= len(w.tables) {
			return WatchUpdate{}, errors.New("peer: news of a table that was not asked for")
		}
		changes := w.begun[t.GetIndex()]
		for _, r := range t.GetRows() {
			changes = append(changes, platform.Change{Row: rowOf(r), Deleted: r.GetDeleted()})
		}
		if t.GetMore() {
			w.begun[t.GetIndex()] = changes
			continue
		}
		delete(w.begun, t.GetIndex())
		n.Tables = append(n.Tables, TableUpdate{Table: w.tables[t.GetIndex()].Table, Reset: t.GetWhole(), Changes: changes, Version: t.GetVersion(), Unavailable: t.GetLost()})
	}
	return n, nil
}

// Close ends the watch.
func (w *WatchStream) Close() { w.stream.Close() }

// WatchServer answers a watch: it calls send with all tables first, and then with those
// that have changed, until ctx ends, send fails or it has nothing to tell, and returns
// which.
type WatchServer interface {
	Watch(ctx context.Context, tables []WatchedTable, send func(WatchUpdate) error) error
}

// serveWatch has the server answer a watch on a stream.
func serveWatch(ctx context.Context, server WatchServer, call *peerpb.Watch, stream net.Conn) {
	tables := make([]WatchedTable, len(call.GetTables()))
	index := map[string]uint32{}
	for i, t := range call.GetTables() {
		tables[i] = WatchedTable{Table: t.GetTable(), After: t.GetAfter()}
		index[t.GetTable()] = uint32(i)
	}
	// Why it ended is of no use here: the watcher sees the end of the stream.
	_ = server.Watch(ctx, tables, func(n WatchUpdate) error {
		for a := range answersOf(n, index) {
			if err := stream.SetWriteDeadline(time.Now().Add(newsWriteTimeout)); err != nil {
				return err
			}
			if _, err := protodelim.MarshalTo(stream, a); err != nil {
				return err
			}
		}
		return nil
	})
}

// answersOf returns the messages that tell n: one, or more if there are many rows. They
// are made one after the other, as there may be whole tables to tell to many at once.
func answersOf(n WatchUpdate, index map[string]uint32) iter.Seq[*peerpb.WatchAnswer] {
	return func(yield func(*peerpb.WatchAnswer) bool) {
		a := &peerpb.WatchAnswer{Full: n.Full, Leaving: n.Leaving}
		size := 0
		for _, t := range n.Tables {
			news := &peerpb.TableNews{Index: index[t.Table], Whole: t.Reset, Version: t.Version, Lost: t.Unavailable}
			a.Tables = append(a.Tables, news)
			for _, ch := range t.Changes {
				if size >= newsBytes {
					news.More = true
					if !yield(a) {
						return
					}
					news = &peerpb.TableNews{Index: news.Index, Whole: t.Reset, Version: t.Version, Lost: t.Unavailable}
					a, size = &peerpb.WatchAnswer{Leaving: n.Leaving, Tables: []*peerpb.TableNews{news}}, 0
				}
				r := storedRow(ch.Row)
				r.Deleted = ch.Deleted
				news.Rows = append(news.Rows, r)
				size += len(ch.Key) + len(ch.Value) + rowOverhead
			}
		}
		yield(a)
	}
}

// rowOverhead is about what a row takes beside its key and its value, in bytes.
const rowOverhead = 16
