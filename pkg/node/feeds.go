package node

import (
	"context"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
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
)

// followAll follows the tables of the store that an instance knows its site by.
func (n *Node) followAll(ctx context.Context) {
	d := n.cfg.Decoder
	n.follow(ctx, d.OperatorTable, []string{d.OperatorTable + "//"}, configurationWait, nil)
	n.follow(ctx, d.EntriesTable, []string{d.EntriesTable + "//"}, entriesWait, n.pause(entriesPause))
	n.follow(ctx, membership.Table, []string{membership.Prefix()}, membersWait, n.pause(membersPause))
	n.follow(ctx, submission.HeadsTable, submission.HeadPrefixes(), headsWait, n.headsPause)
}

func (n *Node) follow(ctx context.Context, table string, prefixes []string, wait time.Duration, pause func() time.Duration) {
	f := feed.Follower{Store: n.cfg.Store, Table: table, Prefixes: prefixes, Wait: wait, Pause: pause,
		Tell: func(u feed.Update) { n.tell(ctx, u) }}
	n.group.Go(func() error { return f.Run(ctx) })
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
