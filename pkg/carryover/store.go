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

// Store keeps the last Record of each Key: in memory, and in the object store for the
// next owner of the key's submissions. It is safe for concurrent use.
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

// Put replaces the record of rec.Key in memory. A record that exceeds the limit loses
// its last texts.
func (s *Store) Put(rec Record) {
	rec = rec.truncated(s.Limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(rec.Key)
	s.records = append(s.records, rec)
	s.size += rec.size()
	for s.size > s.Limit && len(s.records) > 1 {
		s.remove(s.records[0].Key)
	}
}

// Get returns the record of k that is in memory.
func (s *Store) Get(k Key) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.index(k); i >= 0 {
		return s.records[i], true
	}
	return Record{}, false
}

// Remove removes the record of k from memory.
func (s *Store) Remove(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(k)
}

func (s *Store) remove(k Key) {
	if i := s.index(k); i >= 0 {
		s.size -= s.records[i].size()
		s.records = slices.Delete(s.records, i, i+1)
	}
}

func (s *Store) index(k Key) int {
	return slices.IndexFunc(s.records, func(r Record) bool { return r.Key == k })
}

// Save writes the record of k that is in memory to the object store. It reports false
// if there is none or it has no texts.
func (s *Store) Save(ctx context.Context, k Key) (bool, error) {
	rec, ok := s.Get(k)
	if !ok || len(rec.Texts) == 0 {
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

// Load reads the record of k from the object store. It returns platform.ErrNotFound if
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

// Delete deletes the record of k from memory and from the object store.
func (s *Store) Delete(ctx context.Context, k Key) error {
	s.Remove(k)
	return s.Objects.DeleteObject(ctx, k.ObjectName())
}
