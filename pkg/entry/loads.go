package entry

import (
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// loadTable keeps the last load report of each engine by address. The control
// goroutine stores reports; traffic reads them, and stores the loads that
// engines tell with their answers, which cost no call.
type loadTable struct {
	mu      sync.RWMutex
	reports map[string]engine.LoadReport
}

func newLoadTable() *loadTable {
	return &loadTable{reports: map[string]engine.LoadReport{}}
}

func (t *loadTable) get(addr string) (engine.LoadReport, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rep, ok := t.reports[addr]
	return rep, ok
}

func (t *loadTable) put(addr string, rep engine.LoadReport) {
	t.mu.Lock()
	t.reports[addr] = rep
	t.mu.Unlock()
}

// told stores the load that the engine at addr told with an answer.
func (t *loadTable) told(addr string, l engine.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rep, ok := t.reports[addr]
	if !ok {
		return // its version is not known yet
	}
	rep.Active, rep.Queued = l.Active, l.Queued
	t.reports[addr] = rep
}
