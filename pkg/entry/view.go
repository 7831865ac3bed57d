package entry

import (
	"sort"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// Member is an entry instance as seen through its membership lease.
type Member struct {
	ID         string    `json:"id"`
	Address    string    `json:"address"` // where callers connect
	Peer       string    `json:"peer"`    // where other instances connect
	DataCentre string    `json:"data_centre"`
	Draining   bool      `json:"draining"`
	ExpiresAt  time.Time `json:"-"`
}

// View is the control state that traffic reads: published whole by the
// control goroutine and never changed after.
type View struct {
	Entries  map[string]catalogue.Entry
	Pools    map[string]catalogue.Pool
	Versions map[string]uint64 // catalogue row key → version applied
	Members  []Member          // live members, by ID
	Loads    map[string]engine.LoadReport
	Newest   map[string]uint64 // pool → newest weight version reported
	Draining bool
}

func (v *View) clone() *View {
	n := *v
	return &n
}

// routable returns the members that accept new callers, by ID.
func (v *View) routable() []Member {
	out := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if !m.Draining {
			out = append(out, m)
		}
	}
	return out
}

func sortMembers(ms []Member) {
	sort.Slice(ms, func(i, j int) bool { return ms[i].ID < ms[j].ID })
}
