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

// Trainers that name versions at the same time, over a platform that loses
// replies: the target only rises, what Name confirms is in force or was, what
// it refuses never was, and the audit trail holds each version that was in
// force, once, in order.
func TestNamedVersionsRiseAndAreAudited(t *testing.T) {
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
					t.Fatalf("version %d: %v", v, errs[i])
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
			t.Fatalf("audit trail %v, %v", trail, err)
		}
		before := ""
		for i, ch := range trail {
			if i > 0 && ch.Generation <= trail[i-1].Generation || ch.Before != before || ch.Author == "" {
				t.Fatalf("audit record %d is %+v after %+v", i, ch, trail[max(0, i-1)])
			}
			if refused[ch.Author] {
				t.Fatalf("version %d of %s was refused, and was in force", ch.Generation, ch.Author)
			}
			delete(confirmed, ch.Generation)
			before = ch.After
		}
		if len(confirmed) > 0 || before != string(row.Value) || trail[len(trail)-1].Generation != target.Version {
			t.Fatalf("versions %v confirmed and not audited; target %s, last record %s", confirmed, row.Value, before)
		}
	})
}

// lostReply is a transport that loses the reply of the first commit, once the
// platform has carried it out, and runs meanwhile before the caller learns.
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

// A version that was in force before a newer one took its place is not
// refused as older, though its own reply was lost.
func TestVersionReplacedBeforeItsReplyIsConfirmed(t *testing.T) {
	srv := platformtest.New()
	hs := httptest.NewServer(srv.Handler())
	defer hs.Close()
	ctx := context.Background()
	name := func(hc *http.Client, version uint64, author string) error {
		return weights.SetTarget(ctx, platform.NewClient(hs.URL, hc), weights.Target{Pool: "assistant-pool", Version: version, Author: author, SetAt: time.Unix(1, 0)})
	}
	lossy := &http.Client{Transport: &lostReply{meanwhile: func() {
		if err := name(nil, 7, "second"); err != nil {
			t.Error(err)
		}
	}}}
	if err := name(lossy, 5, "first"); err != nil {
		t.Fatalf("version 5, in force before 7: %v", err)
	}
	if err := name(nil, 5, "third"); !errors.Is(err, weights.ErrOlderVersion) {
		t.Fatalf("version 5 named after 7: %v, want ErrOlder", err)
	}
}
