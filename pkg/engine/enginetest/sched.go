package enginetest

import (
	"container/heap"
	"container/list"
	"sync"
)

// slots hands a fixed number of batch slots to waiting streams, highest
// priority first and, within a priority, first come first served.
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

// acquire returns a channel that is closed when the caller holds a slot,
// and a function that gives up the wait (or the slot, once held).
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
		heap.Remove(&s.queue, w.index) // still waiting: leave the queue
		return
	}
	s.free++
	for s.free > 0 && len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(*waiter)
		s.free--
		close(next.ready)
	}
}

// prefixCache is a least-recently-used set of prompt prefixes of limited
// size, as an engine's prefix cache holds them in limited memory.
type prefixCache struct {
	mu    sync.Mutex
	size  int
	order *list.List // front: most recent
	items map[string]*list.Element
	hits  int64
	miss  int64
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), items: map[string]*list.Element{}}
}

// touch reports whether prefix was cached, and caches it.
func (c *prefixCache) touch(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if el, ok := c.items[prefix]; ok {
		c.order.MoveToFront(el)
		c.hits++
		return true
	}
	c.miss++
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
	return c.hits, c.miss
}
