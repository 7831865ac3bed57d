// Package explain finds in the logs of many instances what happened to one
// request, item or submission, and why: its own lines, and those that tell what
// the instances that handled it believed of its upstreams, of the store and of
// the configuration at the time.
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

// Line is one log line.
type Line struct {
	Time    string // as written
	Level   string
	Message string
	Node    string
	Fields  []Field // the others, in order

	at    time.Time
	order int
}

// Field is a name and value of a line.
type Field struct{ Name, Value string }

// Get returns the value of a field, empty if there is none.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// clockFormat is how lines tell the time of day.
const clockFormat = "15:04:05.000"

// around is how long before and after a request's lines the lines of its
// upstreams, of the store and of the configuration are shown: calls time out
// and leases lapse within it.
const around = 5 * time.Second

// Read reads lines from r, which may stand behind a prefix such as an
// instance's name, and passes over what is no log line.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		text := sc.Text()
		if i := strings.Index(text, "time="); i >= 0 {
			if l, ok := parse(text[i:]); ok {
				l.order = len(out)
				out = append(out, l)
			}
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	return out, nil
}

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

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
			l.at, _ = time.Parse(clockFormat, value) // lines without one sort first
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

// Explanation is what the logs tell of one ID.
type Explanation struct {
	ID    string
	Lines []Line // in order of time: its own, and those around that bear on them
	Cause string // the last failure among its own lines, or how it ended
}

// Find returns what lines tell of the request, item or submission with an ID;
// ok is false if none names it.
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
	from, to := first.Add(-around), last.Add(around)
	e = Explanation{ID: id, Lines: own}
	for _, l := range lines {
		if l.names(id) || l.at.Before(from) || l.at.After(to) {
			continue
		}
		if l.bearsOn(upstreams, nodes, submissions) {
			e.Lines = append(e.Lines, l)
		}
	}
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.at.Compare(b.at) })
	slices.SortStableFunc(own, func(a, b Line) int { return a.at.Compare(b.at) })
	e.Cause = cause(own)
	return e, true
}

func (l Line) names(id string) bool {
	return l.Get("request") == id || l.Get("item") == id || l.Get("submission") == id
}

// dependencies are the lines that change what an instance believes.
var dependencies = []string{"store lost", "store regained", "configuration in force", "draining", "start", "stop", "lease taken", "lease lost", "version named", "settings reloaded"}

// bearsOn reports whether l tells what mattered to a request that met the given
// upstreams, instances and submissions.
func (l Line) bearsOn(upstreams, nodes, submissions map[string]bool) bool {
	switch {
	case l.Message == "upstream" || l.Message == "upstream gone" || l.Message == "entry not usable" || l.Message == "order" || l.Message == "load":
		return upstreams[l.Get("upstream")] && nodes[l.Node]
	case slices.Contains(dependencies, l.Message):
		return nodes[l.Node]
	}
	return l.Get("submission") != "" && submissions[l.Get("submission")] && l.Get("item") == ""
}

// cause names the decisive line of a request's own lines: its last failure that
// nothing good followed, or else its last line.
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

// Write writes e as text: its lines, those of the ID itself marked, and the cause.
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
	_, err := fmt.Fprintf(w, "cause: %s\n", e.Cause)
	return err
}
