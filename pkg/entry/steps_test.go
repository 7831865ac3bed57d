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

// stepSpec is a step of groups×size short generations of entry drafts.
func stepSpec(id string, groups, size, desired int) step.Spec {
	s := step.Spec{Customer: "minho", Entry: "drafts", ID: id, Desired: desired, Deadline: time.Now().Add(20 * time.Second).UTC()}
	for i := range groups {
		s.Groups = append(s.Groups, step.Group{ID: fmt.Sprintf("%s-g%d", id, i), Prompt: fmt.Sprintf("prompt %d", i), Size: size, MaxTokens: 8})
	}
	return s
}

// submit sends s to instance i and returns the answer's status.
func submit(t testing.TB, st *site.Site, i int, s step.Spec) int {
	t.Helper()
	return statusOf(t, entry.NewClient(st.Entries[i].Addr(), nil).SubmitStep(context.Background(), s))
}

func stepStatus(t testing.TB, st *site.Site, i int, id string) entry.StepStatus {
	t.Helper()
	got, _ := entry.NewClient(st.Entries[i].Addr(), nil).Step(context.Background(), "minho", "drafts", id)
	return got
}

// wholeGroups returns the groups whose samples the trainer holds all of,
// failing if a sample was delivered other than once.
func wholeGroups(t testing.TB, st *site.Site, size int) int {
	t.Helper()
	for _, r := range st.Trainer.Received() {
		if r.Deliveries != 1 {
			t.Fatalf("sample %s delivered %d times", r.Sample.ID, r.Deliveries)
		}
	}
	return learnedGroups(t, st, size)
}

// learnedGroups is wholeGroups where the platform's outage may hide from the
// next holder what was acknowledged: a sample may be sent again, the very same
// one, which the trainer does not learn twice.
func learnedGroups(t testing.TB, st *site.Site, size int) int {
	t.Helper()
	count := map[string]int{}
	for _, r := range st.Trainer.Received() {
		if r.Altered {
			t.Fatalf("sample %s sent again with other contents", r.Sample.ID)
		}
		count[r.Sample.Group]++
	}
	whole := 0
	for g, n := range count {
		if n != size {
			t.Fatalf("group %s: trainer holds %d of %d samples", g, n, size)
		}
		whole++
	}
	return whole
}

// A step runs on several instances, reaches its trainer in whole groups,
// closes once the desired groups are recorded, and is accepted once however
// often it is submitted.
func TestStepIsDeliveredInWholeGroups(t *testing.T) {
	s := startSite(t, 3, 3, enginetest.Config{WeightVersion: 1})
	spec := stepSpec("s1", 24, 4, 18)
	for i := range 3 {
		if status := submit(t, s, i, spec); status != http.StatusOK {
			t.Fatalf("submission %d answered %d", i, status)
		}
	}
	other := spec
	other.Desired = 20
	if status := submit(t, s, 0, other); status != http.StatusConflict {
		t.Fatalf("other contents under the same id answered %d, want 409", status)
	}
	waitFor(t, 15*time.Second, "the step complete", func() bool { return stepStatus(t, s, 1, "s1").Closed == step.Complete })
	waitFor(t, 5*time.Second, "every record delivered", func() bool { return len(s.Platform.Rows("delivery/")) == 0 })
	if n := wholeGroups(t, s, 4); n < 18 {
		t.Fatalf("trainer holds %d whole groups, want 18", n)
	}
	ran := 0
	for _, in := range s.Entries {
		if in.Counter("samples_delivered") > 0 {
			ran++
		}
	}
	if ran < 2 {
		t.Fatalf("%d instances ran the step, want several", ran)
	}
}

// Instances leave and the platform loses replies and goes down in the
// middle of a step: each sample still reaches the trainer once, in whole
// groups, and the step completes.
func TestStepOutlivesInstancesAndOutages(t *testing.T) {
	s := startSite(t, 3, 3, enginetest.Config{WeightVersion: 1, TokenInterval: 5 * time.Millisecond})
	submit(t, s, 0, stepSpec("s2", 24, 4, 24))
	waitFor(t, 10*time.Second, "the step under way", func() bool { return len(s.Trainer.Received()) > 8 })
	s.Platform.SetFaults(platformtest.Faults{LoseReplies: 3, LosePrefix: "delivery/"})
	s.StopEntry(0)
	time.Sleep(200 * time.Millisecond)
	s.Platform.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(500 * time.Millisecond)
	s.Platform.SetFaults(platformtest.Faults{})
	waitFor(t, 20*time.Second, "the step complete", func() bool { return stepStatus(t, s, 1, "s2").Closed == step.Complete })
	waitFor(t, 20*time.Second, "every record delivered", func() bool { return len(s.Platform.Rows("delivery/")) == 0 })
	if n := learnedGroups(t, s, 4); n != 24 {
		t.Fatalf("trainer holds %d whole groups, want 24", n)
	}
}

// An instance that leaves in good order in the middle of a step finishes its
// deliveries first: nothing is sent twice.
func TestStepHandedOverSendsNothingTwice(t *testing.T) {
	s := startSite(t, 3, 3, enginetest.Config{WeightVersion: 1, TokenInterval: 2 * time.Millisecond})
	s.Trainer.Delay(600 * time.Millisecond) // deliveries are under way when the instance leaves
	submit(t, s, 0, stepSpec("hand", 48, 4, 48))
	for i := range 2 {
		waitFor(t, 10*time.Second, "the step under way", func() bool { return len(s.Trainer.Received()) > 8+40*i })
		s.StopEntry(i)
		<-s.EntryDone(i)
	}
	waitFor(t, 20*time.Second, "the step complete", func() bool { return stepStatus(t, s, 2, "hand").Closed == step.Complete })
	if n := wholeGroups(t, s, 4); n != 48 {
		t.Fatalf("trainer holds %d whole groups, want 48", n)
	}
}

