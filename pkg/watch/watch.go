// Package watch has an instance follow tables of the platform's store: by itself, as in
// a small site, or through a relay, an instance that follows them for others of its data
// centre. What all instances of a large site read is nearly the same, most of it
// heartbeats and renewals that tell nothing new: through relays each is told what
// changes, and the store is read by a few.
//
// A relay keeps nothing that must last: it is a watch cache of tables. Relays hold slots,
// rows of the store that tell where they are. An instance that finds none of use takes a
// slot itself, larger instances before smaller ones.
package watch

import (
	"context"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

const (
	// lifeSign is how often a relay tells its watchers that it lives, at least.
	lifeSign = 200 * time.Millisecond
	// silence is how long a relay may tell nothing until its watchers leave it.
	silence = 3 * lifeSign
	// versionSigns is how many signs of life pass until one tells versions, from which
	// a watcher goes on elsewhere.
	versionSigns = 10
	// newsPause is the least time between two messages of changes to one watcher, so
	// that changes in quick succession are told together. Those of urgent tables do not
	// wait for it.
	newsPause = 100 * time.Millisecond
	// lostAfter is how long a relay may go without an answer of the store until it
	// tells that it has lost it: a store that is sixty times slower than usual answers
	// in 0.25 s, and one that is about to forget its history is silent for a second.
	lostAfter = 1500 * time.Millisecond
	// lostPatience is how long a relay may have lost the store until its watchers look
	// whether another has it.
	lostPatience = 700 * time.Millisecond
	// relayWait is how long the store holds a relay's calls: a relay knows that old
	// that what it tells is new.
	relayWait = 250 * time.Millisecond

	// raceStep is how long after one relay the next is tried, while none has answered:
	// several times the way there and back, so that one that has gone costs little.
	raceStep = 120 * time.Millisecond
	// raceTime bounds the search for a relay: one that has just begun reads the
	// tables first.
	raceTime = 2 * time.Second
	// quickRaceTime is raceTime for an instance that knows the tables: to read on from the
	// store costs little, and its knowledge grows old meanwhile.
	quickRaceTime = 800 * time.Millisecond
	// versionsTime is how long a relay waits to have read what a new watcher knows, two
	// of its calls, and versionsPause how often it looks.
	versionsTime  = 2 * relayWait
	versionsPause = 20 * time.Millisecond
	// avoidTime is how long a relay is not tried that was full, or has just been left.
	avoidTime = 3 * time.Second

	// checkPause is how often an instance that watches a relay looks whether it is to be
	// one itself, or whether another is better, and a relay whether it still is one.
	checkPause = time.Second
	// lookPause is about how often an instance looks for a relay where it has none.
	lookPause = time.Second
	// patience is how long an instance of a large site waits for a relay until it reads
	// the tables itself: others take slots within a second or two.
	patience = 5 * time.Second
	// claimDelay is how long an instance with one core waits before it takes a slot
	// that is free, and smaller ones longer, so that large instances relay.
	claimDelay = 300 * time.Millisecond
	// watchersPerCore is how many watchers a relay has for each of its cores.
	watchersPerCore = 120
	// storeTime bounds what is tried at the store for one purpose.
	storeTime = 2 * time.Second
)

// TableConfig tells how one table is followed.
type TableConfig struct {
	Name string
	// Prefixes, Wait and Pause are those of a feed.Follower that reads it.
	Prefixes []string
	Wait     time.Duration
	Pause    func() time.Duration
	// RelayPause replaces Pause while this instance is a relay.
	RelayPause time.Duration
	// Digest is that of a watchcache.Config.
	Digest func(platform.Row) uint64
	// Urgent means that changes are passed on at once.
	Urgent bool
	// Derived means that a relay passes on what SetDerived was given instead of the
	// rows that it read. Who watches it is told all of it by each relay anew.
	Derived bool
}

// Dial opens a link to the relay at address.
type Dial func(ctx context.Context, address string) (Link, error)

// Link is a connection to a relay.
type Link interface {
	// Watch opens a watch of tables.
	Watch(tables []peer.WatchedTable) (Stream, error)
	// Close ends the watches of the link.
	Close()
}

// Stream is a watch that is open.
type Stream interface {
	// Next returns the next news, which come within a time if the relay lives.
	Next(within time.Duration) (peer.WatchUpdate, error)
	Close()
}

// DialPeer is the Dial of links to peers.
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
	StartID    string  // identifies the start of this instance
	DataCentre string  // that it is in
	Address    string  // where other instances connect; empty if it cannot be a relay
	Cores      float64 // processor cores that it has
	Store      platform.Store
	Dial       Dial // nil for following the store only
	Tables     []TableConfig
	// UseRelays reports whether the tables are so large that they are not to be read by
	// each instance.
	UseRelays func() bool
	// Live reports whether the instance with a start is there; known is false while
	// that cannot be told.
	Live func(start string) (live, known bool)
	// OnUpdate is given what is learned of each table, in order.
	OnUpdate func(context.Context, feed.Update)
	// Go starts a goroutine of the instance's group.
	Go func(func() error)
	// Rand returns a number drawn evenly from [0, 1).
	Rand func() float64
	// OnEvent is told of each change of the source, and of errors; nil for nobody.
	OnEvent func(Event)
}

// Kind is what an instance follows tables by.
type Kind string

// The kinds of sources.
const (
	None      Kind = "none" // it looks for one
	FromStore Kind = "store"
	FromRelay Kind = "relay"
	// AsRelay is FromStore for an instance that relays.
	AsRelay Kind = "store, for others"
)

// Source is what an instance follows tables by.
type Source struct {
	Kind  Kind
	Relay string // address of a FromRelay's relay
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
	// Downtime is how long there was none.
	Downtime time.Duration
	// Err is of a slot that was not taken, or a row that cannot be read.
	Err error
}
