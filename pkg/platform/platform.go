// Package platform speaks to the platform's transactional table and object
// store, which hold everything zinnialadder must agree on or keep: the
// catalogue, leases, membership, claims and delivery records.
//
// The protocol is HTTP with JSON bodies:
//
//	GET  /v1/rows/{key}         one Row, or 404
//	GET  /v1/rows?prefix=P      Scan: every Row whose key starts with P, or
//	                            the first N of them with &limit=N
//	POST /v1/commit             a Txn; all its Ops apply or none (409)
//	PUT  /v1/objects/{name}     store an object
//	GET  /v1/objects/{name}     read an object, or 404
//	DELETE /v1/objects/{name}   remove an object, if there
//	GET  /v1/instances?since=N  InstanceChanges: the lagging instance list
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Row is one row of the table. Version is the table-wide commit sequence
// number at the row's last write: it only grows, so it serves as a fencing
// number for leases kept in the row.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Op is one conditional write of a Txn. It applies only if the row's
// current version equals ExpectVersion; zero means the row must not exist.
// With CheckOnly set, the condition must hold and nothing is written.
type Op struct {
	Key           string          `json:"key"`
	ExpectVersion uint64          `json:"expect_version"`
	Value         json.RawMessage `json:"value,omitempty"`
	Delete        bool            `json:"delete,omitempty"`
	CheckOnly     bool            `json:"check_only,omitempty"`
}

// Txn is a set of Ops that commit together or not at all.
type Txn struct {
	Ops []Op `json:"ops"`
}

// TxnResult holds the rows as written by a committed Txn, in Op order.
type TxnResult struct {
	Rows []Row `json:"rows"`
}

// Conflict is the answer to a Txn whose condition failed: the key whose
// version differed and the row as it stands (Version zero if absent).
type Conflict struct {
	Key     string `json:"key"`
	Current Row    `json:"current"`
}

// ScanResult is the answer to a Scan.
type ScanResult struct {
	Rows []Row `json:"rows"`
}

// ErrNotFound is returned for a row or object that does not exist.
var ErrNotFound = errors.New("platform: not found")

// ErrUnavailable is returned when the platform could not be reached or
// answered that it is down. A write that met it may still have committed.
var ErrUnavailable = errors.New("platform: unavailable")

// ConflictError is returned by Commit when a condition failed; nothing of
// the Txn was written.
type ConflictError struct {
	Conflict
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict on %q (now at version %d)", e.Key, e.Current.Version)
}

// Check returns an Op that writes nothing, and lets its Txn commit only if
// the row is at expect (zero: absent).
func Check(key string, expect uint64) Op {
	return Op{Key: key, ExpectVersion: expect, CheckOnly: true}
}

// Delete returns an Op that deletes the row under key if it is at expect.
func Delete(key string, expect uint64) Op {
	return Op{Key: key, ExpectVersion: expect, Delete: true}
}

// Put returns an Op that writes v as JSON under key if the row is at
// expect (zero: absent).
func Put(key string, expect uint64, v any) (Op, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Op{}, fmt.Errorf("platform: encode %q: %w", key, err)
	}
	return Op{Key: key, ExpectVersion: expect, Value: b}, nil
}
