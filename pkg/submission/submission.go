// Package submission stores and runs batch submissions: many requests that are sent at
// once, run later, and whose results are read by position. A submission and its results
// are kept in the platform's store. The instance that owns it runs its items, and any
// instance serves its results.
package submission

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Spec is a submission as its sender sent it.
type Spec struct {
	ID         string `json:"id"`
	Host       string `json:"host"`
	Path       string `json:"path"`
	Model      string `json:"model,omitempty"`
	Customer   string `json:"customer,omitempty"` // customer that the submission belongs to; empty for none
	MinVersion uint64 `json:"min_version"`        // oldest weight version that may produce its samples
	Step       int    `json:"step"`               // training step
	Desired    int    `json:"desired"`            // complete groups that the trainer waits for
	Items      []Item `json:"items"`
}

// Item is one request of a submission. Path and Header are sent to the engine
// unchanged.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Group  string            `json:"group,omitempty"` // items of a group share their prompt
	// Affinity identifies the prompt that the item shares with others; empty for none.
	Affinity string `json:"affinity,omitempty"`
	Scorer   *Call  `json:"scorer,omitempty"` // scores the item's text
	// Length is the sender's estimate of the text's length; 0 for none. It only orders
	// items, as it is often far off.
	Length int `json:"length,omitempty"`
	// Tokens is what the item takes up of an engine's memory; zero if unknown.
	Tokens upstream.TokenUse `json:"token_use,omitzero"`
}

// Call is a request to a plain service.
type Call struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// EstimatedLength returns the sum of the items' length estimates. An item without an
// estimate counts as 1.
func (s Spec) EstimatedLength() int {
	n := 0
	for _, it := range s.Items {
		n += max(it.Length, 1)
	}
	return n
}

// State is the outcome of an item.
type State string

// The outcomes of items.
const (
	Done State = "done" // the text is complete, and scored if the item has a scorer
	Dead State = "dead" // the item was given up
)

// Result is the final result of an item.
type Result struct {
	Item     string   `json:"item"` // ID of the item
	State    State    `json:"state"`
	Output   string   `json:"output,omitempty"` // data of the text's events, one per line
	Versions []uint64 `json:"versions,omitempty"`
	Score    string   `json:"score,omitempty"`
}

// Digest returns a short digest of all of r, by which logs tell whether two results of an
// item are the same.
func (r Result) Digest() string {
	h := sha256.New()
	var buf []byte
	for _, s := range []string{r.Item, string(r.State), r.Output, r.Score} {
		buf = binary.AppendUvarint(buf[:0], uint64(len(s))) // makes the boundaries of the fields part of the digest
		h.Write(buf)
		_, _ = io.WriteString(h, s) // a hash returns no error
	}
	for _, v := range r.Versions {
		h.Write(binary.AppendUvarint(buf[:0], v))
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Digests formats results as their items and digests, for the log.
type Digests []Result

// String computes the digests, so that a line that is not logged costs none.
func (d Digests) String() string {
	var b strings.Builder
	for i, r := range d {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(r.Item + ":" + r.Digest())
	}
	return b.String()
}

// Head is the value of a submission's row. The row's version is the owner's fencing
// token: each change of owner, and the end of the submission, raises it, and results
// are written on condition that it has not changed.
type Head struct {
	ID              string    `json:"id"`
	Host            string    `json:"host"`
	Path            string    `json:"path"`
	Model           string    `json:"model,omitempty"`
	Customer        string    `json:"customer,omitempty"` // customer that the submission belongs to; empty for none
	MinVersion      uint64    `json:"min_version"`
	Step            int       `json:"step"`
	Total           int       `json:"total"` // number of items
	EstimatedLength int       `json:"work"`  // see Spec.EstimatedLength
	AcceptedAt      time.Time `json:"accepted_at"`
	Owner           string    `json:"owner"`   // instance that runs it, or is to; empty if the owner gave it up
	Claimed         bool      `json:"claimed"` // the owner has started to run it
	// ProgressToken is the fencing token under which an earlier owner stored partial
	// texts; 0 if there is none. Those of the owner itself, under its own token, are newer.
	ProgressToken uint64 `json:"progress,omitempty"`
	Ended         bool   `json:"ended"`    // ended by its sender; requests in flight are cancelled
	Complete      bool   `json:"complete"` // every result is written
}

// BelongsTo reports whether a customer may read and end the submission. A submission
// without a customer is open to all callers, as its route is.
func (h Head) BelongsTo(customer string) bool { return h.Customer == "" || h.Customer == customer }

// Open reports whether items of the submission may still run.
func (h Head) Open() bool { return !h.Ended && !h.Complete }

// Errors of a Repository and of the callers that look items up.
var (
	ErrNotFound         = errors.New("submission: no such submission")
	ErrStoreUnavailable = errors.New("submission: store unavailable")
	ErrItemNotFound     = errors.New("submission: no such item")
)

// ErrTextTooLong is wrapped by the error of a Stream whose engine sent more than the request
// allows.
var ErrTextTooLong = errors.New("submission: text is longer than the request allows")

// VersionMismatchError is a forward.ErrNotRun: the engine holds another weight version than the
// request asked for.
type VersionMismatchError struct {
	Held uint64 // version that the engine holds; 0 if it did not say
}

func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("%v: the engine holds another weight version", forward.ErrNotRun)
}

// Unwrap returns forward.ErrNotRun.
func (e *VersionMismatchError) Unwrap() error { return forward.ErrNotRun }

// Tables of submissions in the platform's store, and the prefix of their objects.
const (
	HeadsTable   = "submissions"
	ResultsTable = "results"
	objectPrefix = "submission-"
)

// specName is the name of the object that holds a customer's submission. It depends on
// the customer, so that submissions of different customers with the same ID do not
// overwrite each other.
func specName(id, customer string) string {
	name := objectPrefix + id
	if customer == "" {
		return name
	}
	sum := sha256.Sum256([]byte(customer))
	return name + "-of-" + hex.EncodeToString(sum[:8])
}

// idDigest returns a digest of a submission's ID for names of objects. Senders choose IDs, so
// one may begin with another, or with the prefix of other objects.
func idDigest(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:8])
}

