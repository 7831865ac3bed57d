// Package watch makes an instance follow tables of the platform's store, either by
// reading the store itself, as in a small site, or through a relay, an instance that
// reads the tables on behalf of others in its data centre. All instances of a large site
// read nearly the same rows, and most of these are heartbeats and renewals without new
// content. With relays, a few instances read the store and send the others only what
// changes.
//
// A relay holds no durable state: it caches tables (see package watchcache). Relays
// occupy slots, rows of the store that give their addresses. An instance that finds no
// usable relay claims a slot itself, larger instances before smaller ones.
package watch

import (
	"context"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

const (
	// heartbeatInterval is the longest time between two messages of a relay to a watcher.
	heartbeatInterval = 200 * time.Millisecond
	// silenceTimeout is the time without a message after which a watcher leaves its
	// relay.
	silenceTimeout = 3 * heartbeatInterval
	// Every versionInterval-th message contains the versions of all tables, from which a
	// watcher continues at another source.
	versionInterval = 10
	// updatePause is the least time between two messages of changes to one watcher, so
	// that changes in quick succession are sent together. Changes of urgent tables are
	// sent without it.
	updatePause = 100 * time.Millisecond
	// unavailableAfter is the time without an answer of the store after which a relay
	// reports the store unavailable: a store that is sixty times slower than usual
	// answers in 0.25 s, and one that is about to drop its change history is silent for a
	// second.
	unavailableAfter = 1500 * time.Millisecond
	// unavailableGrace is how long a relay may be without the store before its watchers
	// look for another one that has it.
	unavailableGrace = 700 * time.Millisecond
	// relayWait is how long the store may hold a relay's call while there are no changes.
	// After that time, a relay knows that its tables are up to date.
	relayWait = 250 * time.Millisecond

	// connectStep is the time between two connects of a search while none has answered:
	// several round trips, so that a relay that is gone costs little.
	connectStep = 120 * time.Millisecond
	// searchTimeout bounds a search for a relay, and the wait for a relay's first answer:
	// a relay that has just started reads the tables first.
	searchTimeout = 2 * time.Second
	// shortSearchTimeout is the searchTimeout of an instance that knows the tables:
	// continuing from the store costs little, and what it knows becomes outdated
	// meanwhile.
	shortSearchTimeout = 800 * time.Millisecond
	// catchUpTimeout is how long a relay waits for its own reading to reach the versions
	// that a new watcher knows, two calls of the store; catchUpPoll is how often it
	// checks.
	catchUpTimeout = 2 * relayWait
	catchUpPoll    = 20 * time.Millisecond
	// avoidPeriod is how long a relay is left out of searches after it was full or was
	// left.
	avoidPeriod = 3 * time.Second

	// checkPeriod is how often a watching instance checks whether it should become a
	// relay or another relay is better, and how often a relay checks that it still has
	// its slot.
	checkPeriod = time.Second
	// searchPeriod is the mean time between two searches of an instance without a relay.
	searchPeriod = time.Second
	// storeFallbackDelay is how long an instance of a large site looks for a relay before
	// it reads the tables from the store itself: free slots are claimed within a second
	// or two.
	storeFallbackDelay = 5 * time.Second
	// claimDelay is how long an instance with one core waits before it claims a free
	// slot. The delay is inversely proportional to the cores, so that large instances
	// become relays.
	claimDelay = 300 * time.Millisecond
	// watchersPerCore is the maximum number of watchers of a relay for each of its cores.
	watchersPerCore = 120
	// storeTimeout bounds a single read or write of Table.
	storeTimeout = 2 * time.Second
)

// TableConfig configures how one table is followed.
type TableConfig struct {
	Name string
	// Prefixes, Wait and Pause are those of the feed.Follower that reads the table.
	Prefixes []string
	Wait     time.Duration
	Pause    func() time.Duration
	// RelayPause replaces Pause while this instance is a relay.
	RelayPause time.Duration
	// Digest is the Digest of the table's watchcache.Config.
	Digest func(platform.Row) uint64
	// Urgent means that a relay sends changes of the table without delay.
	Urgent bool
	// Derived means that a relay passes on the rows given to SetDerived instead of those
	// that it read. Each relay sends a new watcher the whole table.
	Derived bool
}

// Dial opens a link to the relay at address.
type Dial func(ctx context.Context, address string) (Link, error)

// Link is a connection to a relay.
type Link interface {
	// Watch opens a watch of tables.
	Watch(tables []peer.WatchedTable) (Stream, error)
	// Close closes the link and ends its watches.
	Close()
}

// Stream is an open watch.
type Stream interface {
	// Next returns the next update. It fails if none arrives within the given time: a
	// live relay sends one at least every heartbeatInterval.
	Next(within time.Duration) (peer.WatchUpdate, error)
	Close()
}

// DialPeer is a Dial that connects to peers.
func DialPeer(ctx context.Context, address string) (Link, error) {
	l, err := peer.DialLink(ctx, address)
	if err != nil {
		return nil, err
	}
	return peerLink{l}, nil
}

type peerLink struct{ *peer.Link }

func (l peerLink) Watch(tables []peer.WatchedTable) (Stream, error) {
	w, err := l.Link.Watch(tables)
	if err != nil {
		return nil, err
	}
	return w, nil
}

// Config configures a Follower.
type Config struct {
	StartID    string  // ID of this start of the instance
	DataCentre string  // data centre of this instance
	Address    string  // address that other instances connect to; empty if this instance cannot be a relay
	Cores      float64 // processor cores of this instance
	Store      platform.Store
	Dial       Dial // nil to read the store only
	Tables     []TableConfig
	// UseRelays reports whether the tables are too large for each instance to read them
	// from the store.
	UseRelays func() bool
	// Live reports whether the instance with a start ID is live; known is false while
	// that cannot be determined.
	Live func(start string) (live, known bool)
	// OnUpdate is called with each update of a table, in order.
	OnUpdate func(context.Context, feed.Update)
	// Go starts a goroutine of the instance's group.
	Go func(func() error)
	// Rand returns a random number, uniformly distributed over [0, 1).
	Rand func() float64
	// OnEvent is called with each change of the source and each error; it may be nil.
	OnEvent func(Event)
}

// Kind is the kind of a Source.
type Kind string

// The kinds of sources.
const (
	None      Kind = "none" // no source: the instance is looking for one
	FromStore Kind = "store"
	FromRelay Kind = "relay"
	// AsRelay is FromStore of an instance that is a relay.
	AsRelay Kind = "store, for others"
)

// Source is where an instance gets the tables from.
type Source struct {
	Kind  Kind
	Relay string // address of the relay if Kind is FromRelay
}

func (s Source) String() string {
	if s.Kind == FromRelay {
		return s.Relay
	}
	return string(s.Kind)
}

// Event is a change of the source, or an error.
type Event struct {
	Source Source
	Reason string
	// Downtime is how long there was no source before this one.
	Downtime time.Duration
	// Err is the error of a failed claim of a slot or of a malformed row.
	Err error
}
