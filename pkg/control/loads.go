package control

import (
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// LoadTable keeps the last load report of each engine by address. The control
// goroutine stores reports; traffic reads them, and stores the loads that
// engines tell with their answers, which cost no call.
type LoadTable struct {
	mu      sync.RWMutex
	reports map[string]loadReport
}

// loadReport is an engine's last report, with the part of its load that was
// not this instance's own when it told it.
type loadReport struct {
	engine.LoadReport
	others int64
}

// othersIn returns how many of the requests in l are not among the own that
// this instance has in flight at the engine.
func othersIn(l engine.Load, own int64) int64 { return max(0, int64(l.Active+l.Queued)-own) }

func newLoadTable() *LoadTable {
	return &LoadTable{reports: map[string]loadReport{}}
}

func (t *LoadTable) get(addr string) (engine.LoadReport, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rep, ok := t.reports[addr]
	return rep.LoadReport, ok
}

// OtherRequests returns how many requests of others the engine at addr is believed
// to hold.
func (t *LoadTable) OtherRequests(addr string) int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.reports[addr].others
}

// PutReport stores rep, read while this instance had own requests in flight at the
// engine.
func (t *LoadTable) PutReport(addr string, rep engine.LoadReport, own int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[addr] = loadReport{LoadReport: rep, others: othersIn(engine.Load{Active: rep.Active, Queued: rep.Queued}, own)}
}

// PutLoad stores the load that the engine at addr told with an answer, while
// this instance had own requests in flight at it.
func (t *LoadTable) PutLoad(addr string, l engine.Load, own int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rep, ok := t.reports[addr]
	if !ok {
		return // its version is not known yet
	}
	rep.Active, rep.Queued = l.Active, l.Queued
	rep.others = othersIn(l, own)
	t.reports[addr] = rep
}