// partitions is the number of store partitions that submissions are spread over. One
// takes 200 transactions a second, and a submission makes about ten; reading all heads
// takes one call per partition.
const partitions = 8

func partition(id string) string {
	h := fnv.New32a()
	h.Write([]byte(id))
	return strconv.Itoa(int(h.Sum32() % partitions))
}

func headKey(id string) string { return HeadsTable + "/" + partition(id) + "/" + id }

// IDFromKey returns the ID of the submission whose head has the given key.
func IDFromKey(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

func resultsPrefix(id string) string { return ResultsTable + "/" + partition(id) + "/" + id + "/" }

// positionDigits is the width of positions in keys, enough for the items of any
// submission.
const positionDigits = 6

func resultKey(id string, position int) string {
	p := strconv.Itoa(position)
	for len(p) < positionDigits {
		p = "0" + p
	}
	return resultsPrefix(id) + p
}

// Event is one event of a generated text.
type Event struct {
	ID      int
	Data    string
	Version uint64 // weight version from this event on; 0 if it has not changed
}

// Stream is a generated text while the engine sends it.
type Stream interface {
	// Next returns the next event, io.EOF after the end of the text, or an error if the
	// stream broke off.
	Next() (Event, error)
	// Version returns the weight version at the start of the stream, 0 if it is not
	// known.
	Version() uint64
	// Last returns the ID of the last event that Next returned, or that of the event
	// after which the request asked to continue.
	Last() int
	Close()
}

// GenerateRequest asks an engine for the text of an item.
type GenerateRequest struct {
	ID     string
	Host   string
	Path   string
	Header map[string]string
	Body   []byte
	After  int // continue after the event with this ID; 0 for the whole text
	// Version is the weight version that the engine must hold; 0 for any.
	Version  uint64
	Customer string
	Priority option.Of[int] // as in forward.Request
}

// content returns what identifies g, a request for a text of model, in each of its
// attempts.
func (g GenerateRequest) content(model string) quarantine.Content {
	return quarantine.Content{Method: http.MethodPost, Host: g.Host, URI: g.Path, Model: model, Body: g.Body}
}

// StatusError is an engine's response that is not a text.
type StatusError struct {
	Status int
	Load   *upstream.Load
}

func (e *StatusError) Error() string {
	return "submission: engine answered " + strconv.Itoa(e.Status) + " " + http.StatusText(e.Status)
}

// Generator requests texts from engines. Its errors are those of forward.Transport, or
// a *StatusError.
type Generator interface {
	Generate(ctx context.Context, to upstream.Entry, g GenerateRequest) (Stream, *upstream.Load, error)
}
