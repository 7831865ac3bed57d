package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the host name of all routes.
const host = "ficu95.example"

// Bounds of the small deployments.
const (
	graceS      = 8
	settle      = time.Second
	configApply = 2 * time.Second
)

// recorder writes what happened to record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	begun time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{f: f, begun: time.Now()}, err
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// node is one machine of the system with its process.
type node struct {
	name, ip string
	settings string
	program  string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

func (n *node) front() string { return n.ip + ":8144" }

// site is a small deployment: a store, engines and the system's processes.
type site struct {
	rec      *recorder
	store    *store
	engines  []*engine
	nodes    []*node
	dir      string
	manifest map[string]any
}

func newSite(rec *recorder, nodes int, engines []*engine, manifest map[string]any) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, store: newStore(rec), engines: engines, dir: dir, manifest: manifest}
	s.store.put("op", "config", manifest)
	for _, e := range engines {
		if err := e.start(rec, s.store); err != nil {
			return s, err
		}
	}
	net, err := freeNetwork(nodes)
	if err != nil {
		return s, err
	}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("edge-%c-1", 'a'+i), ip: fmt.Sprintf("%s.%d", net, 11+i), program: filepath.Join("target", "zinnialadder")}
		s.nodes = append(s.nodes, n)
		if err := s.startNode(n, nodes); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

// ports are those that each node listens on, the one for metrics from the deploy file
// included.
var ports = []int{8140, 8143, 8144, 8146, 7660, 9464}

// freeNetwork returns the first three bytes of loopback addresses at which the ports of n
// nodes are free.
func freeNetwork(n int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range n {
			for _, p := range ports {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, 11+i, p))
				if err != nil {
					free = false
					continue
				}
				ln.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (s *site) startNode(n *node, nodes int) error {
	address, err := s.store.serve(n.name, "127.0.0.1:0")
	if err != nil {
		return err
	}
	var zones []string
	for i := range nodes {
		zones = append(zones, fmt.Sprintf("zones.hall-%c=minho", 'a'+i))
	}
	lines := []string{"node=" + n.name, "role=node", "machine_class=edge", "serves=edge,registry", "ip=" + n.ip, "zone=hall-" + n.name[5:6], "region=minho",
		strings.Join(zones, "\n"),
		"listen.front=" + n.ip + ":8144", "listen.ready=" + n.ip + ":8140", "listen.control=" + n.ip + ":8146", "listen.directory=" + n.ip + ":8143", "port_range=7660,7675",
		"bootstrap=true", "in_loss_budget=false", "limits.cpu_share=0.8", "limits.cores=1", "limits.memory_mb=314", "limits.max_fds=8200", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=registry", "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catchup_s=4.7", "bounds.drain_ms=2000", fmt.Sprintf("bounds.grace_s=%d", graceS),
		"bounds.loss_slack_ms=200", fmt.Sprintf("bounds.config_apply_ms=%d", configApply.Milliseconds()), "bounds.downgrade_slack_ms=250", "bounds.stretch_max_ms=5000", "bounds.recovery_s=12", "bounds.pass_ms=120",
		"bounds.retry_after_s=0", "bounds.finish_s=10", "bounds.status_s=120", "bounds.cancel_ms=3000", fmt.Sprintf("bounds.settle_ms=%d", settle.Milliseconds()), "bounds.quota_overage=0.1", "bounds.require_fence=true",
		"bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.ttl_max_s=5",
		"provider.address=" + address, "provider.form=table", "provider.writes_per_s=800", "provider.reads_per_s=2000", "provider.tx_ms=5.0", "provider.part_writes_s=200", "provider.row_bytes=65536",
		"provider.across=false", "provider.retention_s=20", "provider.blob_bytes=8388608", "provider.blob_ms=25.0", "provider.blob_mb_s=80.0"}
	n.settings = filepath.Join(s.dir, n.name+".conf")
	if err := os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(s.dir, n.name+".log")); err != nil {
		return err
	}
	return n.start()
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.cmd = exec.Command(n.program, "node", "--metrics-port", "9464")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ZINNIALADDER_SETTINGS=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := processes.start(n.cmd); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(n.cmd, n.exited)
	return nil
}

// processes are those that were started, to be killed if the case is stopped.
var processes processList

type processList struct {
	mu     sync.Mutex
	cmds   []*exec.Cmd
	closed bool
}

func (l *processList) start(cmd *exec.Cmd) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errors.New("the case was stopped")
	}
	l.cmds = append(l.cmds, cmd)
	return cmd.Start()
}

// killAll kills all processes and lets none start any more.
func (l *processList) killAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, cmd := range l.cmds {
		if cmd.Process != nil {
			_ = cmd.Process.Kill() // fails if it has exited
		}
	}
}

func (n *node) signal(sig syscall.Signal) { _ = n.cmd.Process.Signal(sig) }

// close ends all processes and keeps their logs only if REVIEW_LOGS names a folder.
func (s *site) close() {
	processes.killAll()
	for _, n := range s.nodes {
		if n.exited != nil {
			<-n.exited
		}
	}
	if to := os.Getenv("REVIEW_LOGS"); to != "" {
		for _, n := range s.nodes {
			b, _ := os.ReadFile(n.log.Name())
			_ = os.WriteFile(filepath.Join(to, n.name+".log"), b, 0o600)
		}
	}
	_ = os.RemoveAll(s.dir)
}

// awaitReady waits until all nodes are ready.
func (s *site) awaitReady() error {
	until := time.Now().Add(15 * time.Second)
	for _, n := range s.nodes {
		for {
			resp, err := http.Get("http://" + n.ip + ":8140/zinnialadder/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// answer is a node's answer to one call.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // the channel ended without a complete answer
}

// call sends one call on a channel of its own.
func (s *site) call(to *node, method, path string, header map[string]string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.front()+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: b, err: err}
}

// result is one result of a batch submission.
type result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Output   string   `json:"output"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

// read reads the results of a batch submission from a position on.
func (s *site) read(from *node, id string, after int) (results []result, total int, a answer) {
	a = s.call(from, http.MethodGet, fmt.Sprintf("/zinnialadder/lots/%s?after=%d", id, after), map[string]string{"Wait-Ms": "500"}, nil, 2500*time.Millisecond)
	var page struct {
		Total   int      `json:"total"`
		Results []result `json:"results"`
	}
	if a.err == nil && a.status == http.StatusOK {
		a.err = json.Unmarshal(a.body, &page)
	}
	return page.Results, page.Total, a
}

// submission returns the body of a batch submission of n items in groups of four.
func submission(id, path, model, scorer string, step, minVersion, n int) []byte {
	items := []map[string]any{}
	for i := range n {
		item := fmt.Sprintf("%s%04x", id[:12], i)
		items = append(items, map[string]any{"id": item, "path": path + item, "headers": map[string]string{"Model": model, "Token-Usage": "271,400", "Prompt-Prefix": fmt.Sprintf("9c%04x:255,%s:16", i/4, item)},
			"body": []byte("prompt of " + item), "tokens": 671, "group": fmt.Sprintf("%s-g%d", id, i/4),
			"scorer": map[string]any{"id": "5c" + item, "host": host, "path": scorer + item, "body": []byte("score " + item)}})
	}
	b, err := json.Marshal(map[string]any{"step": step, "model": model, "min_version": minVersion, "desired": max(n/4, 1), "items": items})
	if err != nil {
		panic(err)
	}
	return b
}

// newID returns a random ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
