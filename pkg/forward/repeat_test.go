package forward_test

import (
	"testing"
	"testing/synctest"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
)

// Guards against a transport that repeats requests of routes that are not idempotent, or
// streams, and against one that no longer repeats those that may run again.
func TestRepeatable(t *testing.T) {
	for kind, want := range map[routetable.Kind]bool{routetable.Idempotent: true, routetable.NonIdempotent: false} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(false, "a")
			rt := hedgedRoute
			rt.Kind = kind
			if _, err := s.Do(t.Context(), rt, forward.Request{ID: "x", Repeatable: !want}); err != nil || len(s.sent) != 1 || s.sent[0].Repeatable != want {
				t.Errorf("route of kind %v: got error %v, sent %+v, want it repeatable: %v", kind, err, s.sent, want)
			}
		})
	}
}
