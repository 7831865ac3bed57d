package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zinnialadder/zinnialadder/platform/sitetest"
)

// program is the one that the deploy file builds, and nodeArgs are its arguments there.
const program = "target/zinnialadder"

var nodeArgs = []string{"node", "--metrics-port", "9464"}

// host is the host of all routes.
const host = "site.example"

// Bounds of a small deployment, as in the settings.
const (
	graceTime = 8 * time.Second
	drainTime = 2 * time.Second
	blobTime  = 25 * time.Millisecond
	blobRate  = 80 << 20 // bytes a second of objects
	txTime    = 5 * time.Millisecond
)

// site is a deployment on loopback addresses.
type site struct {
	trouble bool
	dir     string // for settings and logs
	store   *sitetest.Store
	nodes   []*node
	engines []*engine
	stop    chan struct{} // ends the heartbeats
	group   sync.WaitGroup
	cleanup []func()

	// onPut is called with each object that is about to be stored and the instance that
	// stores it; nil for none. It is set before the nodes are started.
	onPut func(node, name string, data []byte)

	mu      sync.Mutex
	out     io.Writer
	started time.Time
	closed  bool
}

func newSite(out io.Writer, trouble bool) (*site, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &site{trouble: trouble, dir: dir, store: sitetest.NewStore(), stop: make(chan struct{}), out: out, started: time.Now()}, nil
}

// Cleanup registers f to be called when the site is closed, the last one first.
func (s *site) Cleanup(f func()) { s.cleanup = append(s.cleanup, f) }

// record writes a line with the time since the start of the case.
func (s *site) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		fmt.Fprintf(s.out, "%8.3f "+format+"\n", append([]any{time.Since(s.started).Seconds()}, args...)...)
	}
}

// close ends all processes and servers.
func (s *site) close() {
	for _, n := range s.nodes {
		n.signal(syscall.SIGCONT)
		n.end()
	}
	close(s.stop)
	s.group.Wait()
	for i := len(s.cleanup) - 1; i >= 0; i-- {
		s.cleanup[i]()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
}

// serveStore serves the store for one node, with the times of the site files.
func (s *site) serveStore(name string) (string, error) {
	target, err := url.Parse("http://" + s.store.Serve(s, name))
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { panic(http.ErrAbortHandler) }
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/zinnialadder/blob-put/"):
			// The whole object has arrived before it is stored.
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			object := strings.TrimPrefix(r.URL.Path, "/zinnialadder/blob-put/")
			if s.onPut != nil {
				s.onPut(name, object, body)
			}
			time.Sleep(blobTime + transferTime(len(body)))
			s.store.PutObject(object, body)
			return
		case strings.HasPrefix(r.URL.Path, "/zinnialadder/blob-"):
			time.Sleep(blobTime)
			w = &slowWriter{w}
		case strings.HasPrefix(r.URL.Path, "/zinnialadder/rows-tx"):
			time.Sleep(txTime)
		}
		proxy.ServeHTTP(w, r)
	})
	address, _, err := s.serve("127.0.0.1:0", handler)
	return address, err
}

// transferTime is how long the store takes for the bytes of an object.
func transferTime(size int) time.Duration {
	return time.Duration(float64(size) / blobRate * float64(time.Second))
}

// slowWriter sends the bytes of an object at blobRate.
type slowWriter struct{ http.ResponseWriter }

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(transferTime(len(p)))
	return w.ResponseWriter.Write(p)
}

// serve starts a server and returns its address.
func (s *site) serve(address string, h http.Handler) (string, *http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	s.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String(), srv, nil
}

// putConfig writes a manifest, as the operator does.
func (s *site) putConfig(version int, routes, services []map[string]any) {
	s.store.Put("op", "config", map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 10000}})
	s.record("manifest %d", version)
}

// addEngine starts an engine and registers it.
func (s *site) addEngine(e *engine) error {
	e.site = s
	var err error
	if e.address, e.server, err = s.serve("127.0.0.1:0", e); err != nil {
		return err
	}
	if e.model != "" && e.version == 0 {
		e.version = 1
	}
	s.engines = append(s.engines, e)
	e.register()
	return nil
}

