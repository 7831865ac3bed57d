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

// checkResponse returns an error unless text is a complete response of maxTokens tokens to
// prompt. The fake engine derives each token from the prompt and the token's index. A
// resumed request has the text so far appended to its prompt, and its indexes start at 0
// again.
func checkResponse(prompt, text string, maxTokens int) error {
	toks := strings.SplitAfter(text, " ")
	if toks[len(toks)-1] == "" {
		toks = toks[:len(toks)-1]
	}
	if len(toks) != maxTokens {
		return fmt.Errorf("got %d tokens, want %d", len(toks), maxTokens)
	}
	cur, idx, sofar := prompt, 0, ""
	for i, tok := range toks {
		switch tok {
		case enginetest.Token(cur, idx):
			idx++
		case enginetest.Token(prompt+sofar, 0):
			cur, idx = prompt+sofar, 1
		default:
			return fmt.Errorf("token %d %q belongs to another request", i, tok)
		}
		sofar += tok
	}
	return nil
}

// Concurrent callers use two instances while one engine cuts off its streams. Each caller
// must receive the complete response to its own request, or a verdict.
func TestCallersGetTheirOwnCompleteResponses(t *testing.T) {
	s := startSite(t, 3, 2, enginetest.Config{Slots: 64})
	round := 0
	rapid.Check(t, func(rt *rapid.T) {
		round++
		cut := rapid.IntRange(0, 12).Draw(rt, "cut_after") // 0: no engine cuts off streams
		for i, e := range s.Engines {
			if i > 0 || cut == 0 { // only one engine cuts off streams, so that others can resume them
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
					rt.Fatalf("%s: status %d, last event %+v has no verdict", w.req.RequestID, w.code, w.last)
				}
				continue
			}
			if err := checkResponse(w.req.Prompt, w.text, w.req.MaxTokens); err != nil {
				rt.Fatalf("%s: %v", w.req.RequestID, err)
			}
		}
	})
}
