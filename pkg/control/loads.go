package control

import (
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// LoadTable holds the last load report of each engine by address. The control goroutine
// stores reports. Request handlers read them, and store the loads that engines send
// with their responses, which cost no call of their own. It is safe for concurrent use.
type LoadTable struct {
	mu      sync.RWMutex
	reports map[string]loadReport
}

// loadReport is an engine's last report, with the number of requests in it that are not
// this instance's own.
type loadReport struct {
	engine.LoadReport
	otherRequests int64
}

// otherRequestsIn returns how many requests of l are not among the own requests that
// this instance has in flight at the engine.
func otherRequestsIn(l engine.Load, own int64) int64 { return max(0, int64(l.Active+l.Queued)-own) }

func newLoadTable() *LoadTable {
	return &LoadTable{reports: map[string]loadReport{}}
}

func (t *LoadTable) get(addr string) (engine.LoadReport, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	report, ok := t.reports[addr]
	return report.LoadReport, ok
}

// OtherRequests returns how many requests of other senders the engine at addr holds by
// its last report.
func (t *LoadTable) OtherRequests(addr string) int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.reports[addr].otherRequests
}

// PutReport stores report, read while this instance had own requests in flight at the
// engine.
func (t *LoadTable) PutReport(addr string, report engine.LoadReport, own int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[addr] = loadReport{LoadReport: report, otherRequests: otherRequestsIn(engine.Load{Active: report.Active, Queued: report.Queued}, own)}
}

// PutLoad stores the load that the engine at addr sent with a response, while this
// instance had own requests in flight at it. It does nothing before the engine's first
// report.
func (t *LoadTable) PutLoad(addr string, l engine.Load, own int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, ok := t.reports[addr]
	if !ok {
		return // without a report its weight version is not known
	}
	report.Active, report.Queued = l.Active, l.Queued
	report.otherRequests = otherRequestsIn(l, own)
	t.reports[addr] = report
}
