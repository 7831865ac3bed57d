package loadsim

import (
	"container/heap"
	"time"
)

// timeline plays events in the order of their times. Its zero value has none.
type timeline struct {
	events queue
	order  int // of the last event added
}

// at has do happen at t.
func (l *timeline) at(t time.Time, do func(now time.Time)) {
	l.order++
	heap.Push(&l.events, event{t, l.order, do})
}

// play plays events until there are none.
func (l *timeline) play() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		e.do(e.at)
	}
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int // of events at the same time
	do    func(now time.Time)
}

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
