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
)

// staleAfter is the time from the expiry of an instance's row until the instance is
// counted as stale. The clocks of instances and of the reader may differ by seconds.
const staleAfter = 5 * time.Second

// maxBehindListed is the limit of instances listed as behind in a line of text.
const maxBehindListed = 5

// Versions is what each data centre serves: the configuration in force at its
// instances by their membership rows, and the weight versions of its engines.
type Versions struct {
	TakenAt       time.Time            `json:"taken_at"`
	Configuration uint64               `json:"configuration"` // version that operators have stored; 0 if there is none
	DataCentres   []DataCentreVersions `json:"data_centres"`
	Models        []ModelVersions      `json:"models"`
}

// DataCentreVersions is the configuration in force in a data centre.
type DataCentreVersions struct {
	DataCentre string         `json:"data_centre"`
	Instances  int            `json:"instances"` // instances that are not stale
	Stale      int            `json:"silent"`    // instances whose rows have expired and were not deleted
	InForce    []VersionCount `json:"in_force"`  // of instances that are not stale, newest version first
	Behind     []string       `json:"behind"`    // instances with an older version in force than the stored one
	// OldestRenewal is the earliest renewal time of the rows counted in Instances. An
	// instance may have applied a newer version after the renewal of its row.
	OldestRenewal time.Time `json:"oldest_told"`
}

// ModelVersions is the weight versions of a model that engines hold.
type ModelVersions struct {
	Model         string `json:"model"`
	TargetVersion uint64 `json:"named"` // 0 if none is set
	// MinVersion is the oldest version that all open submissions accept; 0 if none is open.
	MinVersion  uint64           `json:"asked"`
	DataCentres []EngineVersions `json:"data_centres"`
}

// EngineVersions counts the engines of one data centre by the weight version that they hold.
type EngineVersions struct {
	DataCentre string         `json:"data_centre"`
	Counts     []VersionCount `json:"holding"` // newest first
	TooOld     int            `json:"too_old"` // engines that hold a version older than MinVersion
}

// VersionCount is the number of instances or engines at a version.
type VersionCount struct {
	Version uint64 `json:"version"`
	Count   int    `json:"count"`
}

// ServedVersions returns the versions that each data centre serves.
func (st State) ServedVersions() Versions {
	v := Versions{TakenAt: st.TakenAt, Configuration: st.Configuration.Version}
	byCentre := map[string][]Instance{}
	for _, in := range st.Instances {
		byCentre[in.DataCentre] = append(byCentre[in.DataCentre], in)
	}
	for _, dc := range slices.Sorted(maps.Keys(byCentre)) {
		v.DataCentres = append(v.DataCentres, st.inForce(dc, byCentre[dc]))
	}
	for _, model := range slices.Sorted(maps.Keys(st.models())) {
		v.Models = append(v.Models, st.heldVersions(model))
	}
	return v
}

// inForce returns the configuration versions in force at instances of data centre dc.
func (st State) inForce(dc string, instances []Instance) DataCentreVersions {
	out := DataCentreVersions{DataCentre: dc}
	counts := map[uint64]int{}
	for _, in := range instances {
		if st.TakenAt.Sub(in.ExpiresAt) > staleAfter {
			out.Stale++
			continue
		}
		out.Instances++
		counts[in.Configuration]++
		if in.Configuration < st.Configuration.Version {
			out.Behind = append(out.Behind, in.Name)
		}
		if out.OldestRenewal.IsZero() || in.RenewedAt.Before(out.OldestRenewal) {
			out.OldestRenewal = in.RenewedAt
		}
	}
	out.InForce = newestFirst(counts)
	return out
}

// models returns the models that have a target version or are held by an engine.
func (st State) models() map[string]bool {
	out := map[string]bool{}
	for m := range st.TargetVersions {
		out[m] = true
	}
	for _, e := range st.Upstreams {
		for m := range e.Versions {
			out[m] = true
		}
	}
	return out
}

// heldVersions returns the versions of model that engines hold. Draining engines are
// not counted.
func (st State) heldVersions(model string) ModelVersions {
	out := ModelVersions{Model: model, TargetVersion: st.TargetVersions[model]}
	for _, s := range st.Submissions {
		if s.Model == model && s.Open() {
			out.MinVersion = max(out.MinVersion, s.MinVersion)
		}
	}
	byCentre := map[string]map[uint64]int{}
	for _, e := range st.Upstreams {
		v, holds := e.Versions[model]
		if !holds || e.Draining {
			continue
		}
		if byCentre[e.DataCentre] == nil {
			byCentre[e.DataCentre] = map[uint64]int{}
		}
		byCentre[e.DataCentre][v]++
	}
	for _, dc := range slices.Sorted(maps.Keys(byCentre)) {
		ev := EngineVersions{DataCentre: dc, Counts: newestFirst(byCentre[dc])}
		for _, vc := range ev.Counts {
			if vc.Version < out.MinVersion {
				ev.TooOld += vc.Count
			}
		}
		out.DataCentres = append(out.DataCentres, ev)
	}
	return out
}

// newestFirst returns counts sorted by version, newest first.
func newestFirst(counts map[uint64]int) []VersionCount {
	var out []VersionCount
	for version, n := range counts {
		out = append(out, VersionCount{version, n})
	}
	slices.SortFunc(out, func(a, b VersionCount) int { return cmp.Compare(b.Version, a.Version) })
	return out
}

// Write writes v as text. An error is one of w.
func (v Versions) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "configuration %d, as of %s\n", v.Configuration, v.TakenAt.UTC().Format(time.TimeOnly))
	for _, dc := range v.DataCentres {
		fmt.Fprintf(t, "%s\t%d instances, %d silent\tin force %s\t%s\n", dc.DataCentre, dc.Instances, dc.Stale, countsText(dc.InForce), dc.behindText())
	}
	for _, m := range v.Models {
		fmt.Fprintf(t, "model %s\tversion %d named\t%s\n", m.Model, m.TargetVersion, m.requiredText())
		for _, ev := range m.DataCentres {
			fmt.Fprintf(t, "  %s\tengines at %s\t%d too old\n", ev.DataCentre, countsText(ev.Counts), ev.TooOld)
		}
	}
	return t.Flush()
}

func (dc DataCentreVersions) behindText() string {
	if len(dc.Behind) == 0 {
		return "none behind"
	}
	text := fmt.Sprintf("%d behind as told since %s: %s", len(dc.Behind), dc.OldestRenewal.UTC().Format(time.TimeOnly), strings.Join(dc.Behind[:min(maxBehindListed, len(dc.Behind))], " "))
	if more := len(dc.Behind) - maxBehindListed; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

func (m ModelVersions) requiredText() string {
	if m.MinVersion == 0 {
		return "no open submission"
	}
	return fmt.Sprintf("%d and newer asked for", m.MinVersion)
}

// countsText returns counts as "14: 55, 13: 2".
func countsText(counts []VersionCount) string {
	if len(counts) == 0 {
		return "nothing"
	}
	var parts []string
	for _, c := range counts {
		parts = append(parts, fmt.Sprintf("%d: %d", c.Version, c.Count))
	}
	return strings.Join(parts, ", ")
}
