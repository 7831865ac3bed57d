package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
)

// ownAnswer reports whether text is a whole answer of maxTokens tokens to
// prompt: each token is the next one the stand-in makes for the prompt in
// force, where a resume on another engine puts the text so far after the
// prompt and counts again from 0.
func ownAnswer(prompt, text string, maxTokens int) error {
	toks := strings.SplitAfter(text, " ")
	if toks[len(toks)-1] == "" {
		toks = toks[:len(toks)-1]
	}
	if len(toks) != maxTokens {
		return fmt.Errorf("%d tokens, want %d", len(toks), maxTokens)
	}
	cur, idx, sofar := prompt, 0, ""
	for i, tok := range toks {
		switch tok {
		case enginetest.Token(cur, idx):
			idx++
		case enginetest.Token(prompt+sofar, 0):
			cur, idx = prompt+sofar, 1
		default:
			return fmt.Errorf("token %d %q is not this request's", i, tok)
		}
		sofar += tok
	}
	return nil
}

// Many callers at once, at two instances, while engines cut streams part
// way: each caller receives the whole answer to its own request and
// nothing else, or a verdict.
func TestCallersGetTheirOwnWholeAnswers(t *testing.T) {
	s := startSite(t, 3, 2, enginetest.Config{Slots: 64})
	round := 0
	rapid.Check(t, func(rt *rapid.T) {
		round++
		cut := rapid.IntRange(0, 12).Draw(rt, "cut_after") // 0: engines never cut
		for i, e := range s.Engines {
			if i > 0 || cut == 0 { // one engine cuts, so a resume has somewhere to go
				e.SetFaults(enginetest.Faults{})
				continue
			}
			e.SetFaults(enginetest.Faults{CutAfter: cut})
		}
		callers := rapid.IntRange(1, 12).Draw(rt, "callers")
		type want struct {
			req  entry.GenerateRequest
			text string
			last entry.Event
			code int
		}
		got := make([]want, callers)
		var g errgroup.Group
		for c := range got {
			got[c].req = entry.GenerateRequest{Customer: "minho", Entry: "chat",
				RequestID: fmt.Sprintf("r%d-c%d", round, c), Prompt: fmt.Sprintf("member %d of round %d:", c, round),
				MaxTokens: rapid.IntRange(1, 24).Draw(rt, "tokens")}
			at := rapid.IntRange(0, 1).Draw(rt, "instance")
			g.Go(func() error {
				got[c].code, got[c].text, got[c].last = generate(t, s.Entries[at].Addr(), got[c].req)
				return nil
			})
		}
		_ = g.Wait()
		for _, w := range got {
			if w.code != http.StatusOK || !w.last.Done {
				if w.last.Verdict == nil {
					rt.Fatalf("%s: status %d, no verdict: %+v", w.req.RequestID, w.code, w.last)
				}
				continue
			}
			if err := ownAnswer(w.req.Prompt, w.text, w.req.MaxTokens); err != nil {
				rt.Fatalf("%s: %v", w.req.RequestID, err)
			}
		}
	})
}
