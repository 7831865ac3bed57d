package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// A customer that has API keys is served only with a valid key, by every endpoint, and no
// longer once the key is deleted.
func TestCustomerKeys(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{Slots: 4})
	ctx, store := context.Background(), platform.NewClient(s.PlatformURL, nil)
	if err := s.Apply(catalogue.File{Customers: []catalogue.Customer{{Name: "minho", MaxInFlight: 8, KeyDigests: []string{catalogue.KeyDigest("one"), catalogue.KeyDigest("two")}}}}); err != nil {
		t.Fatal(err)
	}
	due := time.Now().Add(time.Minute).UTC()
	calls := map[string]func(c *entry.Client) error{
		"route": func(c *entry.Client) error { _, err := c.Route(ctx, "minho", "k"); return err },
		"generate": func(c *entry.Client) error {
			a, err := c.Generate(ctx, entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: "r", Prompt: "p", MaxTokens: 2})
			if err == nil && a.Status == http.StatusUnauthorized {
				return verdict.New(verdict.NotRun, a.Status, errors.New(a.Last.Error))
			}
			return err
		},
		"call": func(c *entry.Client) error {
			_, err := c.Call(ctx, entry.CallRequest{Customer: "minho", Entry: "plans", Method: "log_plan", Key: "p1", Body: json.RawMessage(`{}`)})
			return err
		},
		"weights": func(c *entry.Client) error {
			return c.SetTargetVersion(ctx, entry.WeightsRequest{Customer: "minho", Entry: "drafts", Version: 2})
		},
		"submit a step": func(c *entry.Client) error {
			return c.SubmitStep(ctx, step.Spec{Customer: "minho", Entry: "drafts", ID: "s1", Desired: 1, Deadline: due,
				Groups: []step.Group{{ID: "g", Prompt: "p", Size: 1, MaxTokens: 2}}})
		},
		"read a step": func(c *entry.Client) error {
			_, err := c.Step(ctx, "minho", "drafts", "s1")
			if ve := new(verdict.Error); errors.As(err, &ve) && ve.Status == http.StatusNotFound {
				return nil // the step may not have been submitted yet
			}
			return err
		},
		"end a step": func(c *entry.Client) error {
			err := c.CancelStep(ctx, "minho", "drafts", "s1")
			if ve := new(verdict.Error); errors.As(err, &ve) && ve.Status == http.StatusNotFound {
				return nil
			}
			return err
		},
	}
	plain := entry.NewClient(s.Entries[0].Addr(), nil)
	refused := func(err error) bool {
		var ve *verdict.Error
		return errors.As(err, &ve) && ve.Status == http.StatusUnauthorized && ve.Verdict == verdict.NotRun
	}
	for name, call := range calls {
		for _, c := range []*entry.Client{plain, plain.WithKey("three"), plain.WithKey(catalogue.KeyDigest("one"))} {
			if err := call(c); !refused(err) {
				t.Errorf("%s without a valid key: got error %v, want a not_run error with status 401", name, err)
			}
		}
		for _, key := range []string{"one", "two"} {
			if err := call(plain.WithKey(key)); err != nil {
				t.Errorf("%s with key %s: got error %v", name, key, err)
			}
		}
	}
	if err := catalogue.RemoveKey(ctx, store, "minho", catalogue.KeyDigest("one"), "ana", time.Now()); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for !refused(calls["route"](plain.WithKey("one"))) {
		if time.Now().After(deadline) {
			t.Fatal("deleted key still accepted after 5 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err := calls["route"](plain.WithKey("two")); err != nil {
		t.Error(err)
	}
}
