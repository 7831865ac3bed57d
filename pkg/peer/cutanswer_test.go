package peer_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Guards against an answer of a peer that is taken for whole although its stream was closed,
// or its connection closed or reset, within it.
func TestCutAnswersAreUnknown(t *testing.T) {
	var whole bytes.Buffer
	answer := &peerpb.StoreAnswer{Outcome: peerpb.StoreAnswer_DONE, Rows: []*peerpb.StoredRow{{Key: "t/p/k", Version: 7, Value: bytes.Repeat([]byte("x"), 150)}}, Object: []byte("hello")}
	if _, err := protodelim.MarshalTo(&whole, answer); err != nil {
		t.Fatal(err)
	}
	ends := map[string]func(stream, conn net.Conn){
		"stream closed":     func(stream, _ net.Conn) { stream.Close() },
		"connection closed": func(_, conn net.Conn) { conn.Close() },
		"connection reset": func(_, conn net.Conn) {
			time.Sleep(time.Millisecond) // lets the client read before
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var size atomic.Int64 // of the part
			var group errgroup.Group
			defer func() { ln.Close(); _ = group.Wait() }()
			group.Go(func() error {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return nil
					}
					cfg := yamux.DefaultConfig()
					cfg.LogOutput = io.Discard
					session, err := yamux.Server(conn, cfg)
					if err != nil {
						return err
					}
					for stream, err := session.Accept(); err == nil; stream, err = session.Accept() {
						if err := protodelim.UnmarshalFrom(messageReader{stream}, &peerpb.StoreCall{}); err != nil {
							break
						}
						_, _ = stream.Write(whole.Bytes()[:size.Load()])
						end(stream, conn)
					}
					session.Close()
				}
			})
			sessions := peer.NewSessions(0)
			defer sessions.Close()
			store := peer.StoreClient{Sessions: sessions, Address: ln.Addr().String()}
			for n := range whole.Len() {
				size.Store(int64(n))
				row, rowErr := store.Get(t.Context(), "t/p/k")
				for errors.Is(rowErr, platform.ErrNotApplied) { // the session had ended
					row, rowErr = store.Get(t.Context(), "t/p/k")
				}
				object, objectErr := store.GetObject(t.Context(), "o")
				for errors.Is(objectErr, platform.ErrNotApplied) {
					object, objectErr = store.GetObject(t.Context(), "o")
				}
				if !errors.Is(rowErr, platform.ErrUnavailable) || !errors.Is(objectErr, platform.ErrUnavailable) {
					t.Errorf("part of %d of %d bytes: got row %+v, %v and object %q, %v", n, whole.Len(), row, rowErr, object, objectErr)
				}
			}
			if size.Store(int64(whole.Len())); name == "stream closed" {
				if row, err := store.Get(t.Context(), "t/p/k"); err != nil || row.Version != 7 {
					t.Errorf("whole answer: got %+v, %v", row, err)
				}
			}
		})
	}
}

// messageReader reads messages.
type messageReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r messageReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}
