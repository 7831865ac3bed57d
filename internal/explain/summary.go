package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// Phase is a phase of a submission's processing time, by the timing that its owners
// log of the item that finished last.
type Phase string

// The phases in the order in which a submission passes through them.
const (
	NoOwner     Phase = "no owner"      // accepted, not run by any instance yet
	NoEngine    Phase = "no engine"     // before the item's first event
	Generating  Phase = "generating"    // an engine is generating its text
	Interrupted Phase = "interrupted"   // between attempts, after the first event
	Scoring     Phase = "scoring"       // from the complete text to its score
	Writing     Phase = "writing"       // from its score to the stored result
	Other       Phase = "other, reader" // the rest, until its sender ended the submission
)

// Phases are all phases in order.
var Phases = []Phase{NoOwner, NoEngine, Generating, Interrupted, Scoring, Writing, Other}

// phaseKeys maps keys of the message "submission runs no more" to the phases whose
// times they give.
var phaseKeys = map[string]Phase{"owner_after": NoOwner, "waited": NoEngine, "generating": Generating, "interrupted": Interrupted, "scoring": Scoring, "writing": Writing}

// SubmissionTiming is the processing time of one submission as logged by its owners.
type SubmissionTiming struct {
	ID, Model, Step         string
	Duration                time.Duration // from its acceptance until its sender ended it
	Runs                    int           // times that an instance ran it as its owner
	Attempts, EmptyAttempts int           // of its items at engines; those without any event
	Phases                  map[Phase]time.Duration

	keptAt, endedAt time.Time
}

// Summary is the processing times of all submissions, and the times of requests.
type Summary struct {
	Submissions []SubmissionTiming // those accepted and ended in the logs, slowest first
	Rejections  int                // calls whose submission was not accepted
	Models      []ModelTiming      // of Submissions
	Routes      []RequestTiming
	Customers   []RequestTiming // empty if the site has none
	Upstreams   []UpstreamTiming
	Pools       []PoolTiming
	Skipped     map[string]int // lines that exceeded a limit per second, by kind
}

// Summarize returns the processing times of the submissions in lines, and the times of
// the requests. A submission without a line of its acceptance or of its end is left out.
func Summarize(lines []Line) Summary {
	var s Summary
	byID := map[string]*SubmissionTiming{}
	timingOf := func(id string) *SubmissionTiming {
		if byID[id] == nil {
			byID[id] = &SubmissionTiming{ID: id, Phases: map[Phase]time.Duration{}}
		}
		return byID[id]
	}
	for _, l := range lines {
		id := l.Get("submission")
		switch l.Message {
		case "submission not kept":
			s.Rejections++
		case "submission kept":
			if t := timingOf(id); t.keptAt.IsZero() || l.at.Before(t.keptAt) {
				t.keptAt = l.at
			}
		case "submission ended":
			if t := timingOf(id); t.endedAt.IsZero() || l.at.Before(t.endedAt) {
				t.endedAt = l.at
			}
		case "submission runs no more":
			timingOf(id).add(l)
		}
	}
	for _, t := range byID {
		if !t.keptAt.IsZero() && !t.endedAt.IsZero() && t.endedAt.After(t.keptAt) {
			t.finish()
			s.Submissions = append(s.Submissions, *t)
		}
	}
	slices.SortFunc(s.Submissions, func(a, b SubmissionTiming) int {
		return cmp.Or(cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.ID, b.ID))
	})
	s.Models, s.Skipped = byModel(s.Submissions), skippedLines(lines)
	s.Routes, s.Customers = requestsBy("route", lines), requestsBy("customer", lines)
	s.Upstreams, s.Pools = byUpstream(lines)
	return s
}

// add adds the times and counts of a line "submission runs no more".
func (t *SubmissionTiming) add(l Line) {
	t.Model, t.Step = l.Get("model"), l.Get("step")
	t.Runs++
	for name, p := range phaseKeys {
		d, err := time.ParseDuration(l.Get(name))
		if err != nil || p == NoOwner && t.Runs > 1 {
			continue // a later owner's owner_after includes the runs of the earlier ones
		}
		t.Phases[p] += max(d, 0)
	}
	t.Attempts += number(l.Get("attempts"))
	t.EmptyAttempts += number(l.Get("refused"))
}

// number parses a count; a missing or malformed one is 0.
func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// finish sets the total time, and the time that no owner logged.
func (t *SubmissionTiming) finish() {
	t.Duration = t.endedAt.Sub(t.keptAt)
	rest := t.Duration
	for _, d := range t.Phases {
		rest -= d
	}
	t.Phases[Other] = max(rest, 0)
}

// Write writes a table with the sums over all submissions and a row for each of the
// slowest ones, in seconds by phase, and tables of times by model, route, customer, pool
// and upstream. An error is one of w.
func (s Summary) Write(w io.Writer, slowest int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "submission\tmodel\tstep\ttook\truns\tattempts\trefused\t")
	for _, p := range Phases {
		fmt.Fprintf(t, "%s\t", p)
	}
	fmt.Fprintln(t)
	sum := SubmissionTiming{ID: fmt.Sprintf("all %d", len(s.Submissions)), Phases: map[Phase]time.Duration{}}
	for _, st := range s.Submissions {
		sum.Duration += st.Duration
		sum.Runs += st.Runs
		sum.Attempts += st.Attempts
		sum.EmptyAttempts += st.EmptyAttempts
		for p, d := range st.Phases {
			sum.Phases[p] += d
		}
	}
	for _, st := range append([]SubmissionTiming{sum}, s.Submissions[:min(slowest, len(s.Submissions))]...) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.1f s\t%d\t%d\t%d\t", st.ID, st.Model, st.Step, st.Duration.Seconds(), st.Runs, st.Attempts, st.EmptyAttempts)
		for _, p := range Phases {
			fmt.Fprintf(t, "%.1f\t", st.Phases[p].Seconds())
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "submissions rejected: %d times\n", s.Rejections); err != nil {
		return err
	}
	return s.writeTables(w)
}
