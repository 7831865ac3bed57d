package snapshot

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/customer"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
	"github.com/zinnialadder/zinnialadder/pkg/watch"
)

// Tables returns the tables of a whole State. d gives the names of the tables of
// operators and upstreams.
func Tables(d node.Decoder) []Table {
	return append(DutyTables(d),
		Table{Name: node.AuditTable, Prefixes: []string{node.AuditTable + "//"}},
		Table{Name: watch.Table, Prefixes: []string{watch.Prefix()}},
		Table{Name: submission.ResultsTable, Prefixes: submission.ResultPrefixes()})
}

// VersionTables returns the tables that State.ServedVersions needs. They do not include
// the results, which hold texts and are by far the largest table.
func VersionTables(d node.Decoder) []Table {
	return []Table{
		{Name: d.OperatorTable, Prefixes: []string{d.OperatorTable + "//"}, Redact: d.RedactKeys},
		{Name: d.EntriesTable, Prefixes: []string{d.EntriesTable + "//"}},
		{Name: membership.Table, Prefixes: []string{membership.Prefix()}},
		{Name: submission.HeadsTable, Prefixes: submission.HeadPrefixes()},
	}
}

// mayHaveObjects reports whether the row at key may refer to objects.
func mayHaveObjects(key string) bool {
	return strings.HasPrefix(key, submission.HeadsTable+"/") || strings.HasPrefix(key, submission.ResultsTable+"/")
}

// State is the state of a site, decoded from a snapshot.
type State struct {
	TakenAt        time.Time          `json:"taken_at"`
	Configuration  Configuration      `json:"configuration"`
	TargetVersions map[string]uint64  `json:"weight_versions"` // target version by model
	Instances      []Instance         `json:"instances"`
	Upstreams      []upstream.Entry   `json:"upstreams"`
	Leases         []Lease            `json:"leases"`
	Relays         []Relay            `json:"relays"`
	Suspects       []Suspect          `json:"suspects"`
	Submissions    []Submission       `json:"submissions"`
	Changes        []node.AuditRecord `json:"changes"`    // audit records of the configuration, oldest first
	Reports        []usage.Report     `json:"reports"`    // of customers' usage
	Unreadable     []string           `json:"unreadable"` // keys of the rows that could not be decoded, with the error
}

// Configuration summarizes the configuration that operators have stored.
type Configuration struct {
	Version uint64   `json:"version"` // 0 for none
	Routes  int      `json:"routes"`
	Pools   []string `json:"pools"`
	// Customers is the number of customers with keys; 0 if callers need no key.
	Customers int `json:"customers"`
}

// Instance is the membership row of an instance.
type Instance struct {
	Name          string    `json:"name"`
	StartID       string    `json:"start"`
	Address       string    `json:"address"`
	DataCentre    string    `json:"data_centre"`
	Draining      bool      `json:"draining"`
	Configuration uint64    `json:"configuration"` // version in force at the instance
	WatchSource   string    `json:"follows"`       // relay or other source that it follows the store's tables by
	RenewedAt     time.Time `json:"renewed_at"`    // by the clock of the instance
	ExpiresAt     time.Time `json:"expires_at"`    // by the clock of the instance
}

// Relay is the row of a relay, an instance that reads the store's tables on behalf of
// others.
type Relay struct {
	DataCentre string `json:"data_centre"`
	Slot       int    `json:"slot"`
	StartID    string `json:"start"`
	Address    string `json:"address"`
	Stale      bool   `json:"gone"`     // its instance has no row, or one of another start
	Watchers   int    `json:"watchers"` // instances whose rows name it as their source
}

// Suspect is the content fingerprint of requests that were in flight at upstreams
// when these crashed, with the crashes and trials since one was last answered.
type Suspect struct {
	Content string   `json:"content"`
	Crashes []string `json:"ends"`   // processes of upstreams that crashed
	Trials  int      `json:"trials"` // trials claimed by instances
}

// Lease is the lease of a duty and its holder.
type Lease struct {
	Name      string    `json:"name"`
	Holder    string    `json:"holder"`
	Fencing   uint64    `json:"fencing"`
	ExpiresAt time.Time `json:"expires_at"` // by the holder's clock
}

// Submission is the head of a submission with the number of its results.
type Submission struct {
	submission.Head
	Fencing uint64 `json:"fencing"` // fencing token of its owner, the version of its row
	Results int    `json:"results"` // results stored
}

