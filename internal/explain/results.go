package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// ResultConflictKind is a way in which the results of a submission contradict each other.
type ResultConflictKind string

// The kinds of conflicts.
const (
	ItemWithResults    ResultConflictKind = "item with several results"
	ItemAtPositions    ResultConflictKind = "item at several positions"
	PositionWithItems  ResultConflictKind = "position with several items"
	resultsListed                         = "listed"       // message of a write of results
	resultsRead                           = "results read" // message of a page sent to a caller
	submissionRuns                        = "submission runs"
	submissionRunEnded                    = "submission runs no more"
)

// ResultConflict is an item or a position of a submission about which lines disagree.
type ResultConflict struct {
	Kind       ResultConflictKind
	Submission string
	Subject    string      // the item, or the position
	Uses       []ResultUse // in the order of the lines
}

// ResultUse is a result as one line gives it: written at its position, or sent to a
// caller.
type ResultUse struct {
	Line         Line
	Position     int
	Item, Digest string
}

// SubmissionRuns tells how instances ran a submission, and how large its results were.
type SubmissionRuns struct {
	ID           string
	Runs         int
	Tokens       int // fencing tokens of the runs
	Listed       int // results in lines of writes
	Objects      int // of those, results that were stored as objects
	MostObjects  int // in one write
	LargestBytes int // of a result as encoded for its row; 0 if no line tells
	Repeated     []RepeatedRun
}

// RepeatedRun is a run that began under the fencing token of an earlier run at the same
// instance, so that a write of the earlier run is not fenced.
type RepeatedRun struct {
	Began Line
	Ended Line // of the earlier run; without a message if its end is not in the logs
}

// ResultCheck is the results of all submissions as instances wrote them and sent them to
// callers.
type ResultCheck struct {
	Conflicts   []ResultConflict
	Submissions []SubmissionRuns // sorted by ID
	Uses        map[string]int   // results in lines, by source; those of writes under "listed"
	Skipped     int              // lines about results that exceeded a limit per second
}

// CheckResults checks that lines agree on the result and the position of each item.
// Lines must be in the order in which they were written.
func CheckResults(lines []Line) ResultCheck {
	c := ResultCheck{Uses: map[string]int{}}
	uses := map[string][]ResultUse{} // by submission
	runs := map[string]*runHistory{}
	for _, l := range lines {
		id := l.Get("submission")
		if id == "" {
			continue
		}
		h := runs[id]
		if h == nil {
			h = newRunHistory(id)
			runs[id] = h
		}
		switch l.Message {
		case resultsListed, resultsRead:
			us := resultUses(l)
			uses[id] = append(uses[id], us...)
			c.Uses[l.resultSource()] += len(us)
			c.Skipped += number(l.Get("skipped"))
			if l.Message == resultsListed {
				h.listed(l, len(us))
			}
		case submissionRuns:
			h.began(l)
		case submissionRunEnded:
			h.ended[runKey(l)] = l
		}
	}
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		if h := runs[id]; h.Runs > 0 || h.Listed > 0 || len(uses[id]) > 0 {
			h.Tokens = len(h.tokens)
			c.Submissions = append(c.Submissions, h.SubmissionRuns)
		}
		c.Conflicts = append(c.Conflicts, conflictsOf(id, uses[id])...)
	}
	return c
}

// resultSource returns where the results of l came from.
func (l Line) resultSource() string {
	if l.Message == resultsListed {
		return resultsListed
	}
	return cmp.Or(l.Get("source"), "unknown")
}

// resultUses returns the results that l gives. Malformed ones are left out.
func resultUses(l Line) []ResultUse {
	position, err := strconv.Atoi(l.Get("position"))
	text := l.Get("results")
	if err != nil || text == "" {
		return nil
	}
	var out []ResultUse
	for i, r := range strings.Split(text, ",") {
		if item, digest, ok := strings.Cut(r, ":"); ok {
			out = append(out, ResultUse{Line: l, Position: position + i, Item: item, Digest: digest})
		}
	}
	return out
}

