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

// Tables of usage in the platform's store.
const (
	// TalliesTable has a row for each start of an instance and window. Each window is a
	// partition.
	TalliesTable = "usage"
	// ReportsTable has a row for each finalized window.
	ReportsTable = "usage_reports"
)

// Store is the part of the platform's store that a Ledger needs.
type Store interface {
	platform.Table
	platform.Scanner
}

// Ledger reads and writes tallies and reports in the store. Its errors are those of the
// store, or decode errors.
type Ledger struct{ Store Store }

// Report is the usage report of a window. Its counts never change.
type Report struct {
	Window      Window    `json:"window"`
	Counts      Counts    `json:"counts"`
	FinalizedAt time.Time `json:"fixed_at"`
	FinalizedBy string    `json:"fixed_by"` // start ID of the instance
	Tallies     int       `json:"tallies"`  // rows that the counts were added up from
	// SentAt is when the report was accepted; zero if that is not known.
	SentAt time.Time `json:"sent_at,omitzero"`

	Version uint64 `json:"-"` // of the report's row
}

func tallyPrefix(w Window) string { return TalliesTable + "/" + strconv.FormatInt(int64(w), 10) + "/" }

// ReportsPrefix is the key prefix of reports. Their keys are in order of window.
func ReportsPrefix() string { return ReportsTable + "//" }

func reportKey(w Window) string { return fmt.Sprintf("%s%015d", ReportsPrefix(), w) }

// scanRows is how many rows are read in one call.
const scanRows = 500

// WriteTally writes what an instance has counted in a window since the start startID.
// It returns the row's version, and whether the row holds t: after a conflict it may
// hold an earlier state of the tally, to be overwritten by the next call with the
// version returned.
func (l Ledger) WriteTally(ctx context.Context, startID string, t Tally) (version uint64, current bool, err error) {
	op, err := platform.Put(tallyPrefix(t.Window)+startID, t.Version, t.Counts)
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

// Sum is the total of a window over all tallies in the store.
type Sum struct {
	Counts Counts
	Rows   []platform.Row // the tallies
}

// Sum adds up the stored tallies of w.
func (l Ledger) Sum(ctx context.Context, w Window) (Sum, error) {
	rows, err := l.scan(ctx, tallyPrefix(w))
	if err != nil {
		return Sum{}, err
	}
	sum := Sum{Counts: Counts{}, Rows: rows}
	for _, row := range rows {
		var c Counts
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return Sum{}, fmt.Errorf("usage: decode tally %s: %w", row.Key, err)
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

// Finalize stores the report of a window unless one is stored already. It returns the
// stored one.
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

// MarkSent stores that a report was accepted at the given time.
func (l Ledger) MarkSent(ctx context.Context, r Report, at time.Time) error {
	r.SentAt = at
	op, err := platform.Put(reportKey(r.Window), r.Version, r)
	if err != nil {
		return err
	}
	_, err = l.Store.Commit(ctx, op)
	var ce *platform.ConflictError
	if errors.As(err, &ce) {
		return nil // another lease holder has sent the report too and stored that
	}
	return err
}

// DecodeReport decodes a Report from its row.
func DecodeReport(row platform.Row) (Report, error) {
	var r Report
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Report{}, fmt.Errorf("usage: decode report %s: %w", row.Key, err)
	}
	if r.Counts == nil {
		r.Counts = Counts{}
	}
	r.Version = row.Version
	return r, nil
}

// Reports returns all stored reports, oldest window first.
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

// maxDeletes is how many rows one transaction deletes.
const maxDeletes = 100

// DeleteTallies deletes the tallies of a window that has been reported. If one of them
// was written again meanwhile, the rows of its transaction stay, as evidence of counts
// that came too late.
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

func (l Ledger) DeleteReports(ctx context.Context, reports []Report) error {
	rows := make([]platform.Row, len(reports))
	for i, r := range reports {
		rows[i] = platform.Row{Key: reportKey(r.Window), Version: r.Version}
	}
	return l.DeleteTallies(ctx, rows)
}
