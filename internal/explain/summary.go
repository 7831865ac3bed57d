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

// Phase is a part of the time that a submission takes, as its owners log it of the
// item that had its result last.
type Phase string

// The parts, in the order in which they come.
const (
	NoOwner     Phase = "no owner"      // accepted, and not run yet
	NoEngine    Phase = "no engine"     // before the last item's text began
	Generating  Phase = "generating"    // at engines
	Interrupted Phase = "interrupted"   // its text begun, and at no engine
	Scoring     Phase = "scoring"       // its text whole
	Writing     Phase = "writing"       // its result not written
	Other       Phase = "other, reader" // until its sender ended it
)

// Phases are all parts.
var Phases = []Phase{NoOwner, NoEngine, Generating, Interrupted, Scoring, Writing, Other}

// fields are the fields of the line of a run's end that tell parts.
var fields = map[string]Phase{"owner_after": NoOwner, "waited": NoEngine, "generating": Generating, "interrupted": Interrupted, "scoring": Scoring, "writing": Writing}

// SubmissionTiming is what the logs tell of one submission.
type SubmissionTiming struct {
	ID, Model, Step         string
	Duration                time.Duration // from its acceptance to its end by its sender; 0 if it has none
	Runs                    int           // at owners
	Attempts, EmptyAttempts int           // of its items at engines
	Phases                  map[Phase]time.Duration

	keptAt, endedAt time.Time
}

// Summary is what the logs tell of all submissions.
type Summary struct {
	Submissions []SubmissionTiming // slowest first
	Rejections  int                // submissions that were turned away, each time
}

// Summarize returns what lines tell of all submissions.
func Summarize(lines []Line) Summary {
	var s Summary
	byID := map[string]*SubmissionTiming{}
	of := func(id string) *SubmissionTiming {
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
			if c := of(id); c.keptAt.IsZero() || l.at.Before(c.keptAt) {
				c.keptAt = l.at
			}
		case "submission ended":
			if c := of(id); c.endedAt.IsZero() || l.at.Before(c.endedAt) {
				c.endedAt = l.at
			}
		case "submission runs no more":
			of(id).add(l)
		}
	}
	for _, c := range byID {
		if !c.keptAt.IsZero() && !c.endedAt.IsZero() && c.endedAt.After(c.keptAt) {
			c.finish()
			s.Submissions = append(s.Submissions, *c)
		}
	}
	slices.SortFunc(s.Submissions, func(a, b SubmissionTiming) int {
		return cmp.Or(cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.ID, b.ID))
	})
	return s
}

// add takes the line of the end of one run.
func (c *SubmissionTiming) add(l Line) {
	c.Model, c.Step = l.Get("model"), l.Get("step")
	c.Runs++
	for name, p := range fields {
		d, err := time.ParseDuration(l.Get(name))
		if err != nil || p == NoOwner && c.Runs > 1 {
			continue // a later owner's time includes that of the ones before
		}
		c.Phases[p] += max(d, 0)
	}
	c.Attempts += number(l.Get("attempts"))
	c.EmptyAttempts += number(l.Get("refused"))
}

// number reads a count; a line without one counts none.
func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// finish works out what the lines do not tell: the rest until the sender's end.
func (c *SubmissionTiming) finish() {
	c.Duration = c.endedAt.Sub(c.keptAt)
	rest := c.Duration
	for _, d := range c.Phases {
		rest -= d
	}
	c.Phases[Other] = max(rest, 0)
}

// Write writes the sums of all submissions, and a row for each of the slowest.
func (s Summary) Write(w io.Writer, slowest int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "submission\tmodel\tstep\ttook\truns\tattempts\trefused\t")
	for _, p := range Phases {
		fmt.Fprintf(t, "%s\t", p)
	}
	fmt.Fprintln(t)
	sum := SubmissionTiming{ID: fmt.Sprintf("all %d", len(s.Submissions)), Phases: map[Phase]time.Duration{}}
	for _, c := range s.Submissions {
		sum.Duration += c.Duration
		sum.Runs += c.Runs
		sum.Attempts += c.Attempts
		sum.EmptyAttempts += c.EmptyAttempts
		for p, d := range c.Phases {
			sum.Phases[p] += d
		}
	}
	for _, c := range append([]SubmissionTiming{sum}, s.Submissions[:min(slowest, len(s.Submissions))]...) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.1f s\t%d\t%d\t%d\t", c.ID, c.Model, c.Step, c.Duration.Seconds(), c.Runs, c.Attempts, c.EmptyAttempts)
		for _, p := range Phases {
			fmt.Fprintf(t, "%.1f\t", c.Phases[p].Seconds())
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "submissions turned away: %d times\n", s.Rejections)
	return err
}
