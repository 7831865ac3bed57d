package usage

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Tables of the counts in the platform's store.
const (
	// TalliesTable has a row for each instance and window, a partition a window.
	TalliesTable = "usage"
	// ReportsTable has a row for each window whose counts are fixed.
	ReportsTable = "usage_reports"
)

// Store is the part of the platform's store that is needed.
type Store interface {
	platform.Table
	platform.Scanner
}

// Ledger keeps counts in the store.
type Ledger struct{ Store Store }

// Report is what is reported of a window. Its counts are never changed.
type Report struct {
	Window      Window    `json:"window"`
	Counts      Counts    `json:"counts"`
	FinalizedAt time.Time `json:"fixed_at"`
	FinalizedBy string    `json:"fixed_by"` // instance
	Tallies     int       `json:"tallies"`  // instances that had told counts
	// SentAt is when it was accepted; zero if that is not known.
	SentAt time.Time `json:"sent_at,omitzero"`

	Version uint64 `json:"-"` // of its row
}

func tallyPrefix(w Window) string { return TalliesTable + "/" + strconv.FormatInt(int64(w), 10) + "/" }

// ReportsPrefix covers the keys of reports, which are in order of window.
func ReportsPrefix() string { return ReportsTable + "//" }

func reportKey(w Window) string { return fmt.Sprintf("%s%015d", ReportsPrefix(), w) }

// scanRows is how many rows are read in one call.
const scanRows = 500

// WriteTally writes what an instance's start has counted in a window. It returns the
// version of the row and whether this holds the tally: after a conflict it may hold
// an earlier state, which is written over next.
func (l Ledger) WriteTally(ctx context.Context, start string, t Tally) (version uint64, holds bool, err error) {
	op, err := platform.Put(tallyPrefix(t.Window)+start, t.Version, t.Counts)
	if err != nil {
		return 0, false, err
	}
	rows, err := l.Store.Commit(ctx, op)
	var ce *platform.ConflictError
	if errors.As(err, &ce) {
		return ce.Current.Version, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	return rows[0].Version, true, nil
}

// Sum is the counts of a window by all instances that have told of it.
type Sum struct {
	Counts Counts
	Rows   []platform.Row // that tell them
}

// Sum adds up what has been told of w.
func (l Ledger) Sum(ctx context.Context, w Window) (Sum, error) {
	rows, err := l.scan(ctx, tallyPrefix(w))
	if err != nil {
		return Sum{}, err
	}
	sum := Sum{Counts: Counts{}, Rows: rows}
	for _, row := range rows {
		var c Counts
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return Sum{}, fmt.Errorf("usage: row %s: %w", row.Key, err)
		}
		sum.Counts.Add(c)
	}
	return sum, nil
}

func (l Ledger) scan(ctx context.Context, prefix string) ([]platform.Row, error) {
	var out []platform.Row
	from := ""
	for {
		page, err := l.Store.ScanFrom(ctx, prefix, from, scanRows)
		if err != nil {
			return nil, err
		}
		out = append(out, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return out, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// Finalize fixes the report of a window, unless it is fixed already. It returns the one
// that is.
func (l Ledger) Finalize(ctx context.Context, r Report) (Report, error) {
	op, err := platform.Put(reportKey(r.Window), 0, r)
	if err != nil {
		return Report{}, err
	}
	rows, err := l.Store.Commit(ctx, op)
	var ce *platform.ConflictError
	switch {
	case errors.As(err, &ce):
		return DecodeReport(ce.Current)
	case err != nil:
		return Report{}, err
	}
	r.Version = rows[0].Version
	return r, nil
}

// MarkSent writes down that a report was accepted at at.
func (l Ledger) MarkSent(ctx context.Context, r Report, at time.Time) error {
	r.SentAt = at
	op, err := platform.Put(reportKey(r.Window), r.Version, r)
	if err != nil {
		return err
	}
	_, err = l.Store.Commit(ctx, op)
	var ce *platform.ConflictError
	if errors.As(err, &ce) {
		return nil // another holder has sent it too, and written so
	}
	return err
}

// DecodeReport reads a Report from its row.
func DecodeReport(row platform.Row) (Report, error) {
	var r Report
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Report{}, fmt.Errorf("usage: row %s: %w", row.Key, err)
	}
	if r.Counts == nil {
		r.Counts = Counts{}
	}
	r.Version = row.Version
	return r, nil
}

// Reports returns the reports that the store holds, the oldest window first.
func (l Ledger) Reports(ctx context.Context) ([]Report, error) {
	rows, err := l.scan(ctx, ReportsPrefix())
	if err != nil {
		return nil, err
	}
	out := make([]Report, 0, len(rows))
	for _, row := range rows {
		r, err := DecodeReport(row)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Window, b.Window) })
	return out, nil
}

// maxDeletes is how many rows one call deletes.
const maxDeletes = 100

// DeleteTallies deletes the tallies of a window that has been reported. One that was written
// again meanwhile stays, with those of its call: it tells of counts that came too late.
func (l Ledger) DeleteTallies(ctx context.Context, rows []platform.Row) error {
	for chunk := range slices.Chunk(rows, maxDeletes) {
		ops := make([]platform.Op, len(chunk))
		for i, row := range chunk {
			ops[i] = platform.Op{Key: row.Key, ExpectVersion: row.Version, Delete: true}
		}
		var ce *platform.ConflictError
		if _, err := l.Store.Commit(ctx, ops...); err != nil && !errors.As(err, &ce) {
			return err
		}
	}
	return nil
}

// DeleteReports deletes reports.
func (l Ledger) DeleteReports(ctx context.Context, reports []Report) error {
	rows := make([]platform.Row, len(reports))
	for i, r := range reports {
		rows[i] = platform.Row{Key: reportKey(r.Window), Version: r.Version}
	}
	return l.DeleteTallies(ctx, rows)
}