// conflictsOf returns the conflicts between the results of one submission, sorted by
// subject.
func conflictsOf(submission string, uses []ResultUse) []ResultConflict {
	var out []ResultConflict
	add := func(kind ResultConflictKind, subject, value func(ResultUse) string) {
		bySubject := map[string][]ResultUse{}
		for _, u := range uses {
			bySubject[subject(u)] = append(bySubject[subject(u)], u)
		}
		for _, s := range slices.Sorted(maps.Keys(bySubject)) {
			us := bySubject[s]
			if slices.ContainsFunc(us, func(u ResultUse) bool { return value(u) != value(us[0]) }) {
				out = append(out, ResultConflict{Kind: kind, Submission: submission, Subject: s, Uses: us})
			}
		}
	}
	item := func(u ResultUse) string { return u.Item }
	digest := func(u ResultUse) string { return u.Digest }
	position := func(u ResultUse) string { return strconv.Itoa(u.Position) }
	add(ItemWithResults, item, digest)
	add(ItemAtPositions, item, position)
	add(PositionWithItems, position, item)
	return out
}

// runHistory collects the runs of one submission.
type runHistory struct {
	SubmissionRuns
	tokens map[string]bool
	seen   map[string]bool // keys of the runs so far
	ended  map[string]Line // by runKey, of the run that ended last
}

func newRunHistory(id string) *runHistory {
	return &runHistory{SubmissionRuns: SubmissionRuns{ID: id}, tokens: map[string]bool{}, seen: map[string]bool{}, ended: map[string]Line{}}
}

// runKey identifies the runs at one instance under one fencing token.
func runKey(l Line) string { return l.Node + " " + l.Get("fencing") }

func (h *runHistory) began(l Line) {
	h.Runs++
	h.tokens[l.Get("fencing")] = true
	if key := runKey(l); h.seen[key] {
		h.Repeated = append(h.Repeated, RepeatedRun{Began: l, Ended: h.ended[key]})
	} else {
		h.seen[key] = true
	}
}

func (h *runHistory) listed(l Line, results int) {
	h.Listed += results
	h.Objects += number(l.Get("objects"))
	h.MostObjects = max(h.MostObjects, number(l.Get("objects")))
	h.LargestBytes = max(h.LargestBytes, number(l.Get("largest")))
}

// Write writes the conflicts with their lines, the runs that were repeated under one
// fencing token, a row for each submission, and sums. An error is one of w.
func (c ResultCheck) Write(w io.Writer) error {
	var b strings.Builder
	for _, conflict := range c.Conflicts {
		conflict.write(&b)
	}
	sum := SubmissionRuns{ID: fmt.Sprintf("all %d", len(c.Submissions))}
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "submission\truns\ttokens\trepeated\tlisted\tobjects\tin one write\tlargest\t")
	for _, s := range c.Submissions {
		sum.Runs += s.Runs
		sum.Tokens += s.Tokens
		sum.Listed += s.Listed
		sum.Objects += s.Objects
		sum.MostObjects = max(sum.MostObjects, s.MostObjects)
		sum.LargestBytes = max(sum.LargestBytes, s.LargestBytes)
		sum.Repeated = append(sum.Repeated, s.Repeated...)
		s.writeRow(t)
	}
	sum.writeRow(t)
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range sum.Repeated {
		fmt.Fprintf(&b, "repeated run of %s: %s\n  earlier run: %s\n", r.Began.Get("submission"), r.Began.text(), r.endText())
	}
	for _, source := range slices.Sorted(maps.Keys(c.Uses)) {
		fmt.Fprintf(&b, "results in lines, %s: %d\n", source, c.Uses[source])
	}
	fmt.Fprintf(&b, "lines skipped by the limit per second: %d\nconflicts: %d\n", c.Skipped, len(c.Conflicts))
	_, err := io.WriteString(w, b.String())
	return err
}

func (s SubmissionRuns) writeRow(w io.Writer) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", s.ID, s.Runs, s.Tokens, len(s.Repeated), s.Listed, s.Objects, s.MostObjects, s.LargestBytes)
}

func (r RepeatedRun) endText() string {
	if r.Ended.Message == "" {
		return "no line of its end"
	}
	return r.Ended.text()
}

func (c ResultConflict) write(w io.Writer) {
	fmt.Fprintf(w, "%s: %s of submission %s\n", c.Kind, c.Subject, c.Submission)
	for _, u := range c.Uses {
		fmt.Fprintf(w, "  %s %s %s position %d item %s digest %s", u.Line.Time, u.Line.Node, u.Line.resultSource(), u.Position, u.Item, u.Digest)
		if token := u.Line.Get("fencing"); token != "" {
			fmt.Fprintf(w, " fencing %s", token)
		}
		fmt.Fprintln(w)
	}
}
