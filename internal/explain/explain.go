// Package explain analyses the logs of many instances. It extracts the timeline of
// one request, item or submission: the lines that name it, and the lines in which
// the instances that handled it logged changes of its upstreams, of the store and
// of the configuration. It also sums the processing times of all submissions by
// phase.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one log line in logfmt.
type Line struct {
	Time    string // time of day as logged, see clockFormat
	Level   string
	Message string
	Node    string
	Fields  []Field // all other keys, in the order of the line

	at time.Time // zero if the line has no valid time
}

// Field is a key of a line and its value.
type Field struct{ Name, Value string }

// Get returns the value of the first field with a name, or "" if there is none.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// clockFormat is the format of the time key, a time of day without a date.
const clockFormat = "15:04:05.000"

// contextWindow is the time before the first and after the last line of an ID
// within which the lines of its upstreams, of the store and of the configuration
// are included. Calls time out and leases expire within it.
const contextWindow = 5 * time.Second

// Read returns the log lines in r. Text before "time=", such as an instance's name,
// is dropped, and so is everything that is not a log line. An error is one of
// reading r, or bufio.ErrTooLong for a line longer than maxLine.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		text := sc.Text()
		if i := strings.Index(text, "time="); i >= 0 {
			if l, ok := parse(text[i:]); ok {
				out = append(out, l)
			}
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	return out, nil
}

// SortByTime sorts lines by time, as their instances' clocks tell it. Lines of the same
// time keep their order.
func SortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.at.Compare(b.at) })
}

// maxLine is the length limit of a line, in bytes.
const maxLine = 1 << 20

// parse parses a line of logfmt. It returns false if the line is malformed or has no
// msg.
func parse(text string) (Line, bool) {
	var l Line
	d := logfmt.NewDecoder(strings.NewReader(text))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		name, value := string(d.Key()), string(d.Value())
		switch name {
		case "time":
			l.Time = value
			l.at, _ = time.Parse(clockFormat, value) // lines without a valid time sort first
		case "level":
			l.Level = value
		case "msg":
			l.Message = value
		case "node":
			l.Node = value
		default:
			l.Fields = append(l.Fields, Field{name, value})
		}
	}
	return l, d.Err() == nil && l.Message != ""
}

// Explanation is the timeline of one request, item or submission.
type Explanation struct {
	ID    string
	Lines []Line // sorted by time: those that name the ID, and related ones
	Steps []Step // course of a request, sorted by time; empty for an item
	Cause string // decisive line among those that name the ID, see cause
}

// Find returns the timeline of the request, item or submission with an ID; ok is
// false if no line names the ID.
func Find(lines []Line, id string) (e Explanation, ok bool) {
	var own []Line
	upstreams, nodes := map[string]bool{}, map[string]bool{}
	submissions := map[string]bool{id: true}
	for _, l := range lines {
		if !l.names(id) {
			continue
		}
		own = append(own, l)
		nodes[l.Node] = true
		if u := l.Get("upstream"); u != "" {
			upstreams[u] = true
		}
		if s := l.Get("submission"); s != "" {
			submissions[s] = true
		}
	}
	if len(own) == 0 {
		return Explanation{ID: id}, false
	}
	first, last := own[0].at, own[0].at
	for _, l := range own {
		if l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
	}
	from, to := first.Add(-contextWindow), last.Add(contextWindow)
	e = Explanation{ID: id, Lines: own}
	for _, l := range lines {
		if l.names(id) || l.at.Before(from) || l.at.After(to) {
			continue
		}
		if l.bearsOn(upstreams, nodes, submissions) {
			e.Lines = append(e.Lines, l)
		}
	}
	SortByTime(e.Lines)
	SortByTime(own)
	e.Steps, e.Cause = courseOf(own), cause(own)
	return e, true
}

// names reports whether the line's request, item or submission is id.
func (l Line) names(id string) bool {
	return l.Get("request") == id || l.Get("item") == id || l.Get("submission") == id
}

// dependencyMessages are the messages of lines that log a change of the store, of the
// configuration or of the instance itself.
var dependencyMessages = []string{"store lost", "store regained", "configuration in force", "draining", "start", "stop", "lease taken", "lease lost", "version named", "settings reloaded"}

// bearsOn reports whether l belongs in the timeline of a request that was handled by
// the given nodes and named the given upstreams and submissions: it logs a change of
// such an upstream or of a dependency at such a node, or is a line of such a
// submission as a whole.
func (l Line) bearsOn(upstreams, nodes, submissions map[string]bool) bool {
	switch {
	case l.Message == "upstream" || l.Message == "upstream gone" || l.Message == "entry not usable" || l.Message == "order" || l.Message == "load":
		return upstreams[l.Get("upstream")] && nodes[l.Node]
	case slices.Contains(dependencyMessages, l.Message):
		return nodes[l.Node]
	}
	return l.Get("submission") != "" && submissions[l.Get("submission")] && l.Get("item") == ""
}

// cause returns the text of the decisive line of own, which is sorted by time: the
// last warning or error. If the last line is of level info and later than that, its
// text precedes the failure's. Without any failure it is the last line.
func cause(own []Line) string {
	last := own[len(own)-1]
	for _, l := range slices.Backward(own) {
		if l.Level == "warn" || l.Level == "error" {
			if l.at.Equal(last.at) || last.Level != "info" {
				return l.text()
			}
			return last.text() + "; earlier: " + l.text()
		}
	}
	return last.text()
}

// text returns the line for display, without its level and without empty values.
func (l Line) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s at %s on %s", l.Message, l.Time, l.Node)
	for _, f := range l.Fields {
		if f.Value != "" && f.Value != "null" && f.Value != "0" {
			fmt.Fprintf(&b, " %s=%q", f.Name, f.Value)
		}
	}
	return b.String()
}

// Write writes e as text: a line each, marked with ">" if it names the ID, then the course
// of a request, and the cause. An error is one of w.
func (e Explanation) Write(w io.Writer) error {
	for _, l := range e.Lines {
		mark := " "
		if l.names(e.ID) {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %s\n", mark, l.text()); err != nil {
			return err
		}
	}
	if len(e.Steps) > 0 {
		if _, err := fmt.Fprintln(w, "course:"); err != nil {
			return err
		}
	}
	for _, s := range e.Steps {
		if _, err := fmt.Fprintf(w, "  %s %s\n", s.Time, s.Text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", e.Cause)
	return err
}
