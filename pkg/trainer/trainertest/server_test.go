package trainertest_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/zinnialadder/zinnialadder/pkg/trainer"
	"github.com/zinnialadder/zinnialadder/pkg/trainer/trainertest"
)

// A group with one sample that is too old is rejected as a whole, so that it can be
// generated and delivered again without delivering any sample twice.
func TestGroupIsAcceptedOrRejectedAsWhole(t *testing.T) {
	var s trainertest.Server
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	c := trainer.NewClient(srv.Listener.Addr().String(), nil)
	deliver := func(versions ...uint64) trainer.Ack {
		g := trainer.Group{MaxVersionLag: 1}
		for i, v := range versions {
			g.Samples = append(g.Samples, trainer.Sample{ID: string(rune('a' + i)), WeightVersions: []uint64{v}})
		}
		ack, err := c.Deliver(context.Background(), g)
		if err != nil {
			t.Fatal(err)
		}
		return ack
	}
	s.SetTargetVersion(3)
	if ack := deliver(3, 1); len(ack.Stale) != 2 || len(s.Received()) != 0 {
		t.Fatalf("group with one old sample: got ack %+v and %d samples accepted, want 2 stale and 0 accepted", ack, len(s.Received()))
	}
	if ack := deliver(3, 2); len(ack.New) != 2 {
		t.Fatalf("group generated again: got ack %+v, want 2 new samples", ack)
	}
}
