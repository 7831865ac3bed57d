package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
)

// Guards against a report that names the upstream of the cancelled attempt as the one that
// answered, or that counts the time of an attempt as waiting.
func TestReportOfRequestThatWaitedAndWasCopied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 37 * time.Millisecond
		s := newSite(true, "a", "b")
		s.learn(t)
		s.nextOf = map[string][]answer{"x": {{hang: true}}} // both waiters are woken at once
		s.pause(pause)
		start := time.Now()
		var g errgroup.Group
		g.Go(func() error {
			_, err := s.Do(t.Context(), hedgedRoute, forward.Request{ID: "before"})
			return err
		})
		time.Sleep(time.Millisecond)
		var rep forward.Report
		_, err := s.Do(t.Context(), hedgedRoute, forward.Request{ID: "x", Report: &rep})
		took := time.Since(start)
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()         // for the cancelled attempt
		copied := s.attempts[1] // after that of the request before
		want := forward.Report{Upstream: copied.Upstream, Attempt: 2, AttemptTook: usualTime, Waited: pause - time.Millisecond, JoinedAt: start.Add(time.Millisecond),
			Ahead: 1, Copies: 1, CopyWon: true, Superseded: s.attempts[2].Upstream}
		if err != nil || rep != want || !copied.Copy || s.attempts[2].Copy || took != pause+copyDelay+usualTime {
			t.Errorf("got %+v, %v after %v with attempts %+v, want %+v", rep, err, took, s.attempts, want)
		}
	})
}
