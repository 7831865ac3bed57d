// Package platform is a client for the platform's transactional table and object store.
// They hold all state that instances share or must not lose: the catalogue, leases,
// membership, claims and delivery records.
//
// The protocol is HTTP with JSON bodies:
//
//	GET  /v1/rows/{key}         one Row, or 404
//	GET  /v1/rows?prefix=P      every Row whose key starts with P, or the first N
//	                            of them with &limit=N
//	POST /v1/commit             a Txn; all of its Ops are applied, or none (409)
//	PUT  /v1/objects/{name}     store an object
//	GET  /v1/objects/{name}     read an object, or 404
//	DELETE /v1/objects/{name}   delete an object, if there is one
//	GET  /v1/instances?since=N  InstanceChanges of the instance list, which lags
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Row is one row of the table. Version is the table-wide commit sequence number at the
// row's last write. It only grows, so it serves as the fencing token of a lease that is
// kept in the row.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Op is a conditional write of a Txn. It applies only if the row's current version
// equals ExpectVersion; zero means that the row must not exist. With CheckOnly set, the
// condition must hold and nothing is written.
type Op struct {
	Key           string          `json:"key"`
	ExpectVersion uint64          `json:"expect_version"`
	Value         json.RawMessage `json:"value,omitempty"`
	Delete        bool            `json:"delete,omitempty"`
	CheckOnly     bool            `json:"check_only,omitempty"`
}

// Txn is a set of Ops that are committed together or not at all.
type Txn struct {
	Ops []Op `json:"ops"`
}

// TxnResult holds the rows written by a committed Txn, in the order of its Ops.
type TxnResult struct {
	Rows []Row `json:"rows"`
}

// Conflict is the response to a Txn with a failed condition: the key whose version
// differed and its current row, with version zero if there is none.
type Conflict struct {
	Key     string `json:"key"`
	Current Row    `json:"current"`
}

// ScanResult is the response to a Scan.
type ScanResult struct {
	Rows []Row `json:"rows"`
}

// ErrNotFound is returned for a row or object that does not exist.
var ErrNotFound = errors.New("platform: not found")

// ErrUnavailable is returned when the platform could not be reached or responded that
// it is unavailable. A write that returned it may have been committed.
var ErrUnavailable = errors.New("platform: unavailable")

// ConflictError is returned by Commit when a condition failed. Nothing of the Txn was
// written.
type ConflictError struct {
	Conflict
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict on %q (now at version %d)", e.Key, e.Current.Version)
}

// Check returns an Op that writes nothing and lets its Txn commit only if the row under
// key has version expect, or does not exist if expect is zero.
func Check(key string, expect uint64) Op {
	return Op{Key: key, ExpectVersion: expect, CheckOnly: true}
}

// Delete returns an Op that deletes the row under key if it has version expect.
func Delete(key string, expect uint64) Op {
	return Op{Key: key, ExpectVersion: expect, Delete: true}
}

// Put returns an Op that writes v as JSON under key if the row has version expect, or
// does not exist if expect is zero.
func Put(key string, expect uint64, v any) (Op, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Op{}, fmt.Errorf("platform: encode %q: %w", key, err)
	}
	return Op{Key: key, ExpectVersion: expect, Value: b}, nil
}
