package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// stepSpec returns a step of entry drafts with the given number of groups of size short
// generations.
func stepSpec(id string, groups, size, desired int) step.Spec {
	s := step.Spec{Customer: "minho", Entry: "drafts", ID: id, Desired: desired, Deadline: time.Now().Add(20 * time.Second).UTC()}
	for i := range groups {
		s.Groups = append(s.Groups, step.Group{ID: fmt.Sprintf("%s-g%d", id, i), Prompt: fmt.Sprintf("prompt %d", i), Size: size, MaxTokens: 8})
	}
	return s
}

// submit submits s to instance i and returns the response status.
func submit(t testing.TB, st *site.Site, i int, s step.Spec) int {
	t.Helper()
	return statusOf(t, entry.NewClient(st.Entries[i].Addr(), nil).SubmitStep(context.Background(), s))
}

func stepStatus(t testing.TB, st *site.Site, i int, id string) entry.StepStatus {
	t.Helper()
	got, _ := entry.NewClient(st.Entries[i].Addr(), nil).Step(context.Background(), "minho", "drafts", id)
	return got
}

// completeGroups returns the number of groups at the trainer. It fails the test if a group
// is incomplete or a sample was delivered more than once.
func completeGroups(t testing.TB, st *site.Site, size int) int {
	t.Helper()
	for _, r := range st.Trainer.Received() {
		if r.Deliveries != 1 {
			t.Fatalf("sample %s was delivered %d times, want 1", r.Sample.ID, r.Deliveries)
		}
	}
	return acceptedGroups(t, st, size)
}

// acceptedGroups is like completeGroups but allows repeated deliveries of an identical
// sample. They happen if a platform outage hides an acknowledgement from the next holder.
func acceptedGroups(t testing.TB, st *site.Site, size int) int {
	t.Helper()
	count := map[string]int{}
	for _, r := range st.Trainer.Received() {
		if r.Altered {
			t.Fatalf("sample %s was delivered again with different contents", r.Sample.ID)
		}
		count[r.Sample.Group]++
	}
	whole := 0
	for g, n := range count {
		if n != size {
			t.Fatalf("group %s: trainer got %d samples, want %d", g, n, size)
		}
		whole++
	}
	return whole
}

// A step must run on several instances, reach its trainer in complete groups, close once
// the desired groups are recorded, and be accepted once even if it is submitted repeatedly.
func TestStepIsDeliveredInCompleteGroups(t *testing.T) {
	s := startSite(t, 3, 3, enginetest.Config{WeightVersion: 1})
	spec := stepSpec("s1", 24, 4, 18)
	for i := range 3 {
		if status := submit(t, s, i, spec); status != http.StatusOK {
			t.Fatalf("submission %d: got status %d, want 200", i, status)
		}
	}
	other := spec
	other.Desired = 20
	if status := submit(t, s, 0, other); status != http.StatusConflict {
		t.Fatalf("different contents with the same ID: got status %d, want 409", status)
	}
	waitFor(t, 15*time.Second, "the step to complete", func() bool { return stepStatus(t, s, 1, "s1").Closed == step.Complete })
	waitFor(t, 5*time.Second, "every record to be delivered", func() bool { return len(s.Platform.Rows("delivery/")) == 0 })
	if n := completeGroups(t, s, 4); n < 18 {
		t.Fatalf("trainer got %d complete groups, want at least 18", n)
	}
	ran := 0
	for _, in := range s.Entries {
		if in.Counter("samples_delivered") > 0 {
			ran++
		}
	}
	if ran < 2 {
		t.Fatalf("step ran on %d instances, want at least 2", ran)
	}
}

// An instance stops, and the platform loses responses and is unavailable during a step.
// Each sample must still reach the trainer in a complete group, be accepted once, and the
// step must complete.
func TestStepSurvivesInstancesAndOutages(t *testing.T) {
	s := startSite(t, 3, 3, enginetest.Config{WeightVersion: 1, TokenInterval: 5 * time.Millisecond})
	submit(t, s, 0, stepSpec("s2", 24, 4, 24))
	waitFor(t, 10*time.Second, "the step to make progress", func() bool { return len(s.Trainer.Received()) > 8 })
	s.Platform.SetFaults(platformtest.Faults{LoseReplies: 3, LosePrefix: "delivery/"})
	s.StopEntry(0)
	time.Sleep(200 * time.Millisecond)
	s.Platform.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(500 * time.Millisecond)
	s.Platform.SetFaults(platformtest.Faults{})
	waitFor(t, 20*time.Second, "the step to complete", func() bool { return stepStatus(t, s, 1, "s2").Closed == step.Complete })
	waitFor(t, 20*time.Second, "every record to be delivered", func() bool { return len(s.Platform.Rows("delivery/")) == 0 })
	if n := acceptedGroups(t, s, 4); n != 24 {
		t.Fatalf("trainer got %d complete groups, want 24", n)
	}
}

// An instance that drains during a step must complete its deliveries first, so that nothing
// is sent twice.
func TestStepHandedOverSendsNothingTwice(t *testing.T) {
	s := startSite(t, 3, 3, enginetest.Config{WeightVersion: 1, TokenInterval: 2 * time.Millisecond})
	s.Trainer.Delay(600 * time.Millisecond) // deliveries are in progress when the instance stops
	submit(t, s, 0, stepSpec("hand", 48, 4, 48))
	for i := range 2 {
		waitFor(t, 10*time.Second, "the step to make progress", func() bool { return len(s.Trainer.Received()) > 8+40*i })
		s.StopEntry(i)
		<-s.EntryDone(i)
	}
	waitFor(t, 20*time.Second, "the step to complete", func() bool { return stepStatus(t, s, 2, "hand").Closed == step.Complete })
	if n := completeGroups(t, s, 4); n != 48 {
		t.Fatalf("trainer got %d complete groups, want 48", n)
	}
}