// State decodes the rows of s. Decoder d reads the rows of operators and upstreams. A row
// that cannot be decoded is listed in Unreadable.
func (s Snapshot) State(d node.Decoder) State {
	st := State{TakenAt: s.TakenAt, TargetVersions: map[string]uint64{}}
	results := map[string]int{}
	for _, r := range s.Rows {
		table, _, _ := strings.Cut(r.Key, "/")
		var err error
		switch table {
		case d.OperatorTable:
			err = st.operator(d, r)
		case d.EntriesTable:
			err = st.entry(d, r)
		case membership.Table:
			err = st.instance(r)
		case node.LeasesTable:
			err = st.lease(r)
		case usage.ReportsTable:
			err = st.report(r)
		case node.AuditTable:
			err = st.change(r)
		case watch.Table:
			err = st.relay(r)
		case submission.HeadsTable:
			err = st.submission(r)
		case submission.ResultsTable:
			results[submissionOfResult(r.Key)]++
		}
		if err != nil {
			st.Unreadable = append(st.Unreadable, fmt.Sprintf("%s: %v", r.Key, err))
		}
	}
	for i := range st.Submissions {
		st.Submissions[i].Results = results[st.Submissions[i].ID]
	}
	st.countWatchers()
	slices.SortFunc(st.Submissions, func(a, b Submission) int { return a.AcceptedAt.Compare(b.AcceptedAt) })
	return st
}

// submissionOfResult returns the ID of the submission of the result row at key.
func submissionOfResult(key string) string {
	return submission.IDFromKey(key[:strings.LastIndexByte(key, '/')])
}

// operator decodes a row of the operators: a target version or the configuration.
func (st *State) operator(d node.Decoder, r Row) error {
	if model, v, ok := d.TargetVersion(r.row()); ok {
		st.TargetVersions[model] = v
		return nil
	}
	t, ok, err := d.Configuration(r.row())
	if !ok || err != nil {
		return err
	}
	st.Configuration = Configuration{Version: t.Version, Routes: t.RouteCount(), Customers: t.Customers.Len()}
	for _, p := range t.Pools {
		st.Configuration.Pools = append(st.Configuration.Pools, p.Name)
	}
	slices.Sort(st.Configuration.Pools)
	return nil
}

// entry decodes the row of an upstream.
func (st *State) entry(d node.Decoder, r Row) error {
	e, err := d.Entry(r.row())
	if err == nil {
		st.Upstreams = append(st.Upstreams, e)
	}
	return err
}

// suspect decodes the key of a quarantine row, a crash or a trial of a content.
func (st *State) suspect(key string) error {
	f, err := quarantine.ParseKey(key)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(st.Suspects, func(s Suspect) bool { return s.Content == f.Content.String() })
	if i < 0 {
		i = len(st.Suspects)
		st.Suspects = append(st.Suspects, Suspect{Content: f.Content.String()})
	}
	if f.Kind == quarantine.Trial {
		st.Suspects[i].Trials++
		return nil
	}
	st.Suspects[i].Crashes = append(st.Suspects[i].Crashes, f.Subject)
	return nil
}

// instance decodes a row of the membership table: one of the quarantine or of an
// instance.
func (st *State) instance(r Row) error {
	if key, ok := strings.CutPrefix(r.Key, node.QuarantinePrefix()); ok {
		return st.suspect(key)
	}
	m, l, err := membership.Decode(r.row())
	if err != nil {
		return err
	}
	st.Instances = append(st.Instances, Instance{Name: m.Name, StartID: m.StartID, Address: m.Address, DataCentre: m.DataCentre,
		Draining: m.Draining, Configuration: m.Configuration, WatchSource: m.WatchSource, RenewedAt: l.RenewedAt, ExpiresAt: l.ExpiresAt})
	return nil
}

func (st *State) lease(r Row) error {
	l, err := lease.Decode(r.row())
	if err == nil {
		st.Leases = append(st.Leases, Lease{Name: l.Name, Holder: l.Holder, Fencing: l.Fencing, ExpiresAt: l.ExpiresAt})
	}
	return err
}

