package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// quarantinePrefix is the key prefix of the rows about requests that crash upstreams.
// Instances read them together with the members' rows.
const quarantinePrefix = memberPrefix + "quarantine/"

// newQuarantine returns the quarantine of in, which keeps requests that crash upstreams
// away from them.
func newQuarantine(in *Instance) *quarantine.Syncer {
	return quarantine.NewSyncer(quarantine.SyncerConfig{
		Guard: quarantine.Config{
			NotListening: refusesConnections,
			IsLeaving:    in.isLeaving,
			Go:           func(f func() error) { in.sends.Go(f) },
			OnEvent:      in.onQuarantineEvent,
		},
		Commit: in.cfg.Platform.Commit,
		Prefix: quarantinePrefix,
		Writer: in.cfg.ID + "/" + in.processID,
		IsSweeper: func() bool {
			members := in.View().Members
			return len(members) > 0 && members[0].ID == in.cfg.ID
		},
		OnWriteError: func(rows int, err error) {
			in.cfg.Logger.Debug("writing quarantine rows failed; retrying", "rows", rows, "err", err)
		},
	})
}

// refusesConnections reports whether nothing listens at an upstream's address.
func refusesConnections(ctx context.Context, e upstream.Entry) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", e.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// isLeaving reports whether an upstream stops on request: it is then not live in this
// instance's view, for example because it drains.
func (in *Instance) isLeaving(e upstream.Entry) bool {
	for _, kind := range []catalogue.Kind{catalogue.Engines, catalogue.Services} {
		for _, u := range in.View().LiveUpstreams(e.Pool, kind) {
			if u.Address == e.Address {
				return false
			}
		}
	}
	return true
}

func (in *Instance) onQuarantineEvent(e quarantine.Event) {
	metrics.GetOrRegisterCounter("quarantine_"+strings.ReplaceAll(e.What, " ", "_"), in.cfg.Metrics).Inc(1)
	in.cfg.Logger.Warn(e.What, "content", e.Content, "upstream", e.Upstream, "ends", e.Crashes, "unexplained", e.UnexplainedCrashes, "trials", e.Trials, "err", e.Err)
}

// splitQuarantineRows applies the quarantine rows among rows to the guard and returns the
// others, which are the members' rows.
func (in *Instance) splitQuarantineRows(rows []platform.Row) []platform.Row {
	changes := make([]platform.Change, len(rows))
	for i, r := range rows {
		changes[i] = platform.Change{Row: r}
	}
	u := quarantine.SplitChanges(changes, quarantinePrefix)
	if len(u.DecodeErrors) > 0 {
		in.cfg.Logger.Warn("malformed quarantine rows; ignoring them", "err", errors.Join(u.DecodeErrors...))
	}
	in.quarantine.Guard.Apply(u.Rows, true, time.Now())
	members := make([]platform.Row, len(u.Others))
	for i, ch := range u.Others {
		members[i] = ch.Row
	}
	return members
}

// upstreamEntry returns the upstream at addr for use with the guard. The catalogue has no
// upstream IDs, so the address is also the ID.
func upstreamEntry(pool, addr string) upstream.Entry {
	return upstream.Entry{ID: addr, Pool: pool, Address: addr}
}

// quarantineError returns err, or a NotRun error with the time of retry if err means that
// the request is quarantined.
func quarantineError(err error) error {
	var refused *quarantine.RefusedError
	if errors.As(err, &refused) {
		return verdict.Refuse(http.StatusServiceUnavailable, refused.Until, err)
	}
	return err
}

// outcomeOf classifies the end of an attempt. ctx is the attempt's context and err its
// error.
func outcomeOf(ctx context.Context, err error) quarantine.Outcome {
	var se *httpjson.StatusError
	switch {
	case err == nil:
		return quarantine.Answered
	case httpjson.NotSent(err):
		return quarantine.Unreachable
	case verdict.Of(err) == verdict.NotRun:
		return quarantine.NotRun
	case errors.As(err, &se) && se.Status < http.StatusInternalServerError:
		return quarantine.Answered
	case errors.As(err, &se):
		return quarantine.Failed
	case ctx.Err() != nil, errors.Is(err, errCallerGone):
		return quarantine.Abandoned
	}
	return quarantine.ConnectionLost
}
