package client_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/client"
)

// BenchmarkRequest measures a request with a body on a kept connection, with the limits and, for
// comparison, with net/http alone.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body) // the client reads the whole response
	})
	for _, limits := range []bool{true, false} {
		name := "net/http"
		if limits {
			name = "limits"
		}
		b.Run(name, func(b *testing.B) {
			var ln net.Listener
			srv := &http.Server{Handler: handler}
			if limits {
				s := serveWith(b, 256*mib, 100, limited(client.Limits{HeaderBytes: 16384}))
				l, err := s.guard.Listen(client.ListenerConfig{Name: "bench", Address: "127.0.0.1:0", MaxConnections: 100})
				if err != nil {
					b.Fatal(err)
				}
				ln, srv = l, l.Server(handler)
			} else {
				var err error
				if ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
					b.Fatal(err)
				}
			}
			var group errgroup.Group
			group.Go(func() error { return srv.Serve(ln) })
			b.Cleanup(func() {
				_ = srv.Close()
				_ = group.Wait() // the error is that the server was closed
			})
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { conn.Close() })
			request := "POST /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("Name: value of a header field\r\n", 10) + "Content-Length: 800\r\n\r\n" + strings.Repeat("x", 800)
			r := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
