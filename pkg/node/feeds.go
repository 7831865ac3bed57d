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
	// configurationWait, entriesWait, membersWait and headsWait are how long the store
	// holds a call that waits for changes. A dead connection is detected only after
	// that time, and a configuration must be in force within two seconds.
	configurationWait = 700 * time.Millisecond
	entriesWait       = time.Second
	membersWait       = time.Second
	headsWait         = 700 * time.Millisecond

	// entriesPause and membersPause limit the rate of calls that changes cause:
	// upstreams and members each write about once a second. pausePerMember limits the
	// calls of all instances together to 250 a second for each table, up to 250
	// members.
	//
	// maxFeedPause limits the pause, because the row of an owner expires after 1.8 s:
	// without the limit, among 450 members and more, each owner would repeatedly be
	// considered gone.
	entriesPause   = 150 * time.Millisecond
	membersPause   = 300 * time.Millisecond
	pausePerMember = 4 * time.Millisecond
	maxFeedPause   = time.Second

	// headsPause is the pause of an instance that owns submissions, which must learn
	// quickly when they end, and of every instance of a small site. The pause of other
	// instances grows by headsPausePerMember for each member up to idleHeadsPause,
	// which leaves them time to claim a submission that they are to own before another
	// instance takes it over (claimTimeout). Among 295 members a head changes some ten
	// times a second, and each change would cause a call of the store by every member.
	headsPause          = 40 * time.Millisecond
	headsPausePerMember = time.Millisecond
	idleHeadsPause      = 250 * time.Millisecond

	// relayPause is the least time between two reads of a table by a relay. It is short
	// because there are few relays.
	relayPause = 50 * time.Millisecond

	// minRelayRows is the number of rows above which tables are read through relays
	// instead of by each instance: more rows than the store returns at once.
	minRelayRows = 500
)

// newFollower returns the Follower of the tables that the node depends on.
func newFollower(n *Node) *watch.Follower {
	d := n.cfg.Decoder
	return watch.New(watch.Config{
		StartID: n.startID, DataCentre: n.cfg.DataCentre, Address: n.cfg.PeerAddress, Cores: n.cfg.Cores, Store: n.cfg.Store, Dial: n.cfg.Dial,
		Tables: []watch.TableConfig{
			{Name: d.OperatorTable, Prefixes: []string{d.OperatorTable + "//"}, Wait: configurationWait, Urgent: true},
			{Name: d.EntriesTable, Prefixes: []string{d.EntriesTable + "//"}, Wait: entriesWait, Pause: n.pause(entriesPause), RelayPause: relayPause, Digest: d.EntryDigest},
			{Name: membership.Table, Prefixes: []string{membership.Prefix()}, Wait: membersWait, Pause: n.pause(membersPause), RelayPause: relayPause, Derived: true},
			{Name: submission.HeadsTable, Prefixes: submission.HeadPrefixes(), Wait: headsWait, Pause: n.headsPause, RelayPause: headsPause},
		},
		UseRelays: func() bool { return max(n.upstreams.Load(), n.member.rows.Load()) > minRelayRows },
		Live: func(start string) (live, known bool) {
			st := n.ranking.Load()
			return st != nil && st.roster.HasStartID(start), st != nil
		},
		OnUpdate: func(ctx context.Context, u feed.Update) { n.enqueue(ctx, u) },
		Go:       func(f func() error) { n.group.Go(f) },
		Rand:     randomFloat,
		OnEvent:  n.observer.source,
	})
}

// pause returns the least time between two reads of a table whose rate of change grows
// with the number of instances or upstreams.
func (n *Node) pause(least time.Duration) func() time.Duration {
	return func() time.Duration { return feedPause(least, int(n.member.rows.Load())) }
}

// feedPause returns the pause of a table for the given number of members.
func feedPause(least time.Duration, members int) time.Duration {
	return max(least, min(time.Duration(members)*pausePerMember, maxFeedPause))
}

// headsPause returns the least time between two reads of the heads of submissions.
func (n *Node) headsPause() time.Duration {
	if n.reader.runCount() > 0 {
		return headsPause
	}
	idle := min(time.Duration(n.member.rows.Load())*headsPausePerMember, idleHeadsPause)
	return max(headsPause, idle)
}
