package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/zinnialadder/zinnialadder/platform/sitetest"
)

const (
	items        = 64
	stepDeadline = 12 * time.Second // of a step, by the sheet
	idleTime     = 5 * time.Second  // at no engine, by the rule LOST
	namedBefore  = 6 * time.Second  // no version may be named for so long before
)

// expectVersion plays a consumer whose streams name the weight version that the engines held
// until the trainer named the next one, beside a trainer's step. Without the disruption the
// consumer names the version that the engines hold.
func expectVersion(r *run) int {
	r.serveUpstreams(4, 2, 25, 50*time.Millisecond)
	r.configure(1,
		map[string]any{"name": "score", "host": host, "path_prefix": "/score/", "kind": "idempotent", "timeout_ms": 2000, "slo_ms": 400, "service": plainPool, "max_attempts": 4},
		map[string]any{"name": "chat", "host": host, "path_prefix": "/chat/", "kind": "streaming", "resumable": true, "sticky": true, "timeout_ms": 10000, "slo_ms": 400, "service": enginePool, "max_attempts": 3},
		map[string]any{"name": "train", "host": host, "path_prefix": "/train/", "kind": "rollout", "timeout_ms": 10000, "slo_ms": 400, "due_ms": 7500, "max_age_s": 40, "service": enginePool, "max_attempts": 3})
	if err := r.startNodes(3); err != nil {
		r.note("%v", err)
		return couldNot
	}
	if ok := r.chats("first", 1, 6); ok < 6 {
		r.note("the consumer was not served before")
		return couldNot
	}
	r.store.Put("op", "version/"+model, map[string]any{"model": model, "version": 2})
	named := time.Now()
	r.note("trainer: names version 2")
	if !r.await(20*time.Second, func() bool { return r.allHold(2) }) {
		r.note("the engines did not load version 2")
		return couldNot
	}
	r.note("all engines hold version 2")
	time.Sleep(time.Until(named.Add(8 * time.Second)))

	submission := map[string]any{"step": 2, "model": model, "min_version": 1, "desired": 8}
	var list []map[string]any
	for i := range items {
		id := fmt.Sprintf("item-%02d", i)
		list = append(list, map[string]any{"id": id, "path": "/train/" + id, "headers": map[string]string{"Model": model, "Token-Usage": "271,400", "Prompt-Prefix": fmt.Sprintf("a%d:255,b%d:16", i/8, i)},
			"body": []byte("prompt"), "tokens": 671, "group": fmt.Sprintf("g%d", i/8),
			"scorer": map[string]any{"id": "score-" + id, "host": host, "path": "/score/" + id, "body": []byte("score")}})
	}
	submission["items"] = list
	status, _ := r.call(http.MethodPost, "http://"+r.nodes[0].front+"/train/step2", map[string]string{"Request-Id": "step2", "Content-Type": "application/json"}, submission, 5*time.Second)
	r.note("trainer: submits 64 items in 8 groups, answered %d", status)
	if status != http.StatusAccepted {
		return couldNot
	}
	accepted := time.Now()
	time.Sleep(700 * time.Millisecond)
	version := 2
	if r.trouble {
		version = 1
	}
	r.chats("pinned", version, len(r.nodes)) // one at each process
	busiest := 0                             // most requests at the engines in the last idleTime of the step
	for time.Since(accepted) < stepDeadline {
		if time.Since(accepted) > stepDeadline-idleTime {
			running := 0
			for _, e := range r.engines {
				running += e.Running()
			}
			busiest = max(busiest, running)
		}
		time.Sleep(20 * time.Millisecond)
	}
	status, body := r.call(http.MethodGet, "http://"+r.nodes[1].front+"/zinnialadder/lots/step2?after=0", nil, nil, 5*time.Second)
	var page struct {
		Total, Next int
		Results     []struct{ ID, State string }
	}
	if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
		r.note("results not read: %d", status)
		return couldNot
	}
	r.note("trainer: at its deadline, %d of %d items are listed", page.Next, page.Total)
	idle := r.idleItems(accepted)
	begun := r.itemsBegun()
	r.noteRuns()
	r.note("items that an engine has begun: %d; items that no engine has finished or failed and that were at no engine in the last 5 s: %d; most requests at the engines meanwhile: %d of %d slots", begun, idle, busiest, slots*len(r.engines))
	r.plainChats()
	if idle > 0 && begun > 0 && busiest*2 < slots*len(r.engines) && accepted.Add(stepDeadline-idleTime).Sub(named) > namedBefore {
		return broken
	}
	return held
}

// chats has the consumer request n streams, by turns at each process, and returns how many
// were complete.
func (r *run) chats(name string, version, n int) int {
	statuses, complete := map[int]int{}, 0
	for i := range n {
		id := fmt.Sprintf("chat-%s-%d", name, i)
		node := r.nodes[i%len(r.nodes)]
		status, _ := r.chat(node, id, strconv.Itoa(version))
		r.note("consumer: %s with Expect-Version %d at %s, answered %d", id, version, node.name, status)
		statuses[status]++
		if status == http.StatusOK {
			complete++
		}
		if r.trouble && status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
	r.note("consumer: %d streams, answers by status (0: broken off): %v", n, statuses)
	return complete
}

// plainChats shows how streams without Expect-Version are served at the end.
func (r *run) plainChats() {
	for i, n := range r.nodes {
		status, body := r.chat(n, fmt.Sprintf("chat-plain-%d", i), "")
		if status == http.StatusOK {
			body = nil
		}
		r.note("another consumer, without Expect-Version, at %s: %d %s", n.name, status, body)
	}
}

func (r *run) chat(n *nodeProcess, id, version string) (int, []byte) {
	h := map[string]string{"Request-Id": id, "Deadline-Ms": "12000", "Model": model, "Token-Usage": "271,400", "Prompt-Prefix": "c1:255,d" + strconv.Itoa(len(id)) + ":16"}
	if version != "" {
		h["Expect-Version"] = version
	}
	return r.call(http.MethodPost, "http://"+n.front+"/chat/"+id, h, []byte("prompt"), 13*time.Second)
}

func (r *run) allHold(version uint64) bool {
	for _, e := range r.engines {
		if e.Version(model) != version {
			return false
		}
	}
	return true
}

func (r *run) itemRuns(id string) (runs []sitetest.Run) {
	for _, e := range r.engines {
		for _, run := range e.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// noteRuns records which engines ran each item.
func (r *run) noteRuns() {
	for i := range items {
		id := fmt.Sprintf("item-%02d", i)
		var runs []string
		for _, e := range r.engines {
			for _, run := range e.Runs() {
				if run.ID == id {
					runs = append(runs, fmt.Sprintf("%s from %.3f s, complete %v", e.ID, run.StartedAt.Sub(r.startedAt).Seconds(), run.Completed))
				}
			}
		}
		r.note("%s: runs %q", id, runs)
	}
}

func (r *run) itemsBegun() (n int) {
	for i := range items {
		if len(r.itemRuns(fmt.Sprintf("item-%02d", i))) > 0 {
			n++
		}
	}
	return n
}

// idleItems returns how many items no engine has finished, and none has begun to run since
// idleTime before the step's deadline less the time that a whole text takes.
func (r *run) idleItems(accepted time.Time) (n int) {
	since := accepted.Add(stepDeadline - idleTime - 25*50*time.Millisecond - time.Second)
	for i := range items {
		finished, late := false, false
		for _, run := range r.itemRuns(fmt.Sprintf("item-%02d", i)) {
			finished = finished || run.Completed
			late = late || run.StartedAt.After(since)
		}
		if !finished && !late {
			n++
		}
	}
	return n
}
