package node_test

import (
	"slices"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/scaling"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// Instances that disagreed on the share of an urgent model would send its texts to engines
// of other models. Whatever the order in which they have read the submissions, they must
// get the same demands; a model's priority is that of its most urgent route for
// submissions, and it counts in contended pools only.
func TestDemandsByUrgency(t *testing.T) {
	table := routetable.New(1, []routetable.Route{
		{Name: "train", Host: "h", PathPrefix: "/train/", Kind: routetable.Submissions, Priority: 1},
		{Name: "urgent", Host: "h", PathPrefix: "/urgent/", Kind: routetable.Submissions},
		{Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: routetable.Streaming},
	}, nil, routetable.Limits{})
	submissions := []submission.Head{{ID: "a", Model: "m0", Path: "/train/a"}, {ID: "b", Model: "m0", Path: "/urgent/b"}, {ID: "c", Model: "m1", Path: "/train/c"}, {ID: "d", Model: "m1", Path: "/chat/d"}}
	pool := routetable.Pool{Name: "p", Models: []string{"m0", "m1"}}
	for _, backwards := range []bool{false, true} {
		s := node.NewState("a", "a#1", decoder)
		s.SetTable(table)
		read := slices.Clone(submissions)
		if backwards {
			slices.Reverse(read)
		}
		for i, h := range read {
			h.Host, h.EstimatedLength = "h", 100
			s.Update(heads(baseTime(), head(t, h, uint64(i+1))))
		}
		for contended, want := range map[bool]float64{false: 1, true: 1.3} {
			ds := s.PoolDemands(pool, contended)
			if got := ds[0].Work / ds[1].Work; got < want-0.001 || got > want+0.001 {
				t.Errorf("backwards %v, contended %v: work of the urgent model %.3f times that of the other, want %.3f", backwards, contended, got, want)
			}
		}
	}
}

// Engines were ordered for submissions whose trainers had given up. What the scaling duty
// gets must tell when the results of each open submission are due by its route, and leave
// out those that are not open.
func TestOpenSubmissions(t *testing.T) {
	at := baseTime()
	share := []routetable.Share{{Pool: "p"}}
	s := node.NewState("a", "a#1", decoder)
	s.SetTable(routetable.New(1, []routetable.Route{
		{Host: "h", PathPrefix: "/due/", Kind: routetable.Submissions, Shares: share, Due: 7500 * time.Millisecond},
		{Host: "h", PathPrefix: "/any/", Kind: routetable.Submissions, Shares: share},
	}, nil, routetable.Limits{}))
	for i, h := range []submission.Head{{ID: "a", Path: "/due/a", Total: 1}, {ID: "b", Path: "/any/b", Total: 2}, {ID: "c", Path: "/due/c", Total: 4, Ended: true}, {ID: "d", Path: "/none/d", Total: 8}} {
		h.Host, h.AcceptedAt = "h", at
		s.Update(heads(at, head(t, h, uint64(i+1))))
	}
	got := s.OpenSubmissions()["p"]
	slices.SortFunc(got, func(a, b scaling.Submission) int { return a.Items - b.Items })
	want := []scaling.Submission{{Items: 1, Due: at.Add(7500 * time.Millisecond)}, {Items: 2}}
	same := func(a, b scaling.Submission) bool { return a.Items == b.Items && a.Due.Equal(b.Due) }
	if !slices.EqualFunc(got, want, same) {
		t.Fatalf("got open submissions %v, want %v", got, want)
	}
}
