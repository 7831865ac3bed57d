// Package capacity measures the per-item costs of zinnialadder's control
// work on this machine, with the stand-ins, at several sizes, and fits a
// line through them: nanoseconds of processor time, bytes on the wire and
// bytes of heap per catalogue row, member lease, engine tracked and request
// routed. docs/CAPACITY.md projects these slopes to the target size.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/route"
)

// Point is one measurement at one size.
type Point struct {
	Size      int
	CPU       float64 // nanoseconds of processor time per operation
	WireBytes float64 // bytes received per operation
	HeapBytes float64 // bytes of heap held per operation's result
}

// Slope is a line fitted through Points: cost = Fixed + PerItem × size.
type Slope struct {
	Name         string
	Item         string // what size counts
	Points       []Point
	CPUFixed     float64 // ns
	CPUPerItem   float64 // ns per item
	WirePerItem  float64 // bytes per item
	HeapPerItem  float64 // bytes per item
	WireFixed    float64
	MeasuredWith string
}

// Sizes are the sizes each slope is measured at.
var Sizes = []int{100, 1000, 5000}

// Measure runs every measurement and returns the fitted slopes.
func Measure() ([]Slope, error) {
	out := []Slope{
		fit("catalogue scan", "catalogue entry row", measureCatalogue),
		fit("pool scan", "upstream in a pool row", measurePools),
		fit("membership scan", "member lease", measureMembers),
		fit("engine choice", "engine in pool", measureRoute),
	}
	hb, err := measureHeartbeat()
	if err != nil {
		return nil, err
	}
	rep, err := measureReport()
	if err != nil {
		return nil, err
	}
	return append(out, hb, rep), nil
}

// fit measures at every size and fits least squares lines.
func fit(name, item string, m func(n int) Point) Slope {
	s := Slope{Name: name, Item: item}
	for _, n := range Sizes {
		s.Points = append(s.Points, m(n))
	}
	s.CPUFixed, s.CPUPerItem = line(s.Points, func(p Point) float64 { return p.CPU })
	s.WireFixed, s.WirePerItem = line(s.Points, func(p Point) float64 { return p.WireBytes })
	// A negative intercept is measurement noise around a small fixed cost.
	s.CPUFixed, s.WireFixed = max(s.CPUFixed, 0), max(s.WireFixed, 0)
	// Heap held is read at the largest size, where GC noise matters least.
	last := s.Points[len(s.Points)-1]
	s.HeapPerItem = max(last.HeapBytes, 0) / float64(last.Size)
	return s
}

func line(ps []Point, y func(Point) float64) (fixed, slope float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(ps))
	for _, p := range ps {
		x := float64(p.Size)
		sx, sy, sxx, sxy = sx+x, sy+y(p), sxx+x*x, sxy+x*y(p)
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}

// measureFor is how long each measurement runs.
const measureFor = 600 * time.Millisecond

// cpu returns the processor time of this process, user and system, in
// nanoseconds per call of f: everything f causes in the process counts,
// the stand-in's share of a loopback call included.
func cpu(f func()) float64 {
	for i := 0; i < 10; i++ {
		f() // warm caches and connections
	}
	start, before := time.Now(), processCPU()
	n := 0
	for time.Since(start) < measureFor {
		f()
		n++
	}
	return float64(processCPU()-before) / float64(n)
}

