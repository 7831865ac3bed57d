package snapshot

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
)

// DutyTables returns the tables that State.Duties needs. d gives the names of the tables
// of operators and upstreams.
func DutyTables(d node.Decoder) []Table {
	return append(VersionTables(d),
		Table{Name: node.LeasesTable, Prefixes: []string{node.LeasesTable + "//"}},
		Table{Name: usage.ReportsTable, Prefixes: []string{usage.ReportsPrefix()}})
}

// Duties is the state of the tasks that a lease holder does for the whole site: it
// reports customers' usage and orders engines.
type Duties struct {
	TakenAt time.Time      `json:"taken_at"`
	Holders []Lease        `json:"holders"`
	Reports []usage.Report `json:"reports"` // oldest first
	Missing []usage.Window `json:"missing"` // without a report, between the oldest and the newest one
	Engines []EngineCount  `json:"engines"`
}

// EngineCount is the number of engines of a pool in a data centre.
type EngineCount struct {
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	Regular    int    `json:"regular"`
	Spot       int    `json:"spot"` // that the cloud provider may take back
	Draining   int    `json:"draining"`
}

// Duties returns the state of the duties.
func (st State) Duties() Duties {
	d := Duties{TakenAt: st.TakenAt, Holders: st.Leases, Reports: slices.Clone(st.Reports)}
	slices.SortFunc(d.Reports, func(a, b usage.Report) int { return cmp.Compare(a.Window, b.Window) })
	for i := 1; i < len(d.Reports); i++ {
		for w := d.Reports[i-1].Window + 1; w < d.Reports[i].Window; w++ {
			d.Missing = append(d.Missing, w)
		}
	}
	type place struct{ pool, dataCentre string }
	there := map[place]EngineCount{}
	for _, e := range st.Upstreams {
		p := place{e.Pool, e.DataCentre}
		n := there[p]
		n.Pool, n.DataCentre = e.Pool, e.DataCentre
		switch {
		case e.Draining:
			n.Draining++
		case e.Spot:
			n.Spot++
		default:
			n.Regular++
		}
		there[p] = n
	}
	d.Engines = slices.SortedFunc(maps.Values(there), func(a, b EngineCount) int {
		return cmp.Or(strings.Compare(a.Pool, b.Pool), strings.Compare(a.DataCentre, b.DataCentre))
	})
	return d
}

// Write writes d as text. An error is one of w.
func (d Duties) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "as of\t%s\n", d.TakenAt.UTC().Format(time.DateTime))
	for _, l := range d.Holders {
		fmt.Fprintf(t, "holder of %s\t%s\tfencing %d\n", l.Name, l.Holder, l.Fencing)
	}
	for _, r := range d.Reports {
		total := 0
		for _, n := range r.Counts {
			total += n
		}
		sent := "not accepted yet"
		if !r.SentAt.IsZero() {
			sent = "accepted " + r.SentAt.UTC().Format(time.TimeOnly)
		}
		fmt.Fprintf(t, "window %d\t%d requests of %d customers\ttold by %d instances\tfixed %s by %s\t%s\n", r.Window, total, len(r.Counts),
			r.Tallies, r.FinalizedAt.UTC().Format(time.TimeOnly), r.FinalizedBy, sent)
	}
	for _, w := range d.Missing {
		fmt.Fprintf(t, "window %d\tmissing\n", w)
	}
	for _, e := range d.Engines {
		fmt.Fprintf(t, "pool %s\t%s\t%d regular\t%d spot\t%d draining\n", e.Pool, e.DataCentre, e.Regular, e.Spot, e.Draining)
	}
	return t.Flush()
}
