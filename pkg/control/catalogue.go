package control

import (
	"maps"
	"slices"
	"strings"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// onCatalogue applies the rows read, each only if it is newer than the one applied
// before, so that a late read cannot revert a change.
func (s State) onCatalogue(e CatalogueRead) (State, []Effect) {
	s = s.taskEnded(task{kind: catalogueTask})
	if e.Err != nil {
		return s.platformUnavailable(e.Err)
	}
	s, effs := s.platformAvailable()
	if e.Unchanged {
		return s, effs
	}
	snapshot, err := catalogue.Decode(e.Rows)
	if err != nil {
		return s, append(effs, LogChange{Message: "catalogue malformed; keeping the one in force", Fields: []any{"err", err}})
	}
	targets, err := decodeTargets(e.Rows)
	if err != nil {
		return s, append(effs, LogChange{Message: "weight target malformed; keeping the catalogue in force", Fields: []any{"err", err}})
	}
	s.revisionNumber, s.revisionRow = max(s.revisionNumber, e.Number), max(s.revisionRow, e.Revision)
	v := s.View.cloneCatalogue()
	newest, changed := v.apply(snapshot, targets)
	if changed == 0 {
		return s, effs
	}
	s.revision = max(s.revision, newest)
	s.engines, s.poolsOf = engineAddrs(v.Pools)
	s.View = v
	s = s.choosePreferredRollouts()
	return s, append(effs, PublishView{v},
		LogChange{Message: "catalogue applied", Fields: []any{"items", changed, "revision", s.revision}},
		NotifyPeers{Revision: s.revision, Draining: s.self.Draining})
}

// cloneCatalogue returns a copy of v whose catalogue maps may be modified.
func (v *View) cloneCatalogue() *View {
	n := v.clone()
	n.Entries, n.Pools, n.Customers = maps.Clone(v.Entries), maps.Clone(v.Pools), maps.Clone(v.Customers)
	n.RowVersions, n.Targets, n.NewestVersions = maps.Clone(v.RowVersions), maps.Clone(v.Targets), maps.Clone(v.NewestVersions)
	return n
}

// apply applies to v the items of snap and the targets that are newer than those it
// holds. It returns the newest row version applied and the number of rows applied.
func (v *View) apply(snapshot catalogue.Snapshot, targets map[string]weights.Target) (newest uint64, changed int) {
	for key, version := range snapshot.Versions {
		if version <= v.RowVersions[key] {
			continue // v holds this version or a newer one
		}
		changed++
		v.RowVersions[key] = version
		newest = max(newest, version)
		name := key[strings.LastIndexByte(key, '/')+1:]
		switch {
		case strings.HasPrefix(key, catalogue.EntryPrefix):
			setItem(v.Entries, name, snapshot.Entries[name], snapshot.Entries[name].Removed)
		case strings.HasPrefix(key, catalogue.PoolPrefix):
			setItem(v.Pools, name, snapshot.Pools[name], snapshot.Pools[name].Removed)
		case strings.HasPrefix(key, catalogue.CustomerPrefix):
			setItem(v.Customers, name, snapshot.Customers[name], snapshot.Customers[name].Removed)
		case strings.HasPrefix(key, weights.TargetPrefix):
			v.Targets[name] = targets[name]
			v.NewestVersions[name] = max(v.NewestVersions[name], targets[name].Version)
		}
	}
	return newest, changed
}

// setItem sets m[name], or deletes it if the item is removed from the catalogue.
func setItem[T any](m map[string]T, name string, item T, removed bool) {
	if removed {
		delete(m, name)
		return
	}
	m[name] = item
}

func decodeTargets(rows []platform.Row) (map[string]weights.Target, error) {
	out := map[string]weights.Target{}
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, weights.TargetPrefix) {
			continue
		}
		t, err := weights.DecodeTarget(r)
		if err != nil {
			return nil, err
		}
		out[t.Pool] = t
	}
	return out, nil
}

// engineAddrs returns the addresses of all engines in pools, sorted and without
// duplicates, and the names of the pools that each address is in.
func engineAddrs(pools map[string]catalogue.Pool) ([]string, map[string][]string) {
	poolsOf := map[string][]string{}
	for name, p := range pools {
		if p.Kind != catalogue.Engines {
			continue
		}
		for _, u := range p.Upstreams {
			poolsOf[u.Address] = append(poolsOf[u.Address], name)
		}
	}
	return slices.Sorted(maps.Keys(poolsOf)), poolsOf
}
