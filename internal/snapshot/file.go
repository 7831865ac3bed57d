package snapshot

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// format identifies the file format and its version.
const format = "zinnialadder-snapshot-1"

// ErrFormat is returned for a file that is not a snapshot, or a truncated one.
var ErrFormat = errors.New("snapshot: malformed or truncated snapshot file")

// header is the first line of a file. Each further line is a row or an object, all
// rows first.
type header struct {
	Format  string    `json:"format"`
	TakenAt time.Time `json:"taken_at"`
	Version uint64    `json:"version"`
	Rows    int       `json:"rows"`
	Objects int       `json:"objects"`
	Later   []string  `json:"later,omitempty"`
}

// Write writes s as lines of JSON. An error is one of w.
func (s Snapshot) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	if err := enc.Encode(header{format, s.TakenAt, s.Version, len(s.Rows), len(s.Objects), s.ChangedSince}); err != nil {
		return err
	}
	for _, r := range s.Rows {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	for _, o := range s.Objects {
		if err := enc.Encode(o); err != nil {
			return err
		}
	}
	return b.Flush()
}

// Read reads a snapshot that Write wrote. An error is ErrFormat, with what could not
// be decoded.
func Read(r io.Reader) (Snapshot, error) {
	dec := json.NewDecoder(r)
	var h header
	if err := dec.Decode(&h); err != nil || h.Format != format {
		return Snapshot{}, fmt.Errorf("%w: first line is not a header of format %q", ErrFormat, format)
	}
	s := Snapshot{TakenAt: h.TakenAt, Version: h.Version, ChangedSince: h.Later}
	for i := range h.Rows {
		var row Row
		if err := dec.Decode(&row); err != nil {
			return Snapshot{}, fmt.Errorf("%w: row %d of %d: %w", ErrFormat, i+1, h.Rows, err)
		}
		s.Rows = append(s.Rows, row)
	}
	for i := range h.Objects {
		var o Object
		if err := dec.Decode(&o); err != nil {
			return Snapshot{}, fmt.Errorf("%w: object %d of %d: %w", ErrFormat, i+1, h.Objects, err)
		}
		s.Objects = append(s.Objects, o)
	}
	return s, nil
}
