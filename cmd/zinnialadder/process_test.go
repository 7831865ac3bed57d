package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/trainer/trainertest"
)

// processes runs the commands of the program as separate processes.
type processes struct {
	t     *testing.T
	dir   string
	bin   string
	ports int // number of ports tried by addr
}

func newProcesses(t *testing.T) *processes {
	p := &processes{t: t, dir: t.TempDir()}
	p.bin = filepath.Join(p.dir, "zinnialadder")
	if out, err := exec.Command("go", "build", "-o", p.bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return p
}

// firstPort is the first port that addr tries. It is below the ephemeral ports, so that
// no outgoing connection takes an address before its process listens on it.
const firstPort = 27800

// addr returns a loopback host:port that is free and has not been returned before.
func (p *processes) addr() string {
	for ; p.ports < 1000; p.ports++ {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+p.ports)
		ln, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		ln.Close()
		p.ports++
		return a
	}
	p.t.Fatal("no free port")
	return ""
}

// start runs the command role with the given settings. The process is killed when the
// test ends.
func (p *processes) start(role string, settings map[string]any) *os.Process {
	settings["log_level"] = "warn"
	b, _ := json.Marshal(settings)
	path := filepath.Join(p.dir, fmt.Sprintf("%s-%v.jsonc", role, settings["listen"]))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(p.bin, role, "--settings", path)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

// eventually polls cond until it returns true, and fails the test after within.
func eventually(t *testing.T, within time.Duration, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); !cond(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no success within %v: %s", within, what)
		}
	}
}

