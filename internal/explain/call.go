package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Step is a step in the course of a caller's request.
type Step struct {
	Time string // of day, see Line
	Text string

	at time.Time
}

// reasonTexts are the texts for the reasons of rejections. Others are shown as logged.
var reasonTexts = map[string]string{
	"queue_full":     "the wait queue was full",
	"queue_too_slow": "its turn in the wait queue would have come too late",
	"displaced":      "it gave way in the wait queue to a more urgent request, or to another customer's",
	"upstreams_full": "no upstream had room",
	"too_large":      "no engine of its pool can hold it",
	"memory":         "it gave way in the instance's memory to a more urgent request",
	"store":          "the store was not available",
}

// courseOf returns the course of the requests whose lines own holds, sorted by time. A
// caller that was rejected may have sent its request again under the same ID.
func courseOf(own []Line) []Step {
	var steps []Step
	for _, l := range own {
		switch l.Message {
		case "request":
			steps = append(steps, courseOfRequest(l, own)...)
		case "submission not kept":
			steps = append(steps, stepAt(l.at, "%s", l.outcome()))
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return a.at.Compare(b.at) })
	return steps
}

func stepAt(at time.Time, format string, args ...any) Step {
	return Step{Time: at.Format(clockFormat), Text: fmt.Sprintf(format, args...), at: at}
}

// courseOfRequest returns the course of the request with line l. own holds the lines of
// its failed attempts. Lines of older builds lack some of the fields, and the steps that
// these tell are left out.
func courseOfRequest(l Line, own []Line) []Step {
	arrived := l.at.Add(-l.duration("took"))
	steps := []Step{stepAt(arrived, "arrived at %s", l.Node)}
	if waited := l.duration("waited"); l.Get("joined_after") != "" {
		steps = append(steps, stepAt(arrived.Add(l.duration("joined_after")), "joined the wait queue, %d ahead; waited %s", number(l.Get("ahead")), show(waited)))
	} else if waited > 0 {
		steps = append(steps, stepAt(arrived, "waited %s for capacity", show(waited)))
	}
	missing := l.Get("upstream") != "" // no line of the last attempt was found
	for _, a := range own {
		// Times are logged in whole milliseconds.
		if a.Message != "attempt failed" || a.Node != l.Node || a.at.Before(arrived.Add(-time.Millisecond)) || a.at.After(l.at) {
			continue
		}
		steps = append(steps, stepAt(a.at.Add(-a.duration("took")), "%s", a.attempt(a.Get("attempt"), a.Get("copy") != "", a.duration("took"))))
		if a.attemptKey() == l.attemptKey() {
			missing = false // it failed, or was answered with an error status
		}
	}
	switch {
	case !missing:
	case l.Get("verdict") != verdict.Ran.String():
		steps = append(steps, stepAt(l.at, "last attempt %s at %s; its line was left out", l.attemptNumber(), l.Get("upstream")))
	default:
		took := l.attemptTook()
		text := l.attempt(l.attemptNumber(), l.Get("copy_won") != "", took)
		if other := l.Get("superseded"); other != "" {
			text += ", before the one at " + other + ", which was cancelled"
		}
		steps = append(steps, stepAt(l.at.Add(-took), "%s", text))
	}
	return append(steps, stepAt(l.at, "%s", l.outcome()))
}

// attempt returns what an attempt at the upstream of l led to.
func (l Line) attempt(number string, isCopy bool, took time.Duration) string {
	name := "attempt " + number
	if isCopy {
		name = "copy, attempt " + number + ","
	}
	result := "status " + l.Get("status")
	if err := l.errorText(); err != "" {
		result = err
	}
	return fmt.Sprintf("%s at %s: %s after %s", name, l.Get("upstream"), result, show(took))
}

// outcome returns how the request or submission of l ended.
func (l Line) outcome() string {
	took, reason, err := show(l.duration("took")), l.Get("reason"), l.errorText()
	switch {
	case reason != "" || l.Get("verdict") == verdict.NotRun.String():
		text := fmt.Sprintf("rejected after %s: %s", took, cmp.Or(reasonTexts[reason], reason, err))
		if ahead := l.Get("ahead"); ahead != "" && l.Get("joined_after") == "" {
			text += ", " + ahead + " ahead"
		}
		if after := l.Get("retry_after"); after != "" {
			text += "; Retry-After " + after
		}
		return text
	case err != "":
		return fmt.Sprintf("failed after %s: %s", took, err)
	case number(l.Get("copies")) > 0:
		return fmt.Sprintf("answered with status %s after %s; copies sent: %s", l.Get("status"), took, l.Get("copies"))
	}
	return fmt.Sprintf("answered with status %s after %s", l.Get("status"), took)
}

// errorText returns the error of l, or "".
func (l Line) errorText() string {
	if err := l.Get("err"); err != "null" {
		return strings.ReplaceAll(err, "\n", "; ")
	}
	return ""
}

// duration returns the value of a field, or 0 if there is no valid one.
func (l Line) duration(name string) time.Duration {
	d, err := time.ParseDuration(l.Get(name))
	if err != nil {
		return 0
	}
	return d
}

// attemptNumber returns the number of the attempt that l is about.
func (l Line) attemptNumber() string { return cmp.Or(l.Get("attempt"), "1") }

// attemptTook returns how long the last attempt of the request with line l took.
func (l Line) attemptTook() time.Duration {
	return cmp.Or(l.duration("attempt_took"), l.duration("took"))
}

// attemptKey identifies the attempt that l, of a request or a failed attempt, is about.
func (l Line) attemptKey() string {
	return strings.Join([]string{l.Node, l.Get("request"), l.Get("upstream"), l.attemptNumber()}, " ")
}

// show returns d as text, in whole tenths of milliseconds.
func show(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