// One engine is 75 times slower than the others, but sends often enough not to reach the
// idle timeout. The step must complete long before that engine could complete its first
// item.
func TestStragglersDoNotDelayStep(t *testing.T) {
	s := startSite(t, 3, 2, enginetest.Config{WeightVersion: 1, TokenInterval: 2 * time.Millisecond})
	s.Engines[0].SetFaults(enginetest.Faults{SlowFactor: 75}) // 150 ms per token; the idle timeout is 200 ms
	spec := stepSpec("s3", 16, 4, 16)
	for i := range spec.Groups {
		spec.Groups[i].MaxTokens = 60 // 9 s on the slow engine, 120 ms on the others
	}
	start := time.Now()
	submit(t, s, 0, spec)
	waitFor(t, 15*time.Second, "the step to complete", func() bool { return stepStatus(t, s, 1, "s3").Closed == step.Complete })
	if took := time.Since(start); took > 7*time.Second {
		t.Fatalf("step took %v, want at most 7s", took)
	}
}

// If a trainer cancels a step, its generations must stop.
func TestCancelledStepStops(t *testing.T) {
	s := startSite(t, 2, 2, enginetest.Config{WeightVersion: 1, TokenInterval: 20 * time.Millisecond})
	submit(t, s, 0, stepSpec("s4", 64, 4, 64))
	waitFor(t, 10*time.Second, "the step to make progress", func() bool { return s.Engines[0].Requests()+s.Engines[1].Requests() > 0 })
	if err := entry.NewClient(s.Entries[1].Addr(), nil).CancelStep(context.Background(), "minho", "drafts", "s4"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // the duration of the shard lease
	before := s.Engines[0].Requests() + s.Engines[1].Requests()
	time.Sleep(500 * time.Millisecond)
	if after := s.Engines[0].Requests() + s.Engines[1].Requests(); after != before {
		t.Fatalf("got %d generations after the step was cancelled, want 0", after-before)
	}
}

// The rows and objects of steps and members whose retention has ended must be deleted.
func TestExpiredStepsAndMembersAreDeleted(t *testing.T) {
	s := startSite(t, 2, 0, enginetest.Config{WeightVersion: 1})
	if err := s.StartEntryWith("sweeper", func(c *entry.Config) { c.StepRetention, c.MemberRetention = time.Second, time.Second }); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 5*time.Second, "the instance to apply the catalogue", func() bool { return len(s.Entries[0].View().Entries) > 0 })
	s.Platform.Put("member/gone", lease.Lease{Holder: "gone", ExpiresAt: time.Now().Add(-time.Minute), Data: []byte("{}")})
	submit(t, s, 0, stepSpec("old", 4, 2, 4))
	waitFor(t, 10*time.Second, "the step to complete", func() bool { return stepStatus(t, s, 0, "old").Closed == step.Complete })
	waitFor(t, 10*time.Second, "the step and the member to be deleted", func() bool {
		return len(s.Platform.Rows("step")) == 0 && len(s.Platform.Rows("member/")) == 1 && s.Platform.Objects() == 0
	})
}

// Groups that the trainer rejects because it set a newer target version in the meantime
// must not count. They must be generated again, and the step must complete only once the
// trainer has the desired groups.
func TestRejectedGroupsAreGeneratedAgain(t *testing.T) {
	s := startSite(t, 2, 2, enginetest.Config{WeightVersion: 1})
	setTarget(t, s, 0, 1)
	s.Trainer.SetTargetVersion(3)
	submit(t, s, 0, stepSpec("away", 8, 2, 8))
	stale := func() int64 {
		return s.Entries[0].Counter("samples_refused_stale") + s.Entries[1].Counter("samples_refused_stale")
	}
	waitFor(t, 10*time.Second, "groups to be rejected", func() bool { return stale() >= 8 })
	if st := stepStatus(t, s, 0, "away"); st.Closed != "" || st.Delivered != 0 {
		t.Fatalf("got step status %+v with every group rejected, want an open step with 0 delivered", st)
	}
	setTarget(t, s, 0, 3)
	waitFor(t, 15*time.Second, "the step to complete", func() bool { return stepStatus(t, s, 0, "away").Closed == step.Complete })
	if n := completeGroups(t, s, 2); n != 8 {
		t.Fatalf("trainer got %d complete groups by the time the step was complete, want 8", n)
	}
}

// Shard leases must have a longer TTL if there are many shards, so that the renewals do not
// exceed the platform's write capacity.
func TestShardLeaseTTLGrowsWithShards(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 20 * time.Millisecond})
	setTarget(t, s, 0, 1)
	const groups, perShard, perSecond = 160, 4, 45
	spec := stepSpec("many", groups, 2, groups)
	submit(t, s, 0, spec)
	client := platform.NewClient(s.PlatformURL, nil)
	waitFor(t, 5*time.Second, "a shard lease with a TTL in proportion to the number of shards", func() bool {
		row, err := client.Get(context.Background(), step.ShardKey(spec.Key(), 0))
		if err != nil {
			return false
		}
		l, err := lease.Decode(row)
		return err == nil && l.TTL(0) >= groups/perShard*time.Second*3/perSecond
	})
}
