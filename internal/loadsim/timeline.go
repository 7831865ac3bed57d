package loadsim

import (
	"container/heap"
	"time"
)

// timeline runs events in the order of their simulated times. Its zero value is empty.
type timeline struct {
	events queue
	order  int       // order of the last event added
	now    time.Time // time of the current event
}

// schedule schedules do at t.
func (tl *timeline) schedule(t time.Time, do func(now time.Time)) {
	tl.order++
	heap.Push(&tl.events, event{t, tl.order, do})
}

// runEvents runs events, also those that they schedule, until there are none.
func (tl *timeline) runEvents() {
	for len(tl.events) > 0 {
		e := heap.Pop(&tl.events).(event)
		tl.now = e.at
		e.do(e.at)
	}
}

// event is a function scheduled at a time.
type event struct {
	at    time.Time
	order int // position among events at the same time
	do    func(now time.Time)
}

// queue is a heap of events.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
