package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// manyItems is the number of items of the batch submission of manyLarge.
const manyItems = 128

// fullPage is the least number of results of a page after which the next one is read at once.
const fullPage = 4

// manyLarge kills all machines at once after a batch submission of many large results has been
// read, starts them again, and reads it from the start. The rule is LOST: a batch submission
// can't be read at the end, a result that had been read doesn't come again.
func manyLarge(s *site) ([]string, error) {
	if err := startLarge(s, 96, 20*time.Millisecond); err != nil {
		return nil, err
	}
	t := &trainer{site: s, id: "7c41e09b52d6a3f8", total: manyItems, seen: map[int]string{}}
	if err := t.submit(0); err != nil {
		return nil, err
	}
	// The trainer and other consumers read about twice a second, each at a machine of its own.
	next := make([]int, len(s.nodes))
	end := time.Now().Add(40 * time.Second)
	for ; t.unread(next) == len(next) || t.unread(next) > 0 && time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, errors.New("the batch submission was not finished in 40 s")
		}
		if t.unread(next) < len(next) {
			end = earlier(end, time.Now().Add(8*time.Second)) // the trainer has read all
		}
		for i, n := range s.nodes {
			for next[i] < t.total {
				got, err := t.readPage(n, next[i])
				next[i] += got
				if err != nil || got < fullPage {
					break
				}
			}
		}
	}
	s.record("all results have been read, at %d of %d machines", len(next)-t.unread(next), len(next))
	if s.trouble {
		for _, n := range s.nodes {
			s.record("SIGKILL to %s", n.name)
			n.signal(syscall.SIGKILL)
		}
		for _, n := range s.nodes {
			<-n.exited
		}
		time.Sleep(time.Second)
		for _, n := range s.nodes {
			if err := n.start(); err != nil {
				return nil, err
			}
		}
		if err := s.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(14 * time.Second) // more than recovery_s and contact_ms: all machines are in touch again
	// After the end it is read from the start, again after each failure.
	after := 0
	for try := 0; try < 12 && after < t.total; try++ {
		n := s.nodes[try%len(s.nodes)]
		startedAt := time.Now()
		got, err := t.readPage(n, after)
		for err == nil && got > 0 && after+got < t.total {
			after += got
			got, err = t.readPage(n, after)
		}
		if err == nil {
			after += got
			continue
		}
		s.record("read at %s from %d fails after %.2f s: %v", n.name, after, time.Since(startedAt).Seconds(), err)
		time.Sleep(500 * time.Millisecond)
	}
	if after < t.total {
		t.breaches = append(t.breaches, fmt.Sprintf("LOST: of %d results that had been read, those from position %d on do not come again in 12 tries at %d machines", t.total, after, len(s.nodes)))
	}
	return t.breaches, nil
}

// unread returns at how many machines results remain to be read.
func (t *trainer) unread(next []int) int {
	machines := 0
	for _, n := range next {
		if n < t.total {
			machines++
		}
	}
	return machines
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
