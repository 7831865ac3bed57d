package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/platform/sitetest"
)

const (
	host       = "rollouts.example"
	model      = "m0"
	enginePool = "assistant-pool"
	plainPool  = "desk-app"
	slots      = 4
)

// run is one play of a case.
type run struct {
	trouble   bool
	startedAt time.Time
	dir       string // temporary
	record    *os.File
	mu        sync.Mutex
	cleanups  []func()

	store   *sitetest.Store
	engines []*sitetest.Engine
	plain   []*sitetest.Engine
	nodes   []*nodeProcess
}

// nodeProcess is one process of the project's program.
type nodeProcess struct {
	name, front, ready string
	cmd                *exec.Cmd
	done               chan struct{}
}

func newRun(folder string) (*run, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now(), dir: dir, record: f}
	r.note("disruption: %v", r.trouble)
	return r, nil
}

// Cleanup has f called at the end of the play.
func (r *run) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%7.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the processes and the stand-ins.
func (r *run) close() {
	for _, n := range r.nodes {
		_ = n.cmd.Process.Kill()
		<-n.done
	}
	r.mu.Lock()
	cleanups := r.cleanups
	r.cleanups = nil
	r.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.RemoveAll(r.dir)
	r.record.Close()
}

// serveUpstreams starts the store, the engines and the plain services. events is the number
// of events of each text and interval the time for one.
func (r *run) serveUpstreams(engines, plain, events int, interval time.Duration) {
	r.store = sitetest.NewStore()
	for i := range engines {
		e := &sitetest.Engine{ID: fmt.Sprintf("i-e%d", i), Pool: enginePool, Zone: "z1", Slots: slots, EventInterval: interval,
			LoadTime: 900 * time.Millisecond, Bounded: true, EventCount: func(string) int { return events }}
		e.SetVersion(model, 1)
		e.Serve(r)
		e.Register(r.store)
		r.engines = append(r.engines, e)
	}
	for i := range plain {
		e := &sitetest.Engine{ID: fmt.Sprintf("i-p%d", i), Pool: plainPool, Zone: "z1", Slots: 6, ServiceTime: 20 * time.Millisecond}
		e.Serve(r)
		e.Register(r.store)
		r.plain = append(r.plain, e)
	}
	stop := make(chan struct{})
	r.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			for _, e := range append(r.engines[:len(r.engines):len(r.engines)], r.plain...) {
				e.Register(r.store)
			}
		}
	}()
}

// configure writes the manifest.
func (r *run) configure(version int, routes ...map[string]any) {
	r.store.Put("op", "config", map[string]any{"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": enginePool, "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": slots, "kv_capacity": 44538, "models": []map[string]any{{"name": model}}}},
			{"name": plainPool, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	r.note("operator: manifest %d with %d routes", version, len(routes))
}

// Ports of a process, which has a loopback address of its own.
const (
	frontPort     = 21441
	readyPort     = 21440
	directoryPort = 21443
	peerPort      = 21460
	metricsPort   = 21464
)

// startNodes starts n processes with the deploy file's command and waits until they are ready.
func (r *run) startNodes(n int) error {
	program, err := filepath.Abs("target/zinnialadder")
	if err != nil {
		return err
	}
	subnet := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
	for i := range n {
		ip := fmt.Sprintf("%s.%d", subnet, i+1)
		name := fmt.Sprintf("edge-z1-%d", i+1)
		settings := fmt.Sprintf(`node=%s
role=node
machine_class=edge
serves=edge,registry
ip=%s
zone=z1
region=r1
zones.z1=r1
listen.front=%s:%d
listen.ready=%s:%d
listen.directory=%s:%d
port_range=%d,%d
bootstrap=true
limits.cpu_share=0.8
limits.cores=1
limits.memory_mb=314
limits.max_fds=8200
discovery=platform
entry=registry
heartbeat_ms=1200
contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform
bounds.grace_s=8
bounds.lease_ms=3000
bounds.ttl_max_s=5
bounds.status_s=120
bounds.require_fence=true
provider.address=%s
provider.form=table
provider.row_bytes=65536
`, name, ip, ip, frontPort, ip, readyPort, ip, directoryPort, peerPort, peerPort+2, r.store.Serve(r, name))
		path := filepath.Join(r.dir, name+".conf")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return err
		}
		cmd := exec.Command(program, "node", "--metrics-port", fmt.Sprint(metricsPort))
		cmd.Env = append(os.Environ(), "ZINNIALADDER_SETTINGS="+path)
		if dir := os.Getenv("NODE_LOGS"); dir != "" {
			if cmd.Stdout, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
				return err
			}
		}
		if err := cmd.Start(); err != nil {
			return err
		}
		node := &nodeProcess{name: name, front: fmt.Sprintf("%s:%d", ip, frontPort), ready: fmt.Sprintf("%s:%d", ip, readyPort), cmd: cmd, done: make(chan struct{})}
		go func() {
			_ = cmd.Wait()
			close(node.done)
		}()
		r.nodes = append(r.nodes, node)
	}
	for _, node := range r.nodes {
		if !r.await(10*time.Second, func() bool {
			status, _ := r.call(http.MethodGet, "http://"+node.ready+"/zinnialadder/readyz", nil, nil, time.Second)
			return status == http.StatusOK
		}) {
			return fmt.Errorf("%s is not ready", node.name)
		}
	}
	r.note("%d processes are ready", n)
	return nil
}

// await waits until cond holds, and reports whether it does.
func (r *run) await(limit time.Duration, cond func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); {
		if cond() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// call makes one request on a connection of its own. The status is 0 if there is no complete
// answer.
func (r *run) call(method, url string, header map[string]string, body any, limit time.Duration) (int, []byte) {
	var in io.Reader
	switch b := body.(type) {
	case nil:
	case []byte:
		in = bytes.NewReader(b)
	default:
		data, err := json.Marshal(b)
		if err != nil {
			panic(err)
		}
		in = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, in)
	if err != nil {
		panic(err)
	}
	req.Host = host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, data
	}
	return resp.StatusCode, data
}
