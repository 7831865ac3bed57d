package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
)

// Fleet is a site of letter 1's size as one entry instance sees it: a
// platform stand-in that holds the catalogue and the leases of the other
// members, kept alive as they would keep them, and one listener that answers
// every engine's load report. It lets a real instance be measured alone.
type Fleet struct {
	Listen       string // of the platform stand-in
	EngineListen string // of the engines: all share it, under addresses 127.x.y.z
	Entries      int
	Pools        int
	PoolSize     int
	Members      int           // besides the instance measured
	Renew        time.Duration // of each member's lease
	ChangeEvery  time.Duration // between catalogue changes
}

// Run serves the fleet until ctx ends.
func (f Fleet) Run(ctx context.Context) error {
	srv := platformtest.New()
	g, ctx := errgroup.WithContext(ctx)
	ln, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return err
	}
	g.Go(func() error { return serveUntil(ctx, ln, srv.Handler()) })
	eln, err := net.Listen("tcp", f.EngineListen)
	if err != nil {
		return err
	}
	g.Go(func() error { return serveUntil(ctx, eln, reports()) })
	c := platform.NewClient("http://"+ln.Addr().String(), nil)
	if _, err := catalogue.Sync(ctx, c, f.catalogue(eln.Addr().(*net.TCPAddr).Port), "fleet", time.Now()); err != nil {
		return err
	}
	g.Go(func() error { return f.heartbeats(ctx, srv) })
	g.Go(func() error { return f.changes(ctx, c) })
	if err := g.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

func (f Fleet) catalogue(port int) catalogue.File {
	var file catalogue.File
	for p := range f.Pools {
		pool := catalogue.Pool{Name: fmt.Sprintf("pool-%d", p), Kind: catalogue.Engines}
		for u := range f.PoolSize {
			n := p*f.PoolSize + u
			pool.Upstreams = append(pool.Upstreams, catalogue.Upstream{Address: fmt.Sprintf("127.1.%d.%d:%d", n/200, n%200+1, port),
				DataCentre: "loopback", State: catalogue.Live})
		}
		file.Pools = append(file.Pools, pool)
	}
	for e := range f.Entries {
		file.Entries = append(file.Entries, f.entry(e, 8))
	}
	return file
}

func (f Fleet) entry(n, limit int) catalogue.Entry {
	return catalogue.Entry{Name: fmt.Sprintf("entry-%d", n), Owner: "minho", Class: catalogue.Interactive,
		Pool: fmt.Sprintf("pool-%d", n%f.Pools), Limits: catalogue.Limits{MaxInFlight: limit, MaxTokens: 64}}
}

// heartbeats renews every member's lease once a Renew, spread over it.
func (f Fleet) heartbeats(ctx context.Context, srv *platformtest.Server) error {
	tick := time.NewTicker(f.Renew / time.Duration(max(1, f.Members)))
	defer tick.Stop()
	for n := 0; ; n = (n + 1) % f.Members {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			id := fmt.Sprintf("member-%03d", n)
			data, _ := json.Marshal(map[string]any{"id": id, "address": fmt.Sprintf("127.2.%d.%d:7400", n/200, n%200+1),
				"peer": "", "data_centre": "loopback", "draining": false})
			srv.Put("member/"+id, lease.Lease{Holder: id, RenewedAt: now, ExpiresAt: now.Add(3 * f.Renew), Data: data})
		}
	}
}

// changes edits one catalogue entry every ChangeEvery.
func (f Fleet) changes(ctx context.Context, c *platform.Client) error {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(f.ChangeEvery):
		}
		file := catalogue.File{Pools: nil, Entries: []catalogue.Entry{f.entry(n%f.Entries, 9+n/f.Entries)}}
		if _, err := catalogue.Sync(ctx, c, file, "fleet", time.Now()); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

// reports answers every engine's load report.
func reports() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		b, _ := json.Marshal(engine.LoadReport{Active: 3, WeightVersion: 1, At: time.Now()})
		_, _ = w.Write(b)
	})
	return mux
}

func serveUntil(ctx context.Context, ln net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(ln); ctx.Err() == nil {
		return err
	}
	return nil
}