// sendJSON posts v as JSON, or sends a GET if v is nil, and decodes a 2xx response into out
// unless it is nil. It returns the status.
func sendJSON(url string, v, out any) (int, error) {
	client := http.Client{Timeout: 3 * time.Second}
	var resp *http.Response
	var err error
	if v == nil {
		resp, err = client.Get(url)
	} else {
		b, _ := json.Marshal(v)
		resp, err = client.Post(url, "application/json", bytes.NewReader(b))
	}
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || out == nil || resp.StatusCode/100 != 2 {
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(body, out)
}

// A step of 40 groups runs while one of four entry instances is killed, one is
// suspended for longer than every lease and then continues, the platform drops
// responses and becomes unavailable, and a new weight version is rolled out to engines
// that check fencing tokens and engines that do not. The step must complete, the
// trainer must hold every sample, with the same contents each time it was sent and with
// no weight versions but 1 and 2, and every engine must load the target version.
func TestStepSurvivesKillPauseAndOutage(t *testing.T) {
	p := newProcesses(t)
	plat := p.addr()
	p.start("platform", map[string]any{"listen": plat, "data_centre": "braga-hall"})
	table := platform.NewClient("http://"+plat, nil)
	var pool catalogue.Pool
	pool.Name, pool.Kind = "assistant-pool", catalogue.Engines
	for i := range 4 {
		a := p.addr()
		p.start("engine", map[string]any{"listen": a, "data_centre": "braga-hall", "name": fmt.Sprint("e", i), "slots": 8,
			"token_interval": "10ms", "weight_version": 1, "checks_fencing": i%2 == 0})
		pool.Upstreams = append(pool.Upstreams, catalogue.Upstream{Address: a, DataCentre: "braga-hall", State: catalogue.Live})
	}
	tr := p.addr()
	p.start("trainer", map[string]any{"listen": tr, "data_centre": "braga-hall"})
	var addrs []string
	var procs []*os.Process
	for i := range 4 {
		a := p.addr()
		addrs = append(addrs, a)
		procs = append(procs, p.start("entry", map[string]any{"listen": a, "data_centre": "braga-hall", "id": fmt.Sprint("entry-", i),
			"peer_listen": p.addr(), "platform": "http://" + plat, "refresh": "200ms", "lease_ttl": "1s", "shard_groups": 5,
			"shard_lease_ttl": "1s", "rollout_lease_ttl": "1s"}))
	}
	eventually(t, 10*time.Second, "the platform serves", func() bool { _, err := table.Scan(context.Background(), "x"); return err == nil })
	f := catalogue.File{Pools: []catalogue.Pool{pool}, Entries: []catalogue.Entry{{Name: "drafts", Owner: "minho", Class: catalogue.Training,
		Pool: "assistant-pool", Limits: catalogue.Limits{MaxInFlight: 16, MaxTokens: 64}, Trainer: tr, MaxVersionLag: 1}}}
	if _, err := catalogue.Sync(context.Background(), table, f, "test", time.Now()); err != nil {
		t.Fatal(err)
	}
	setTarget := func(v uint64) bool {
		status, err := sendJSON("http://"+addrs[3]+"/v1/weights", entry.WeightsRequest{Customer: "minho", Entry: "drafts", Version: v}, nil)
		return err == nil && status == http.StatusNoContent
	}
	eventually(t, 10*time.Second, "target version 1 set", func() bool { return setTarget(1) })

	const groups, size = 40, 4
	spec := step.Spec{Customer: "minho", Entry: "drafts", ID: "s1", Desired: groups, Deadline: time.Now().Add(time.Minute).UTC()}
	for i := range groups {
		spec.Groups = append(spec.Groups, step.Group{ID: fmt.Sprint("g", i), Prompt: fmt.Sprint("prompt ", i), Size: size, MaxTokens: 40})
	}
	if status, err := sendJSON("http://"+addrs[3]+"/v1/steps", spec, nil); err != nil || status != http.StatusAccepted {
		t.Fatalf("POST /v1/steps: status %d, error %v, want %d", status, err, http.StatusAccepted)
	}
	var got []trainertest.ReceivedSample
	received := func() int {
		got = nil
		if _, err := sendJSON("http://"+tr+"/v1/received", nil, &got); err != nil {
			return 0
		}
		return len(got)
	}
	eventually(t, 20*time.Second, "the samples of 4 groups at the trainer", func() bool { return received() >= 4*size })
	_ = procs[0].Kill()
	_ = procs[1].Signal(syscall.SIGSTOP)
	setFaults := func(f platformtest.Faults) {
		if _, err := sendJSON("http://"+plat+"/v1/faults", f, nil); err != nil {
			t.Fatal(err)
		}
	}
	setFaults(platformtest.Faults{LoseReplies: 4, LosePrefix: "delivery/"})
	eventually(t, 10*time.Second, "target version 2 set", func() bool { return setTarget(2) })
	setFaults(platformtest.Faults{Down: true})
	time.Sleep(time.Second)
	setFaults(platformtest.Faults{})
	time.Sleep(2 * time.Second) // the leases of the suspended instance have expired, and other instances hold them
	_ = procs[1].Signal(syscall.SIGCONT)

	eventually(t, 50*time.Second, "the step complete", func() bool {
		var st entry.StepStatus
		_, err := sendJSON("http://"+addrs[2]+"/v1/steps/minho/drafts/s1", nil, &st)
		return err == nil && st.Closed == step.Complete
	})
	eventually(t, 30*time.Second, "every sample at the trainer", func() bool { return received() == groups*size })
	for _, r := range got {
		if r.Altered { // after a kill a sample may be sent again, with the same contents
			t.Errorf("sample %s was sent again with other contents, want the same", r.Sample.ID)
		}
		for _, v := range r.Sample.WeightVersions {
			if v != 1 && v != 2 {
				t.Errorf("sample %s has weight versions %v, want only 1 and 2", r.Sample.ID, r.Sample.WeightVersions)
			}
		}
	}
	eventually(t, 20*time.Second, "every engine at version 2", func() bool {
		for _, u := range pool.Upstreams {
			rep, err := engine.NewClient(u.Address, nil).LoadReport(context.Background())
			if err != nil || rep.WeightVersion != 2 {
				return false
			}
		}
		return true
	})
}