func (st *State) relay(r Row) error {
	at, err := watch.Decode(r.row())
	if err == nil {
		st.Relays = append(st.Relays, Relay{DataCentre: at.DataCentre, Slot: at.Slot, StartID: at.StartID, Address: at.Address})
	}
	return err
}

// countWatchers sets the fields of relays that depend on the rows of instances.
func (st *State) countWatchers() {
	starts, watchers := map[string]bool{}, map[string]int{}
	for _, in := range st.Instances {
		starts[in.StartID] = true
		watchers[in.WatchSource]++
	}
	for i, r := range st.Relays {
		st.Relays[i].Stale, st.Relays[i].Watchers = !starts[r.StartID], watchers[r.Address]
	}
}

func (st *State) report(r Row) error {
	rep, err := usage.DecodeReport(r.row())
	if err == nil {
		st.Reports = append(st.Reports, rep)
	}
	return err
}

// change decodes an audit record of a configuration change.
func (st *State) change(r Row) error {
	var c node.AuditRecord
	err := json.Unmarshal(r.Value, &c)
	if err == nil {
		st.Changes = append(st.Changes, c)
	}
	return err
}

func (st *State) submission(r Row) error {
	h, err := submission.DecodeHead(r.row())
	if err == nil {
		st.Submissions = append(st.Submissions, Submission{Head: h, Fencing: r.Version})
	}
	return err
}

// Write writes st as text, a line for each item. An error is one of w.
func (st State) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "configuration\tversion %d, %d routes, %d customers, pools %s\n", st.Configuration.Version, st.Configuration.Routes, st.Configuration.Customers, strings.Join(st.Configuration.Pools, " "))
	for _, in := range st.Instances {
		fmt.Fprintf(t, "instance %s\t%s\t%s\tconfiguration %d\tdraining %t\trenewed %s\tfollows %s\n", in.Name, in.Address, in.DataCentre, in.Configuration, in.Draining, in.RenewedAt.UTC().Format(time.TimeOnly), in.WatchSource)
	}
	for _, e := range st.Upstreams {
		fmt.Fprintf(t, "upstream %s\t%s\t%s\tpool %s\tdraining %t\tversions %v\n", e.ID, e.Address, e.DataCentre, e.Pool, e.Draining, e.Versions)
	}
	for _, r := range st.Relays {
		fmt.Fprintf(t, "relay %s/%d\t%s\t%s\tfollowed by %d\tgone %t\n", r.DataCentre, r.Slot, r.StartID, r.Address, r.Watchers, r.Stale)
	}
	for _, l := range st.Leases {
		fmt.Fprintf(t, "lease %s\theld by %s\tfencing %d\n", l.Name, l.Holder, l.Fencing)
	}
	for _, s := range st.Suspects {
		fmt.Fprintf(t, "suspect %s\t%d upstreams crashed\t%d trials\t%v\n", s.Content, len(s.Crashes), s.Trials, s.Crashes)
	}
	for _, model := range slices.Sorted(maps.Keys(st.TargetVersions)) {
		fmt.Fprintf(t, "model %s\tversion %d\n", model, st.TargetVersions[model])
	}
	for _, s := range st.Submissions {
		fmt.Fprintf(t, "submission %s\tstep %d\t%d of %d results\towner %s\tfencing %d\t%s\n", s.ID, s.Step, s.Results, s.Total, s.Owner, s.Fencing, phase(s.Head))
	}
	for _, c := range st.Changes {
		customers := customer.Diff{}
		if c.Customers != nil {
			customers = *c.Customers
		}
		fmt.Fprintf(t, "change to %d\tfrom %d\tseen %s by %s\tadded %v\tremoved %v\tchanged %v\tlimits %t\tpools %t\tcustomers added %v, removed %v, with changed keys %v\n", c.Version, c.PreviousVersion,
			c.SeenAt.UTC().Format(time.DateTime), c.SeenBy, c.Added, c.Removed, c.Changed, c.Limits, c.Pools, customers.Added, customers.Removed, customers.KeysChanged)
	}
	for _, u := range st.Unreadable {
		fmt.Fprintf(t, "unreadable\t%s\n", u)
	}
	return t.Flush()
}

// phase returns the phase of a submission for display.
func phase(h submission.Head) string {
	switch {
	case h.Ended:
		return "ended"
	case h.Complete:
		return "complete"
	case !h.Claimed:
		return "waits for its owner"
	}
	return "runs"
}