// Stragglers do not hold a step up: one engine is seventy-five times slower
// than the others, though never so silent as to be given up, and the step
// completes long before that engine could be done with its first item.
func TestStragglersDoNotHoldTheStep(t *testing.T) {
	s := startSite(t, 3, 2, enginetest.Config{WeightVersion: 1, TokenInterval: 2 * time.Millisecond})
	s.Engines[0].SetFaults(enginetest.Faults{SlowFactor: 75}) // 150 ms a token; the idle timeout is 200 ms
	spec := stepSpec("s3", 16, 4, 16)
	for i := range spec.Groups {
		spec.Groups[i].MaxTokens = 60 // 9 s at the slow engine, 120 ms at the others
	}
	start := time.Now()
	submit(t, s, 0, spec)
	waitFor(t, 15*time.Second, "the step complete", func() bool { return stepStatus(t, s, 1, "s3").Closed == step.Complete })
	if took := time.Since(start); took > 7*time.Second {
		t.Fatalf("step took %v", took)
	}
}

// A trainer ends a step: no more of it is delivered, and its work stops.
func TestCancelledStepStops(t *testing.T) {
	s := startSite(t, 2, 2, enginetest.Config{WeightVersion: 1, TokenInterval: 20 * time.Millisecond})
	submit(t, s, 0, stepSpec("s4", 64, 4, 64))
	waitFor(t, 10*time.Second, "the step under way", func() bool { return s.Engines[0].Requests()+s.Engines[1].Requests() > 0 })
	if err := entry.NewClient(s.Entries[1].Addr(), nil).CancelStep(context.Background(), "minho", "drafts", "s4"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // a third of the shard lease
	before := s.Engines[0].Requests() + s.Engines[1].Requests()
	time.Sleep(500 * time.Millisecond)
	if after := s.Engines[0].Requests() + s.Engines[1].Requests(); after != before {
		t.Fatalf("%d more generations after the step was cancelled", after-before)
	}
}

// Steps closed long ago, and members long gone, leave nothing behind.
func TestOldStepsAndMembersAreRemoved(t *testing.T) {
	s := startSite(t, 2, 0, enginetest.Config{WeightVersion: 1})
	if err := s.StartEntryWith("sweeper", func(c *entry.Config) { c.StepRetention, c.MemberRetention = time.Second, time.Second }); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 5*time.Second, "the catalogue applied", func() bool { return len(s.Entries[0].View().Entries) > 0 })
	s.Platform.Put("member/gone", lease.Lease{Holder: "gone", ExpiresAt: time.Now().Add(-time.Minute), Data: []byte("{}")})
	submit(t, s, 0, stepSpec("old", 4, 2, 4))
	waitFor(t, 10*time.Second, "the step complete", func() bool { return stepStatus(t, s, 0, "old").Closed == step.Complete })
	waitFor(t, 10*time.Second, "step and member removed", func() bool {
		return len(s.Platform.Rows("step")) == 0 && len(s.Platform.Rows("member/")) == 1 && s.Platform.Objects() == 0
	})
}

// Groups that the trainer turns away as too old, since it named a version
// while they were under way, do not count: they are made again, and the step
// completes only once the trainer holds the desired groups.
func TestGroupsTurnedAwayAreMadeAgain(t *testing.T) {
	s := startSite(t, 2, 2, enginetest.Config{WeightVersion: 1})
	nameVersion(t, s, 0, 1)
	s.Trainer.SetTargetVersion(3)
	submit(t, s, 0, stepSpec("away", 8, 2, 8))
	stale := func() int64 {
		return s.Entries[0].Counter("samples_refused_stale") + s.Entries[1].Counter("samples_refused_stale")
	}
	waitFor(t, 10*time.Second, "groups turned away", func() bool { return stale() >= 8 })
	if st := stepStatus(t, s, 0, "away"); st.Closed != "" || st.Delivered != 0 {
		t.Fatalf("step %+v with every group turned away", st)
	}
	nameVersion(t, s, 0, 3)
	waitFor(t, 15*time.Second, "the step complete", func() bool { return stepStatus(t, s, 0, "away").Closed == step.Complete })
	if n := wholeGroups(t, s, 2); n != 8 {
		t.Fatalf("trainer holds %d whole groups when the step is complete, want 8", n)
	}
}

// With many shards at work each one's lease lives longer, so that their
// renewals together stay within what the platform can write.
func TestShardLeasesLiveLongerWithManyShards(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 20 * time.Millisecond})
	nameVersion(t, s, 0, 1)
	const groups, perShard, perSecond = 160, 4, 45
	spec := stepSpec("many", groups, 2, groups)
	submit(t, s, 0, spec)
	client := platform.NewClient(s.PlatformURL, nil)
	waitFor(t, 5*time.Second, "a lease in proportion to the shards", func() bool {
		row, err := client.Get(context.Background(), step.ShardKey(spec.Key(), 0))
		if err != nil {
			return false
		}
		l, err := lease.Decode(row)
		return err == nil && l.TTL(0) >= groups/perShard*time.Second*3/perSecond
	})
}