func processCPU() time.Duration {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// heap returns the heap bytes that the value built by f keeps alive.
func heap(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// scanAnswer encodes n rows as the platform answers a scan.
func scanAnswer(n int, row func(i int) platform.Row) []byte {
	res := platform.ScanResult{}
	for i := 0; i < n; i++ {
		res.Rows = append(res.Rows, row(i))
	}
	b, _ := json.Marshal(res)
	return b
}

func entryRow(i int) platform.Row {
	e := catalogue.Entry{Name: "entry-" + strconv.Itoa(i), Owner: "minho", Class: catalogue.Interactive,
		Pool: "assistant-pool", Limits: catalogue.Limits{MaxInFlight: 64, MaxTokens: 512}, MaxVersionLag: 1, Generation: 3}
	b, _ := json.Marshal(e)
	return platform.Row{Key: catalogue.EntryPrefix + e.Name, Version: uint64(1000 + i), Value: b}
}

func measureCatalogue(n int) Point {
	wire := scanAnswer(n, entryRow)
	decode := func() any {
		var res platform.ScanResult
		_ = json.Unmarshal(wire, &res)
		snap, _ := catalogue.Decode(res.Rows)
		return snap
	}
	return Point{Size: n, CPU: cpu(func() { decode() }), WireBytes: float64(len(wire)), HeapBytes: heap(decode)}
}

// poolSize is the number of upstreams per pool row in measurePools.
const poolSize = 16

func measurePools(n int) Point {
	wire := scanAnswer(n/poolSize, func(i int) platform.Row {
		p := catalogue.Pool{Name: "pool-" + strconv.Itoa(i), Kind: catalogue.Engines, Generation: 2}
		for j := 0; j < poolSize; j++ {
			p.Upstreams = append(p.Upstreams, catalogue.Upstream{
				Address: "10.1." + strconv.Itoa(i%250) + "." + strconv.Itoa(j) + ":7100", DataCentre: "braga-hall", State: catalogue.Live})
		}
		b, _ := json.Marshal(p)
		return platform.Row{Key: catalogue.PoolPrefix + p.Name, Version: uint64(i + 1), Value: b}
	})
	decode := func() any {
		var res platform.ScanResult
		_ = json.Unmarshal(wire, &res)
		snap, _ := catalogue.Decode(res.Rows)
		return snap
	}
	return Point{Size: n, CPU: cpu(func() { decode() }), WireBytes: float64(len(wire)), HeapBytes: heap(decode)}
}

func memberRow(i int) platform.Row {
	data, _ := json.Marshal(map[string]any{"id": "entry-" + strconv.Itoa(i), "address": "10.0.0.1:7400",
		"peer": "10.0.0.1:7401", "data_centre": "braga-hall"})
	l := lease.Lease{Holder: "entry-" + strconv.Itoa(i), ExpiresAt: time.Now().Add(time.Hour), Data: data}
	b, _ := json.Marshal(l)
	return platform.Row{Key: "member/entry-" + strconv.Itoa(i), Version: uint64(i + 1), Value: b}
}

func measureMembers(n int) Point {
	wire := scanAnswer(n, memberRow)
	decode := func() any {
		var res platform.ScanResult
		_ = json.Unmarshal(wire, &res)
		out := make([]lease.Lease, 0, len(res.Rows))
		for _, r := range res.Rows {
			l, _ := lease.Decode(r)
			out = append(out, l)
		}
		return out
	}
	return Point{Size: n, CPU: cpu(func() { decode() }), WireBytes: float64(len(wire)), HeapBytes: heap(decode)}
}

func measureRoute(n int) Point {
	cands := make([]route.Candidate, n)
	for i := range cands {
		cands[i] = route.Candidate{Key: "10.0." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":7100", Load: float64(i % 7)}
	}
	p := route.Policy{Slack: 3}
	return Point{Size: n, CPU: cpu(func() { p.Pick(cands, "the first sixty-four bytes of a prompt") })}
}

// serveLocal serves h on a loopback port for the life of the program.
func serveLocal(h http.Handler) (string, func(), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	var g errgroup.Group
	g.Go(func() error { _ = srv.Serve(ln); return nil })
	return ln.Addr().String(), func() { srv.Close(); _ = g.Wait() }, nil
}

// measureHeartbeat times one membership lease renewal against the
// platform stand-in over loopback: one read and one commit, client and
// stand-in together, so an upper bound on the client's share.
func measureHeartbeat() (Slope, error) {
	p := platformtest.New()
	addr, stop, err := serveLocal(p.Handler())
	if err != nil {
		return Slope{}, err
	}
	defer stop()
	c := platform.NewClient("http://"+addr, nil)
	data, _ := json.Marshal(map[string]string{"address": "10.0.0.1:7400", "data_centre": "braga-hall"})
	var ferr error
	ns := cpu(func() {
		now := time.Now()
		if _, err := lease.Acquire(context.Background(), c, "member/entry-1", "entry-1", now, now.Add(5*time.Second), data); err != nil {
			ferr = err
		}
	})
	if ferr != nil {
		return Slope{}, fmt.Errorf("capacity: heartbeat: %w", ferr)
	}
	row := memberRow(1)
	wire, _ := json.Marshal(row)
	return Slope{Name: "membership heartbeat", Item: "renewal", CPUFixed: ns, WireFixed: float64(2 * len(wire)),
		MeasuredWith: "loopback HTTP, client and platform stand-in in one process"}, nil
}

// measureReport times one engine load report read over loopback.
func measureReport() (Slope, error) {
	e := enginetest.New(enginetest.Config{})
	addr, stop, err := serveLocal(e.Handler())
	if err != nil {
		return Slope{}, err
	}
	defer stop()
	c := engine.NewClient(addr, nil)
	var ferr error
	ns := cpu(func() {
		if _, err := c.Report(context.Background()); err != nil {
			ferr = err
		}
	})
	if ferr != nil {
		return Slope{}, fmt.Errorf("capacity: load report: %w", ferr)
	}
	b, _ := json.Marshal(engine.LoadReport{Active: 3, Queued: 1, WeightVersion: 1234, At: time.Now()})
	return Slope{Name: "engine load report", Item: "report read", CPUFixed: ns, WireFixed: float64(len(b) + 150),
		MeasuredWith: "loopback HTTP, client and engine stand-in in one process; +150 B of HTTP headers"}, nil
}
