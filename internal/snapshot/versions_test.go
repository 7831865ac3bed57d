package snapshot_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/snapshot"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// With several configuration versions in force at once, the versions list for each
// data centre the instances that are behind and the number of stale ones. Engines too
// old for an open submission are counted; draining engines and submissions that have
// ended are left out.
func TestServedVersions(t *testing.T) {
	now := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
	in := func(name, dc string, configuration uint64, renewed time.Duration) snapshot.Instance {
		at := now.Add(-renewed)
		return snapshot.Instance{Name: name, DataCentre: dc, Configuration: configuration, RenewedAt: at, ExpiresAt: at.Add(4 * time.Second)}
	}
	engine := func(id, dc string, version uint64, draining bool) upstream.Entry {
		return upstream.Entry{ID: id, DataCentre: dc, Draining: draining, Versions: map[string]uint64{"m": version}}
	}
	st := snapshot.State{TakenAt: now, Configuration: snapshot.Configuration{Version: 14}, TargetVersions: map[string]uint64{"m": 7},
		Instances:   []snapshot.Instance{in("a1", "hall-a", 14, time.Second), in("a2", "hall-a", 12, 3*time.Second), in("a3", "hall-a", 9, time.Minute), in("b1", "hall-b", 14, 0)},
		Upstreams:   []upstream.Entry{engine("e1", "hall-a", 7, false), engine("e2", "hall-a", 5, false), engine("e3", "hall-b", 6, false), engine("e4", "hall-b", 4, true)},
		Submissions: []snapshot.Submission{{Head: submission.Head{Model: "m", MinVersion: 6}}, {Head: submission.Head{Model: "m", MinVersion: 7, Ended: true}}}}
	v := st.ServedVersions()
	if got, want := fmt.Sprint(v.DataCentres), fmt.Sprint([]snapshot.DataCentreVersions{
		{DataCentre: "hall-a", Instances: 2, Stale: 1, InForce: []snapshot.VersionCount{{Version: 14, Count: 1}, {Version: 12, Count: 1}}, Behind: []string{"a2"}, OldestRenewal: now.Add(-3 * time.Second)},
		{DataCentre: "hall-b", Instances: 1, InForce: []snapshot.VersionCount{{Version: 14, Count: 1}}, OldestRenewal: now},
	}); got != want {
		t.Errorf("DataCentres = %s, want %s", got, want)
	}
	if got, want := fmt.Sprint(v.Models), fmt.Sprint([]snapshot.ModelVersions{{Model: "m", TargetVersion: 7, MinVersion: 6, DataCentres: []snapshot.EngineVersions{
		{DataCentre: "hall-a", Counts: []snapshot.VersionCount{{Version: 7, Count: 1}, {Version: 5, Count: 1}}, TooOld: 1},
		{DataCentre: "hall-b", Counts: []snapshot.VersionCount{{Version: 6, Count: 1}}}}}}); got != want {
		t.Errorf("Models = %s, want %s", got, want)
	}
	var text strings.Builder
	if err := v.Write(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"configuration 14, as of 10:00:00", "in force 14: 1, 12: 1", "1 behind as told since 09:59:57: a2", "6 and newer asked for", "engines at 7: 1, 5: 1"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("text lacks %q:\n%s", want, text.String())
		}
	}
}
