package carryover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Store keeps the last recordsPerKey Records of each Key: in memory, and in the object
// store for the next owner of the key's submissions. It is safe for concurrent use.
type Store struct {
	// Objects is the object store.
	Objects platform.Objects
	// Limit is the memory that the records may take, in bytes. The oldest are evicted
	// first.
	Limit int

	mu      sync.Mutex
	records []Record // oldest first
	size    int
}

// ErrMalformed is returned for an object that does not hold the Record of its Key.
var ErrMalformed = errors.New("carryover: malformed object")

// recordsPerKey is how many records are kept of each Key. A sender may submit a step
// while the one before is open, and then submits what is left of a step again two steps
// later.
const recordsPerKey = 2

// Put adds a record in memory. It supersedes the texts of its items in earlier records. A
// record that exceeds the limit loses its last texts.
func (s *Store) Put(rec Record) {
	rec = rec.truncated(s.Limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(rec.Key, rec.Items, func(r Record) bool { return r.Submission == rec.Submission })
	s.records = append(s.records, rec)
	s.size += rec.size()
	if s.count(rec.Key) > recordsPerKey {
		s.remove(s.index(rec.Key))
	}
	for s.size > s.Limit && len(s.records) > 1 {
		s.remove(0)
	}
}

// Complete removes the texts of items from the records of k in memory, because a
// submission with these items is complete.
func (s *Store) Complete(k Key, items []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(k, items, func(Record) bool { return false })
}

// prune removes the texts of items from the records of k, and the records that match
// removed.
func (s *Store) prune(k Key, items []string, removed func(Record) bool) {
	isItem := make(map[string]bool, len(items))
	for _, id := range items {
		isItem[id] = true
	}
	s.records = slices.DeleteFunc(s.records, func(r Record) bool { return r.Key == k && removed(r) })
	for i, r := range s.records {
		if r.Key == k {
			// Records that Get has returned share the texts.
			s.records[i].Texts = slices.DeleteFunc(slices.Clone(r.Texts), func(t Text) bool { return isItem[t.Item] })
		}
	}
	s.size = 0
	for _, r := range s.records {
		s.size += r.size()
	}
}

// Get returns the records of k that are in memory as one, of the submission that ended
// last.
func (s *Store) Get(k Key) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out Record
	for _, r := range s.records {
		if r.Key == k {
			r.Items, r.Texts = slices.Concat(out.Items, r.Items), slices.Concat(out.Texts, r.Texts)
			out = r
		}
	}
	return out, out.Submission != ""
}

// Remove removes the records of k from memory.
func (s *Store) Remove(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := s.index(k); i >= 0; i = s.index(k) {
		s.remove(i)
	}
}

func (s *Store) remove(i int) {
	s.size -= s.records[i].size()
	s.records = slices.Delete(s.records, i, i+1)
}

func (s *Store) count(k Key) int {
	n := 0
	for _, r := range s.records {
		if r.Key == k {
			n++
		}
	}
	return n
}

func (s *Store) index(k Key) int {
	return slices.IndexFunc(s.records, func(r Record) bool { return r.Key == k })
}

// Save writes the records of k that are in memory to the object store, as one and without
// the texts that next does not allow. It reports false if no text is left.
func (s *Store) Save(ctx context.Context, k Key, next Requirements) (bool, error) {
	rec, _ := s.Get(k)
	if rec.Texts = next.Allowed(rec.Texts); len(rec.Texts) == 0 {
		return false, nil
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return false, fmt.Errorf("carryover: %w", err)
	}
	if err := s.Objects.PutObject(ctx, k.ObjectName(), data); err != nil {
		return false, err
	}
	return true, nil
}

// Load reads what Save has written of k from the object store. It returns platform.ErrNotFound if
// there is none, and ErrMalformed if the object does not hold a valid record of k.
func (s *Store) Load(ctx context.Context, k Key) (Record, error) {
	data, err := s.Objects.GetObject(ctx, k.ObjectName())
	if err != nil {
		return Record{}, err
	}
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if rec.Key != k {
		return Record{}, fmt.Errorf("%w: it is of other submissions", ErrMalformed)
	}
	for _, t := range rec.Texts {
		if !t.valid() {
			return Record{}, fmt.Errorf("%w: text of item %q", ErrMalformed, t.Item)
		}
	}
	return rec, nil
}

// Delete deletes the records of k from memory and from the object store.
func (s *Store) Delete(ctx context.Context, k Key) error {
	s.Remove(k)
	return s.Objects.DeleteObject(ctx, k.ObjectName())
}
