package catalogue_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
)

// Operators add and remove keys concurrently. Files that contain no keys leave them in
// place, the audit trail has their digests only, and the last key and its customer
// cannot be removed while entries would be open to all callers without it.
func TestKeys(t *testing.T) {
	srv := httptest.NewServer(platformtest.New().Handler())
	defer srv.Close()
	c, ctx, now := platform.NewClient(srv.URL, nil), context.Background(), time.Now()
	owner := entry(1).Owner
	f := catalogue.File{Pools: []catalogue.Pool{{Name: "desk-app", Kind: catalogue.Services}}, Entries: []catalogue.Entry{entry(1)},
		Customers: []catalogue.Customer{{Name: owner, MaxInFlight: 8}}}
	sync := func() {
		t.Helper()
		if _, err := catalogue.Sync(ctx, c, f, "ana", now); err != nil {
			t.Fatal(err)
		}
	}
	stored := func() catalogue.Customer {
		t.Helper()
		snap, err := catalogue.Read(ctx, c)
		if err != nil {
			t.Fatal(err)
		}
		return snap.Customers[owner]
	}
	sync()
	if !stored().AcceptsKey("") {
		t.Error("customer without keys refuses callers without a key")
	}
	if err := catalogue.AddKey(ctx, c, "nobody", "first-key", "ana", now); err == nil {
		t.Error("AddKey for a missing customer returned no error")
	}
	var adding errgroup.Group
	for _, key := range []string{"first-key", "second-key"} {
		adding.Go(func() error { return catalogue.AddKey(ctx, c, owner, key, "ana", now) })
	}
	if err := adding.Wait(); err != nil {
		t.Fatal(err)
	}
	sync()
	if cu := stored(); !cu.AcceptsKey("first-key") || !cu.AcceptsKey("second-key") || cu.AcceptsKey("") || cu.AcceptsKey(cu.KeyDigests[0]) {
		t.Errorf("key digests = %v, want those of both keys and no other", cu.KeyDigests)
	}
	if err := catalogue.Remove(ctx, c, catalogue.CustomerPrefix+owner, "rui", now); !errors.Is(err, catalogue.ErrInUse) {
		t.Errorf("removing a customer with keys that owns an entry: %v, want ErrInUse", err)
	}
	first, second := catalogue.KeyDigest("first-key"), catalogue.KeyDigest("second-key")
	if err := catalogue.RemoveKey(ctx, c, owner, first[:12], "rui", now); err != nil {
		t.Error(err)
	}
	for _, digest := range []string{second, first, second[:3]} {
		if err := catalogue.RemoveKey(ctx, c, owner, digest, "rui", now); err == nil {
			t.Errorf("RemoveKey(%s) returned no error", digest)
		}
	}
	if cu := stored(); cu.AcceptsKey("first-key") || !cu.AcceptsKey("second-key") {
		t.Errorf("key digests = %v, want that of the second key only", cu.KeyDigests)
	}
	changes, err := catalogue.Audit(ctx, c, catalogue.CustomerPrefix+owner)
	if err != nil || len(changes) != 4 {
		t.Errorf("Audit returned %d changes and error %v, want 4", len(changes), err)
	}
	for _, ch := range changes {
		if strings.Contains(ch.Before+ch.After, "-key\"") {
			t.Errorf("audit record contains a key: %+v", ch)
		}
	}
	f.Customers[0].KeyDigests = []string{"no digest"}
	if _, err := catalogue.Sync(ctx, c, f, "ana", now); err == nil {
		t.Error("Sync of a malformed digest returned no error")
	}
}