// startHeartbeats has the engines write their entries, every 1.2 s.
func (s *site) startHeartbeats() {
	s.group.Go(func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-t.C:
				for _, e := range s.engines {
					e.register()
				}
			}
		}
	})
}

// node is an instance, one process.
type node struct {
	site     *site
	name     string
	front    string
	ready    string
	resolve  string
	settings string
	log      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addNode starts an instance at a loopback address of its own.
func (s *site) addNode(i int) (*node, error) {
	ip, err := freeAddress()
	if err != nil {
		return nil, err
	}
	storeAddress, err := s.serveStore(fmt.Sprintf("edge-%d", i))
	if err != nil {
		return nil, err
	}
	zone := fmt.Sprintf("zone-%d", i)
	n := &node{site: s, name: fmt.Sprintf("edge-%d", i), front: ip + ":8144", ready: ip + ":8140", resolve: ip + ":8143"}
	n.settings = filepath.Join(s.dir, n.name+".conf")
	lines := []string{"node=" + n.name, "role=node", "machine_class=edge", "serves=edge,registry", "ip=" + ip, "zone=" + zone, "region=minho",
		"zones.zone-0=minho", "zones.zone-1=minho", "zones.zone-2=minho",
		"listen.front=" + n.front, "listen.ready=" + n.ready, "listen.directory=" + n.resolve, "port_range=7660,7675", "bootstrap=true", "in_loss_budget=false",
		"limits.cpu_share=0.8", "limits.cores=1", "limits.memory_mb=314", "limits.max_fds=8200", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=registry", "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catchup_s=4.7", "bounds.drain_ms=2000",
		fmt.Sprintf("bounds.grace_s=%g", graceTime.Seconds()), "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.downgrade_slack_ms=250", "bounds.stretch_max_ms=5000",
		"bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.finish_s=10", "bounds.status_s=120", "bounds.cancel_ms=3000", "bounds.settle_ms=1000",
		"bounds.quota_overage=0.1", "bounds.require_fence=true", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.ttl_max_s=5",
		"provider.address=" + storeAddress, "provider.form=table", "provider.writes_per_s=800", "provider.reads_per_s=2000", "provider.tx_ms=5.0", "provider.part_writes_s=200",
		"provider.row_bytes=65536", "provider.across=false", "provider.retention_s=20", "provider.blob_bytes=8388608", "provider.blob_ms=25.0", "provider.blob_mb_s=80.0"}
	if err := os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(s.dir, n.name+".log")); err != nil {
		return nil, err
	}
	s.nodes = append(s.nodes, n)
	return n, n.start()
}

// usedAddresses is the number of loopback addresses tried so far.
var usedAddresses = os.Getpid() % 200 * 64

// freeAddress returns a loopback address at which the ports of a node are free.
func freeAddress() (string, error) {
	for range 64 {
		usedAddresses++
		ip := fmt.Sprintf("127.71.%d.%d", usedAddresses/250%250, 1+usedAddresses%250)
		free := true
		for _, port := range []string{"8144", "8140", "8143", "7660", "9464"} {
			ln, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			ln.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no free loopback address")
}

func (n *node) start() error {
	cmd := exec.Command(program, nodeArgs...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ZINNIALADDER_SETTINGS=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	n.site.record("%s started", n.name)
	go func() {
		err := cmd.Wait()
		n.site.record("%s exited: %v", n.name, err)
		close(exited)
	}()
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig) // fails if the process has ended
	}
}

// end kills the process and waits for its end.
func (n *node) end() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// isReady asks for the readiness once.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/zinnialadder/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (s *site) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(s.nodes) {
			return nil
		}
	}
	return errors.New("the nodes did not become ready")
}

// addresses asks a node where to connect.
func (n *node) addresses() (addresses []string, ttl time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.resolve+"/zinnialadder/resolve?name="+host+"&region=minho&zone=zone-0", nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var a struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("resolve: status %d, %v", resp.StatusCode, err)
	}
	return a.Addresses, time.Duration(a.TTL * float64(time.Second)), nil
}
