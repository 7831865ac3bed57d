package enginetest

import (
	"container/heap"
	"container/list"
	"sync"
)

// slots assigns a fixed number of batch slots to streams: highest priority first, and
// in order of arrival within a priority.
type slots struct {
	mu    sync.Mutex
	free  int
	queue waiters
	seq   uint64
}

type waiter struct {
	priority int
	seq      uint64
	ready    chan struct{}
	index    int
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].seq < w[j].seq
}
func (w waiters) Swap(i, j int) { w[i], w[j] = w[j], w[i]; w[i].index = i; w[j].index = j }
func (w *waiters) Push(x any)   { it := x.(*waiter); it.index = len(*w); *w = append(*w, it) }
func (w *waiters) Pop() any {
	old := *w
	it := old[len(old)-1]
	*w = old[:len(old)-1]
	it.index = -1
	return it
}

func newSlots(n int) *slots { return &slots{free: n} }

// acquire returns a channel that is closed when the caller holds a slot, and a function
// that ends the wait or releases the slot.
func (s *slots) acquire(priority int) (<-chan struct{}, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	w := &waiter{priority: priority, seq: s.seq, ready: make(chan struct{})}
	if s.free > 0 && len(s.queue) == 0 {
		s.free--
		close(w.ready)
	} else {
		heap.Push(&s.queue, w)
	}
	return w.ready, func() { s.release(w) }
}

func (s *slots) release(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 && w.index < len(s.queue) && s.queue[w.index] == w {
		heap.Remove(&s.queue, w.index) // still queued
		return
	}
	s.free++
	for s.free > 0 && len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(*waiter)
		s.free--
		close(next.ready)
	}
}

// prefixCache is an LRU set of prompt prefixes of limited size, like the prefix cache
// of an engine.
type prefixCache struct {
	mu     sync.Mutex
	size   int
	order  *list.List // most recently used first
	items  map[string]*list.Element
	hits   int64
	misses int64
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), items: map[string]*list.Element{}}
}

// lookup reports whether prefix is cached, and adds it.
func (c *prefixCache) lookup(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if el, ok := c.items[prefix]; ok {
		c.order.MoveToFront(el)
		c.hits++
		return true
	}
	c.misses++
	c.items[prefix] = c.order.PushFront(prefix)
	for c.order.Len() > c.size {
		old := c.order.Back()
		c.order.Remove(old)
		delete(c.items, old.Value.(string))
	}
	return false
}

func (c *prefixCache) counts() (hits, misses int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hits, c.misses
}
