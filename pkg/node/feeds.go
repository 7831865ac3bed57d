package node

import (
	"context"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/watch"
)

const (
	// configurationWait and the like are how long the store holds a call for
	// changes: a connection that has gone silent is found that late, and a
	// configuration must be in force within two seconds.
	configurationWait = 700 * time.Millisecond
	entriesWait       = time.Second
	membersWait       = time.Second
	headsWait         = 700 * time.Millisecond

	// entriesPause and the like bound the calls that changes cause: upstreams
	// and members each write about once a second. pausePerMember bounds those of
	// all instances together, to 250 a second for each table up to 250 members.
	// maxFeedPause bounds the pause, as the row of an owner lapses after 1.8 s: among
	// 450 members and more each owner would else be taken for gone again and again.
	entriesPause   = 150 * time.Millisecond
	membersPause   = 300 * time.Millisecond
	pausePerMember = 4 * time.Millisecond
	maxFeedPause   = time.Second

	// headsPause is that of an instance that owns submissions, whose ends it must
	// learn of soon, and of each in a small site. Others learn of what they are to
	// own headsPausePerMember later for each member, idleHeadsPause at the most,
	// which leaves them time to claim it before another does (claimPatience): among
	// 295 members a head changes some ten times a second, and each change would
	// have all of them ask the store.
	headsPause          = 40 * time.Millisecond
	headsPausePerMember = time.Millisecond
	idleHeadsPause      = 250 * time.Millisecond

	// relayPause is the least time between two reads of a table by an instance that
	// others follow it through: there are few of these.
	relayPause = 50 * time.Millisecond

	// crowdedRows is from how many rows on a table is not to be read by each instance:
	// more than the store answers at once.
	crowdedRows = 500
)

// newFollower returns what follows the tables that an instance knows its site by.
func newFollower(n *Node) *watch.Follower {
	d := n.cfg.Decoder
	return watch.New(watch.Config{
		StartID: n.start, DataCentre: n.cfg.DataCentre, Address: n.cfg.PeerAddress, Cores: n.cfg.Cores, Store: n.cfg.Store, Dial: n.cfg.Dial,
		Tables: []watch.TableConfig{
			{Name: d.OperatorTable, Prefixes: []string{d.OperatorTable + "//"}, Wait: configurationWait, Urgent: true},
			{Name: d.EntriesTable, Prefixes: []string{d.EntriesTable + "//"}, Wait: entriesWait, Pause: n.pause(entriesPause), RelayPause: relayPause, Digest: d.EntryDigest},
			{Name: membership.Table, Prefixes: []string{membership.Prefix()}, Wait: membersWait, Pause: n.pause(membersPause), RelayPause: relayPause, Derived: true},
			{Name: submission.HeadsTable, Prefixes: submission.HeadPrefixes(), Wait: headsWait, Pause: n.headsPause, RelayPause: headsPause},
		},
		UseRelays: func() bool { return max(n.upstreams.Load(), n.member.rows.Load()) > crowdedRows },
		Live: func(start string) (live, known bool) {
			st := n.standing.Load()
			return st != nil && st.roster.HasStartID(start), st != nil
		},
		OnUpdate: func(ctx context.Context, u feed.Update) { n.tell(ctx, u) },
		Go:       func(f func() error) { n.group.Go(f) },
		Rand:     draw,
		OnEvent:  n.observer.source,
	})
}

// pause returns the least time between two calls for a table that changes with
// the number of instances or upstreams.
func (n *Node) pause(least time.Duration) func() time.Duration {
	return func() time.Duration { return feedPause(least, int(n.member.rows.Load())) }
}

// feedPause is pause among the number of members given.
func feedPause(least time.Duration, members int) time.Duration {
	return max(least, min(time.Duration(members)*pausePerMember, maxFeedPause))
}

// headsPause returns the least time between two calls for what becomes of
// submissions.
func (n *Node) headsPause() time.Duration {
	if n.readers.owning() > 0 {
		return headsPause
	}
	idle := min(time.Duration(n.member.rows.Load())*headsPausePerMember, idleHeadsPause)
	return max(headsPause, idle)
}
