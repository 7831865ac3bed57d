package client_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/client"
	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 100) }

// Guards against requests inside the limits that are refused or changed because of how their
// bytes are divided, and against requests that are counted together.
func TestRequestsInPieces(t *testing.T) {
	s := serveWith(t, 64*mib, 50, limited(client.Limits{HeaderBytes: 16384}))
	rapid.Check(t, func(rt *rapid.T) {
		var text strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 6).Draw(rt, "requests") {
			fields := rapid.IntRange(0, 200).Draw(rt, "fields")
			body := strings.Repeat(rapid.SampledFrom([]string{"\r\n\r\n", "x", "\n", "GET / HTTP/1.1\r\n"}).Draw(rt, "body"), rapid.IntRange(0, 3000).Draw(rt, "length"))
			fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: h\r\n", i)
			for f := range fields {
				fmt.Fprintf(&text, "F%d:\r\n", f)
			}
			if rapid.Bool().Draw(rt, "chunked") {
				text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
				if body != "" {
					fmt.Fprintf(&text, "%x\r\n%s\r\n", len(body), body)
				}
				text.WriteString("0\r\n\r\n")
				want = append(want, fmt.Sprintf("/%d %d %s", i, fields, body))
			} else {
				fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
				want = append(want, fmt.Sprintf("/%d %d %s", i, fields+1, body))
			}
		}
		sent := text.String()
		pieces := rapid.SliceOfN(rapid.IntRange(1, 5000), 1, 12).Draw(rt, "pieces")
		p := s.connect()
		defer p.Close()
		var group errgroup.Group
		group.Go(func() error {
			for i := 0; sent != ""; i++ {
				n := min(pieces[i%len(pieces)]+len(sent)/50, len(sent)) // at most about 100 pieces
				if _, err := p.Write([]byte(sent[:n])); err != nil {
					return err
				}
				sent = sent[n:]
			}
			return nil
		})
		p.r = bufio.NewReader(p)
		for i, w := range want {
			status, _, body := p.response()
			if status != http.StatusOK || body != w {
				rt.Fatalf("request %d: got status %d and %.80q, want 200 and %.80q", i, status, body, w)
			}
		}
		if err := group.Wait(); err != nil {
			rt.Fatal(err)
		}
	})
}

// FuzzBytes sends any bytes and checks that the server answers an ordinary request afterwards and
// that nothing of the connection is left.
func FuzzBytes(f *testing.F) {
	for _, seed := range []string{"", "\r\n\r\n", "\n\n\n\n", get, get + get, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab", "POST /unread HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfff;",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n\r\n\r\n", "GET /x HTTP/1.0\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := serveWith(t, 64*mib, 8, limited(client.Limits{HeaderBytes: 16384}))
		close(s.release)
		p := s.connect()
		_, _ = p.Write(b) // the server may have closed the connection
		p.Close()
		q := s.connect()
		q.send(get)
		if status, _, _ := q.response(); status != http.StatusOK {
			t.Errorf("ordinary request: got status %d, want 200", status)
		}
		q.Close()
		eventually(t, "all connections closed", func() bool { return s.open() == 0 })
	})
}
