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

// silentAfter is how long after the end of its row's time an instance is called
// silent: the clocks of instances and of who looks may differ by seconds.
const silentAfter = 5 * time.Second

// namedBehind is how many of the instances that are behind are named.
const namedBehind = 5

// Versions is what each data centre serves: the configuration in force at its
// instances, as their rows tell, and the weight versions of its engines.
type Versions struct {
	TakenAt       time.Time            `json:"taken_at"`
	Configuration uint64               `json:"configuration"` // as the operators wrote it; 0 for none
	DataCentres   []DataCentreVersions `json:"data_centres"`
	Models        []ModelVersions      `json:"models"`
}

// DataCentreVersions is the configuration in force in a data centre.
type DataCentreVersions struct {
	DataCentre string         `json:"data_centre"`
	Instances  int            `json:"instances"` // that are not silent
	Stale      int            `json:"silent"`    // whose row stands though its time is over
	InForce    []VersionCount `json:"in_force"`  // newest first; of instances that are not silent
	Behind     []string       `json:"behind"`    // instances at an older version than the operators'
	// OldestRenewal is when the instance that has told nothing for longest renewed its
	// row: it may have taken up a newer version since.
	OldestRenewal time.Time `json:"oldest_told"`
}

// ModelVersions is the weight versions that engines hold of a model.
type ModelVersions struct {
	Model         string `json:"model"`
	TargetVersion uint64 `json:"named"` // newest version
	// MinVersion is the oldest version that all open submissions accept; 0 if none is open.
	MinVersion  uint64           `json:"asked"`
	DataCentres []EngineVersions `json:"data_centres"`
}

// EngineVersions counts the engines of one data centre by the version that they hold.
type EngineVersions struct {
	DataCentre string         `json:"data_centre"`
	Counts     []VersionCount `json:"holding"` // newest first
	TooOld     int            `json:"too_old"` // for what is asked
}

// VersionCount is how many there are at a version.
type VersionCount struct {
	Version uint64 `json:"version"`
	Count   int    `json:"count"`
}

// ServedVersions returns what each data centre serves.
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
		v.Models = append(v.Models, st.held(model))
	}
	return v
}

// inForce returns what is in force at the instances of the data centre dc.
func (st State) inForce(dc string, instances []Instance) DataCentreVersions {
	out := DataCentreVersions{DataCentre: dc}
	counts := map[uint64]int{}
	for _, in := range instances {
		if st.TakenAt.Sub(in.ExpiresAt) > silentAfter {
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

// models returns the models that a version is named of or an engine holds.
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

// held returns the versions of model that engines hold.
func (st State) held(model string) ModelVersions {
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
		c := EngineVersions{DataCentre: dc, Counts: newestFirst(byCentre[dc])}
		for _, h := range c.Counts {
			if h.Version < out.MinVersion {
				c.TooOld += h.Count
			}
		}
		out.DataCentres = append(out.DataCentres, c)
	}
	return out
}

func newestFirst(counts map[uint64]int) []VersionCount {
	var out []VersionCount
	for version, n := range counts {
		out = append(out, VersionCount{version, n})
	}
	slices.SortFunc(out, func(a, b VersionCount) int { return cmp.Compare(b.Version, a.Version) })
	return out
}

// Write writes v as text.
func (v Versions) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "configuration %d, as of %s\n", v.Configuration, v.TakenAt.UTC().Format(time.TimeOnly))
	for _, dc := range v.DataCentres {
		fmt.Fprintf(t, "%s\t%d instances, %d silent\tin force %s\t%s\n", dc.DataCentre, dc.Instances, dc.Stale, countsText(dc.InForce), dc.behindText())
	}
	for _, m := range v.Models {
		fmt.Fprintf(t, "model %s\tversion %d named\t%s\n", m.Model, m.TargetVersion, m.askedText())
		for _, c := range m.DataCentres {
			fmt.Fprintf(t, "  %s\tengines at %s\t%d too old\n", c.DataCentre, countsText(c.Counts), c.TooOld)
		}
	}
	return t.Flush()
}

func (dc DataCentreVersions) behindText() string {
	if len(dc.Behind) == 0 {
		return "none behind"
	}
	text := fmt.Sprintf("%d behind as told since %s: %s", len(dc.Behind), dc.OldestRenewal.UTC().Format(time.TimeOnly), strings.Join(dc.Behind[:min(namedBehind, len(dc.Behind))], " "))
	if more := len(dc.Behind) - namedBehind; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

func (m ModelVersions) askedText() string {
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
