package capacity

import (
	"fmt"
	"io"
	"math"
	"time"
)

// Target is the size that letter 1 names.
type Target struct {
	Nodes          int     // entry instances
	Engines        int     // model engines
	Entries        int     // catalogue entries (assumed; the letter names none)
	RequestsPerSec float64 // at the peak, whole site
	PoolSize       int     // engines a request chooses among
	ChangesPerDay  float64 // catalogue changes
}

// Letter1 is the letter's size, with the assumptions marked in CAPACITY.md.
var Letter1 = Target{Nodes: 370, Engines: 4800, Entries: 2000, RequestsPerSec: 5200, PoolSize: 64, ChangesPerDay: 3400}

// Budget is the letter's control budget per node.
type Budget struct {
	CorePercent float64
	MemoryMB    float64
	WireKBps    float64
}

// Letter1Budget is 1.2% of a core, 32 MB and 7 KB a second per node.
var Letter1Budget = Budget{CorePercent: 1.2, MemoryMB: 32, WireKBps: 7}

// Mechanism is how often a node does each piece of control work.
type Mechanism struct {
	Name string
	// Catalogue reads: whole scans per second, and one-row reads (the
	// revision row, or the one item that changed) per second.
	CatalogueScansPerSec float64
	RowReadsPerSec       float64
	MemberScansPerSec    float64
	HeartbeatsPerSec     float64
	// Engines whose load reports a node reads, and how often.
	EnginesPolled   float64
	ReportsPerSec   float64
	HintBytesPerSec float64 // peer hints sent and received
}

// First is the mechanism of the first commit: whole catalogue and
// membership scans every second, a heartbeat every 5/3 s, and every engine
// of the catalogue's pools polled every second.
func First(t Target) Mechanism {
	return Mechanism{Name: "first", CatalogueScansPerSec: 1, MemberScansPerSec: 1,
		HeartbeatsPerSec: 1 / (5.0 / 3), EnginesPolled: float64(t.Engines), ReportsPerSec: 1}
}

// Second is the mechanism that came next: the revision row read every second
// with a whole scan when it moved and every 60 s, membership scanned every
// second, a heartbeat every 5/3 s, and 20 load reports read a second, round
// robin.
func Second(t Target) Mechanism {
	changesPerSec := t.ChangesPerDay / 86400
	return Mechanism{Name: "second", CatalogueScansPerSec: 1.0/60 + changesPerSec, RowReadsPerSec: 1,
		MemberScansPerSec: 1, HeartbeatsPerSec: 1 / (5.0 / 3), EnginesPolled: 20, ReportsPerSec: 1}
}

// Today is the mechanism that runs now: each second one read of the revision
// row and one of the instance list, each two seconds one of the open steps,
// only the changed rows of the catalogue and a whole scan every 30 minutes,
// a membership scan every second for each 12 members, 45 heartbeats a second
// of all nodes together, 6 load reports a second, and hints to log2 of the members, each of
// whom passes them on.
func Today(t Target) Mechanism {
	changesPerSec := t.ChangesPerDay / 86400
	return Mechanism{Name: "today", CatalogueScansPerSec: 1.0 / 1800, RowReadsPerSec: 2.5 + changesPerSec,
		MemberScansPerSec: 12 / float64(t.Nodes), HeartbeatsPerSec: 45 / float64(t.Nodes), EnginesPolled: 6, ReportsPerSec: 1,
		HintBytesPerSec: 2 * changesPerSec * math.Log2(float64(t.Nodes)) * hintBytes}
}

// hintBytes is the size of one hint with its frame and packet headers.
const hintBytes = 120

// Cost is one node's control cost.
type Cost struct {
	CorePercent float64
	MemoryMB    float64
	WireKBps    float64
	Lines       []CostLine
}

// CostLine is one mechanism's share of a Cost.
type CostLine struct {
	What        string
	CorePercent float64
	WireKBps    float64
	MemoryMB    float64
}

// Project returns a node's control cost at t under m, from slopes.
func Project(slopes []Slope, t Target, m Mechanism) Cost {
	by := map[string]Slope{}
	for _, s := range slopes {
		by[s.Name] = s
	}
	reqPerNode := t.RequestsPerSec / float64(t.Nodes)
	lines := []CostLine{
		per("catalogue entries", by["catalogue scan"], float64(t.Entries), m.CatalogueScansPerSec, float64(t.Entries)),
		per("pools", by["pool scan"], float64(t.Engines), m.CatalogueScansPerSec, float64(t.Engines)),
		per("catalogue one-row reads", oneRow(by["catalogue scan"]), 0, m.RowReadsPerSec, 0),
		per("membership", by["membership scan"], float64(t.Nodes), m.MemberScansPerSec, float64(t.Nodes)),
		per("heartbeat", by["membership heartbeat"], 0, m.HeartbeatsPerSec, 0),
		per("load reports", by["engine load report"], 0, m.ReportsPerSec*m.EnginesPolled, 0),
		per("engine choice", by["engine choice"], float64(t.PoolSize), reqPerNode, 0),
		{What: "peer hints", WireKBps: m.HintBytesPerSec / 1000},
	}
	c := Cost{Lines: lines}
	for _, l := range lines {
		c.CorePercent += l.CorePercent
		c.WireKBps += l.WireKBps
		c.MemoryMB += l.MemoryMB
	}
	return c
}

// oneRow is the cost of reading a single row, from the scan's slope.
func oneRow(s Slope) Slope {
	return Slope{CPUFixed: s.CPUPerItem, WireFixed: s.WirePerItem + 150}
}

// per is the cost of an operation over items, done rate times a second,
// holding held items in memory.
func per(what string, s Slope, items, rate, held float64) CostLine {
	ns := s.CPUFixed + s.CPUPerItem*items
	wire := s.WireFixed + s.WirePerItem*items
	return CostLine{What: what, CorePercent: ns * rate / float64(time.Second) * 100,
		WireKBps: wire * rate / 1000, MemoryMB: s.HeapPerItem * held / 1e6}
}

// WriteReport writes the slopes and both projections as Markdown.
func WriteReport(w io.Writer, slopes []Slope, t Target, b Budget) {
	fmt.Fprintf(w, "## Measured slopes\n\n| work | item | sizes | CPU fixed | CPU per item | wire per item | heap per item |\n|---|---|---|---|---|---|---|\n")
	for _, s := range slopes {
		sizes := "one size"
		if len(s.Points) > 0 {
			sizes = fmt.Sprint(Sizes)
		}
		fmt.Fprintf(w, "| %s | %s | %s | %.0f ns | %.1f ns | %.1f B | %.1f B |\n",
			s.Name, s.Item, sizes, s.CPUFixed, s.CPUPerItem, s.WirePerItem, s.HeapPerItem)
	}
	for _, m := range []Mechanism{First(t), Second(t), Today(t)} {
		c := Project(slopes, t, m)
		fmt.Fprintf(w, "\n## Per node at %d nodes, %d engines: mechanism %q\n\n| part | core %% | KB/s | MB |\n|---|---|---|---|\n",
			t.Nodes, t.Engines, m.Name)
		for _, l := range c.Lines {
			fmt.Fprintf(w, "| %s | %.4f | %.2f | %.2f |\n", l.What, l.CorePercent, l.WireKBps, l.MemoryMB)
		}
		fmt.Fprintf(w, "| **total** | **%.3f** (budget %.1f) | **%.1f** (budget %.0f) | **%.1f** (budget %.0f) |\n",
			c.CorePercent, b.CorePercent, c.WireKBps, b.WireKBps, c.MemoryMB, b.MemoryMB)
	}
}
