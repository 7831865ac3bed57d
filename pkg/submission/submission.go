// Package submission keeps and runs batch submissions: many requests that are
// handed over at once, run later, and whose results are read by position. A
// submission and its results lie in the platform's store; the instance that
// owns it runs its items, and any instance serves its readers.
package submission

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Spec is a submission as its sender handed it over.
type Spec struct {
	ID         string `json:"id"`
	Host       string `json:"host"`
	Path       string `json:"path"`
	Model      string `json:"model,omitempty"`
	Customer   string `json:"customer,omitempty"` // whom it belongs to; empty for nobody
	MinVersion uint64 `json:"min_version"`        // oldest weight version that may make its samples
	Step       int    `json:"step"`               // of the trainer
	Desired    int    `json:"desired"`            // complete groups that the trainer waits for
	Items      []Item `json:"items"`
}

// Item is one request of a submission. Its path and header are sent as they are.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Group  string            `json:"group,omitempty"` // items of a group share their prompt
	// Affinity names the prompt that the item shares with others; empty for none.
	Affinity string `json:"affinity,omitempty"`
	Scorer   *Call  `json:"scorer,omitempty"` // scores the item's text
	// Length is its sender's estimate of how long its text will be; 0 for none.
	// It orders items and decides nothing else, as it is often far off.
	Length int `json:"length,omitempty"`
}

// Call is a request to a plain service.
type Call struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// EstimatedLength returns the estimated length of all texts of s, counting one for texts
// without an estimate.
func (s Spec) EstimatedLength() int {
	n := 0
	for _, it := range s.Items {
		n += max(it.Length, 1)
	}
	return n
}

// State is where an item's result stands.
type State string

// The states of results.
const (
	Done State = "done" // the whole text, scored if it has a scorer
	Dead State = "dead" // given up
)

// Result is the final result of an item.
type Result struct {
	Item     string   `json:"item"` // its ID
	State    State    `json:"state"`
	Output   string   `json:"output,omitempty"` // the data of its events, one a line
	Versions []uint64 `json:"versions,omitempty"`
	Score    string   `json:"score,omitempty"`
}

// Head is the row of a submission. Its row version fences its owner: each
// change of owner, and the submission's end, raises it, and results are only
// written by who knows it.
type Head struct {
	ID              string    `json:"id"`
	Host            string    `json:"host"`
	Path            string    `json:"path"`
	Model           string    `json:"model,omitempty"`
	Customer        string    `json:"customer,omitempty"` // whom it belongs to; empty for nobody
	MinVersion      uint64    `json:"min_version"`
	Step            int       `json:"step"`
	Total           int       `json:"total"` // items
	EstimatedLength int       `json:"work"`  // estimated length of all texts
	AcceptedAt      time.Time `json:"accepted_at"`
	Owner           string    `json:"owner"`   // instance that is to run it; empty if it gave it up
	Claimed         bool      `json:"claimed"` // the owner runs it
	// ProgressToken is the fencing token under which the last owner kept its
	// progress, where it gave the submission up.
	ProgressToken uint64 `json:"progress,omitempty"`
	Ended         bool   `json:"ended"`    // by its sender; what runs is cancelled
	Complete      bool   `json:"complete"` // every result is written
}

// BelongsTo reports whether a customer may read and end the submission. One that
// belongs to nobody is open to all, as its route is.
func (h Head) BelongsTo(customer string) bool { return h.Customer == "" || h.Customer == customer }

// Open reports whether items of the submission may still run.
func (h Head) Open() bool { return !h.Ended && !h.Complete }

// Errors of submissions.
var (
	ErrNotFound         = errors.New("submission: no such submission")
	ErrStoreUnavailable = errors.New("submission: the store cannot be asked")
	ErrItemNotFound     = errors.New("submission: no such item")
)

// ErrVersionMismatch is a forward.ErrNotRun: the engine's weights have another
// version than the request asked for.
var ErrVersionMismatch = fmt.Errorf("%w: the engine has another weight version", forward.ErrNotRun)

// Tables of submissions in the platform's store.
const (
	HeadsTable   = "submissions"
	ResultsTable = "results"
	objectPrefix = "submission-"
)

// specName is the name of the object that holds a customer's submission. Those of
// different customers with one ID are different objects, so that none replaces
// another's.
func specName(id, customer string) string {
	name := objectPrefix + id
	if customer == "" {
		return name
	}
	sum := sha256.Sum256([]byte(customer))
	return name + "-of-" + hex.EncodeToString(sum[:8])
}

// partitions is how many partitions submissions are spread over. One takes 200
// transactions a second, and a submission asks for about ten; a reader of all
// heads makes one call for each.
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

// positionDigits is enough for the items of any submission.
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

// Stream is the text of a generation as it is made.
type Stream interface {
	// Next returns the next event, io.EOF after the whole text, or an error if
	// the stream broke off.
	Next() (Event, error)
	// Version returns the weight version that the stream began under, or 0.
	Version() uint64
	// Last returns the last event that Next returned, or the one that the
	// generation went on after.
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
	After  int // go on after this event; 0 to begin
	// Version is the weight version that the engine must hold; 0 for any.
	Version  uint64
	Customer string
	Priority option.Of[int] // as in forward.Request
}

// content returns what identifies g, which asks for a text of a model, however often
// it is asked for.
func (g GenerateRequest) content(model string) quarantine.Content {
	return quarantine.Content{Method: http.MethodPost, Host: g.Host, URI: g.Path, Model: model, Body: g.Body}
}

// StatusError is an engine's answer that is not a text.
type StatusError struct {
	Status int
	Load   *upstream.Load
}

func (e *StatusError) Error() string {
	return "submission: engine answered " + strconv.Itoa(e.Status) + " " + http.StatusText(e.Status)
}

// Generator asks engines for texts. Its errors are those of forward.Transport,
// or a *StatusError.
type Generator interface {
	Generate(ctx context.Context, to upstream.Entry, g GenerateRequest) (Stream, *upstream.Load, error)
}
