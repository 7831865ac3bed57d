package weights_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// Trainers set target versions concurrently over a platform that loses replies. The
// target version only rises; a version that SetTarget confirmed is or was the target; a
// version that it refused never was; and the audit trail holds each version that was
// the target, once and in order.
func TestTargetOnlyRisesAndIsAudited(t *testing.T) {
	srv := platformtest.New()
	hs := httptest.NewServer(srv.Handler())
	defer hs.Close()
	ctx, client := context.Background(), platform.NewClient(hs.URL, nil)
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		pool := fmt.Sprintf("pool-%d-", round)
		confirmed, refused := map[uint64]bool{}, map[string]bool{}
		for r := range rapid.IntRange(1, 4).Draw(t, "rounds") {
			srv.SetFaults(platformtest.Faults{LoseReplies: rapid.IntRange(0, 2).Draw(t, "lost replies")})
			versions := rapid.SliceOfN(rapid.Uint64Range(1, 12), 1, 4).Draw(t, "versions")
			errs := make([]error, len(versions))
			author := func(i int) string { return fmt.Sprintf("trainer-%d/%d", r, i) }
			var g errgroup.Group
			for i, v := range versions {
				g.Go(func() error {
					errs[i] = weights.SetTarget(ctx, client, weights.Target{Pool: pool, Version: v, Author: author(i), SetAt: time.Unix(int64(v), 0)})
					return nil
				})
			}
			_ = g.Wait()
			for i, v := range versions {
				switch {
				case errs[i] == nil:
					confirmed[v] = true
				case errors.Is(errs[i], weights.ErrOlderVersion):
					refused[author(i)] = true
				case !errors.Is(errs[i], platform.ErrUnavailable):
					t.Fatalf("SetTarget(%d): got %v, want nil, ErrOlderVersion or ErrUnavailable", v, errs[i])
				}
			}
		}
		srv.SetFaults(platformtest.Faults{})
		row, err := client.Get(ctx, weights.TargetPrefix+pool)
		if err != nil {
			t.Fatal(err)
		}
		target, err := weights.DecodeTarget(row)
		if err != nil {
			t.Fatal(err)
		}
		trail, err := catalogue.Audit(ctx, client, weights.TargetPrefix+pool)
		if err != nil || len(trail) == 0 {
			t.Fatalf("audit trail: got %v, %v, want records", trail, err)
		}
		before := ""
		for i, ch := range trail {
			if i > 0 && ch.Generation <= trail[i-1].Generation || ch.Before != before || ch.Author == "" {
				t.Fatalf("audit record %d: got %+v after %+v, want rising generations, linked values and an author", i, ch, trail[max(0, i-1)])
			}
			if refused[ch.Author] {
				t.Fatalf("version %d of %s was refused but is in the audit trail", ch.Generation, ch.Author)
			}
			delete(confirmed, ch.Generation)
			before = ch.After
		}
		if len(confirmed) > 0 || before != string(row.Value) || trail[len(trail)-1].Generation != target.Version {
			t.Fatalf("confirmed versions without an audit record: %v; target %s, last record %s", confirmed, row.Value, before)
		}
	})
}

// lostReply is a transport that drops the reply to the first commit after the platform
// has carried it out. It calls meanwhile before it returns the error to the caller.
type lostReply struct {
	meanwhile func()
	done      bool
}

func (l *lostReply) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil || r.Method != http.MethodPost || l.done {
		return resp, err
	}
	l.done = true
	resp.Body.Close()
	l.meanwhile()
	return nil, errors.New("reply lost")
}

// A version that was the target before a newer one replaced it is confirmed, although
// the reply to its own commit was lost.
func TestReplacedTargetIsConfirmed(t *testing.T) {
	srv := platformtest.New()
	hs := httptest.NewServer(srv.Handler())
	defer hs.Close()
	ctx := context.Background()
	set := func(hc *http.Client, version uint64, author string) error {
		return weights.SetTarget(ctx, platform.NewClient(hs.URL, hc), weights.Target{Pool: "assistant-pool", Version: version, Author: author, SetAt: time.Unix(1, 0)})
	}
	lossy := &http.Client{Transport: &lostReply{meanwhile: func() {
		if err := set(nil, 7, "second"); err != nil {
			t.Error(err)
		}
	}}}
	if err := set(lossy, 5, "first"); err != nil {
		t.Fatalf("SetTarget(5), the target before 7: got %v, want nil", err)
	}
	if err := set(nil, 5, "third"); !errors.Is(err, weights.ErrOlderVersion) {
		t.Fatalf("SetTarget(5) after 7: got %v, want ErrOlderVersion", err)
	}
}
