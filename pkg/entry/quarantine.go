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

// quarantinePrefix begins the keys of the rows that tell which requests crash
// upstreams. Instances read them with the members' rows.
const quarantinePrefix = memberPrefix + "quarantine/"

// newQuarantine returns what keeps requests that crash upstreams from them.
func newQuarantine(in *Instance) *quarantine.Syncer {
	return quarantine.NewSyncer(quarantine.SyncerConfig{
		Guard: quarantine.Config{
			NotListening: takesNoConnection,
			IsLeaving:    in.isLeaving,
			Go:           func(f func() error) { in.sends.Go(f) },
			OnEvent:      in.quarantined,
		},
		Commit: in.cfg.Platform.Commit,
		Prefix: quarantinePrefix,
		Writer: in.cfg.ID + "/" + in.life,
		IsSweeper: func() bool {
			members := in.View().Members
			return len(members) > 0 && members[0].ID == in.cfg.ID
		},
		OnWriteError: func(rows int, err error) {
			in.cfg.Logger.Debug("quarantine rows not written", "rows", rows, "err", err)
		},
	})
}

// takesNoConnection reports whether nothing listens at an upstream's address.
func takesNoConnection(ctx context.Context, e upstream.Entry) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", e.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// isLeaving reports whether an upstream leaves by its own account.
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

func (in *Instance) quarantined(e quarantine.Event) {
	metrics.GetOrRegisterCounter("quarantine_"+strings.ReplaceAll(e.What, " ", "_"), in.cfg.Metrics).Inc(1)
	in.cfg.Logger.Warn(e.What, "content", e.Content, "upstream", e.Upstream, "ends", e.Crashes, "unexplained", e.Unexplained, "trials", e.Trials, "err", e.Err)
}

// splitMembers has the guard take the rows that are its own among those read, and
// returns the others.
func (in *Instance) splitMembers(rows []platform.Row) []platform.Row {
	changes := make([]platform.Change, len(rows))
	for i, r := range rows {
		changes[i] = platform.Change{Row: r}
	}
	u := quarantine.SplitChanges(changes, quarantinePrefix)
	if len(u.DecodeErrors) > 0 {
		in.cfg.Logger.Warn("quarantine rows not understood", "err", errors.Join(u.DecodeErrors...))
	}
	in.quarantine.Guard.Apply(u.Rows, true, time.Now())
	members := make([]platform.Row, len(u.Others))
	for i, ch := range u.Others {
		members[i] = ch.Row
	}
	return members
}

// at returns the upstream at addr as the guard knows it: the catalogue tells addresses
// only.
func at(pool, addr string) upstream.Entry { return upstream.Entry{ID: addr, Pool: pool, Address: addr} }

// held returns the error of a request that is in quarantine.
func held(err error) error {
	var refused *quarantine.RefusedError
	if errors.As(err, &refused) {
		return verdict.Refuse(http.StatusServiceUnavailable, refused.Until, err)
	}
	return err
}

// outcomeOf returns how an attempt ended whose context was ctx.
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
	case ctx.Err() != nil, errors.Is(err, errCaller):
		return quarantine.Abandoned
	}
	return quarantine.ConnectionLost
}
