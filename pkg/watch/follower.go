package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

var (
	errNoSource          = fmt.Errorf("%w: watch: no relay is available and the store is not being read", platform.ErrUnavailable)
	errRelayWithoutStore = fmt.Errorf("%w: watch: the relay cannot reach the store", platform.ErrUnavailable)
	errFull              = errors.New("watch: the relay has no room for another watcher")
	errLeaving           = errors.New("watch: the relay is about to stop")
	errBehind            = errors.New("watch: the relay's tables are older than those known here")
)

// maxRelayRows is the maximum number of rows of Table that are read at a time.
const maxRelayRows = 500

// eventQueueSize is the capacity of the queue of events for the Machine.
const eventQueueSize = 64

// Follower follows tables as its Machine decides. Call New, then Run; the other methods
// may be called at any time.
type Follower struct {
	cfg    Config
	events chan any

	mu           sync.Mutex
	source       Source
	sourceLostAt time.Time // when the last source became unavailable
	dir          directory
	relay        *relay            // nil while this instance is no relay
	versions     map[string]uint64 // by table: the version up to which it is known

	// The fields below are used by Run only.
	machine  *Machine
	attempts map[string]*attempt // by address
	stop     func()              // ends the current source and returns after it has ended
}

// attempt is a connection to a relay that is being opened, or is open.
type attempt struct {
	cancel context.CancelFunc
	conn   conn // set once the relay has answered
}

// conn is a link to a relay, with a watch of Table and the first update from it.
type conn struct {
	Relay
	stream Stream
	link   Link
	first  peer.WatchUpdate
}

// New returns a Follower.
func New(cfg Config) *Follower {
	if cfg.OnEvent == nil {
		cfg.OnEvent = func(Event) {}
	}
	f := &Follower{cfg: cfg, events: make(chan any, eventQueueSize), source: Source{Kind: None}, sourceLostAt: time.Now(), versions: map[string]uint64{},
		attempts: map[string]*attempt{}, stop: func() {}}
	f.machine = NewMachine(MachineConfig{StartID: cfg.StartID, DataCentre: cfg.DataCentre, Cores: cfg.Cores, CanRelay: cfg.Address != "",
		UseRelays: cfg.UseRelays, Live: cfg.Live, Watchers: f.Watchers, Rand: cfg.Rand})
	return f
}

// Source returns the source that the tables are followed from.
func (f *Follower) Source() Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// Run follows the tables until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	defer func() {
		f.closeConnections("")
		f.stop()
	}()
	if f.cfg.Dial == nil {
		f.carryOut(ctx, ReadStore{})
		f.carryOut(ctx, SetSource{Source{Kind: FromStore}, "begins"})
		<-ctx.Done()
		return nil
	}
	f.reduce(ctx, Started{time.Now()})
	for {
		timer := time.NewTimer(untilNext(f.machine.Next()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case ev := <-f.events:
			if a, ok := ev.(connectResult); ok {
				if ev, ok = f.onConnectResult(a); !ok {
					continue
				}
			}
			f.reduce(ctx, ev)
		case at := <-timer.C:
			f.reduce(ctx, Ticked{at})
		}
		timer.Stop()
	}
}

// idleTick is the time until the next Ticked if the Machine asks for none.
const idleTick = time.Minute

func untilNext(next time.Time) time.Duration {
	if next.IsZero() {
		return idleTick
	}
	return time.Until(next)
}

func (f *Follower) reduce(ctx context.Context, ev any) {
	for _, eff := range f.machine.Reduce(ev) {
		f.carryOut(ctx, eff)
	}
}

// post queues ev for the Machine.
func (f *Follower) post(ctx context.Context, ev any) {
	select {
	case f.events <- ev:
	case <-ctx.Done():
	}
}

// carryOut carries out an effect of the Machine, or starts to. Outcomes are posted as
// events.
func (f *Follower) carryOut(ctx context.Context, eff Effect) {
	switch e := eff.(type) {
	case ReadDirectory:
		f.cfg.Go(func() error {
			relays, err := f.readDirectory(ctx)
			f.post(ctx, DirectoryRead{time.Now(), relays, err})
			return nil
		})
	case Connect:
		f.startConnect(ctx, e.Relay)
	case CloseConnections:
		f.closeConnections(e.Keep)
	case OpenWatch:
		f.openWatch(ctx, e.Relay)
	case ReadStore:
		f.stop()
		f.stop = f.readStore(ctx)
	case ClaimSlot:
		f.cfg.Go(func() error {
			f.post(ctx, ClaimDone{time.Now(), f.claim(ctx, e)})
			return nil
		})
	case StartRelay:
		f.stop()
		f.stop = f.startRelay(ctx, e.Key)
	case StopRelay:
		if r := f.currentRelay(); r != nil {
			r.leave()
		}
		f.stop()
		f.stop = func() {}
		f.setRelay(nil)
	case NotifyUnavailable:
		for _, t := range f.cfg.Tables {
			f.cfg.OnUpdate(ctx, feed.Update{Table: t.Name, At: time.Now(), Err: errNoSource})
		}
	case SetSource:
		f.setSource(e)
	}
}

// setSource records the source in use and reports a change of it to OnEvent.
func (f *Follower) setSource(s SetSource) {
	now := time.Now()
	f.mu.Lock()
	e := Event{Source: s.Source, Reason: s.Reason}
	if f.source.Kind == None && s.Source.Kind != None {
		e.Downtime = now.Sub(f.sourceLostAt)
	}
	if f.source.Kind != None && s.Source.Kind == None {
		f.sourceLostAt = now
	}
	changed := f.source != s.Source
	f.source = s.Source
	f.mu.Unlock()
	if changed {
		f.cfg.OnEvent(e)
	}
}

// notify passes an update to OnUpdate and records the version up to which its table is
// known.
func (f *Follower) notify(ctx context.Context, u feed.Update) {
	if u.Err == nil {
		f.mu.Lock()
		f.versions[u.Table] = u.Version
		f.mu.Unlock()
	}
	f.cfg.OnUpdate(ctx, u)
}

// readDirectory reads Table from the store and returns the relays in it.
func (f *Follower) readDirectory(ctx context.Context) ([]Relay, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := f.cfg.Store.ScanFrom(ctx, Prefix(), "", maxRelayRows)
	if err != nil {
		return nil, err
	}
	changes := make([]platform.Change, len(page.Rows))
	for i, r := range page.Rows {
		changes[i] = platform.Change{Row: r}
	}
	return f.applyRelays(changes, true), nil
}

// applyRelays applies changes of Table and returns all relays. Malformed rows are
// reported to OnEvent and left out.
func (f *Follower) applyRelays(changes []platform.Change, reset bool) []Relay {
	f.mu.Lock()
	err := f.dir.apply(changes, reset)
	relays := f.dir.all()
	f.mu.Unlock()
	if err != nil {
		f.cfg.OnEvent(Event{Source: f.Source(), Err: err})
	}
	return relays
}

// claim writes the row of this instance into a slot. It fails if another instance has
// written the row since.
func (f *Follower) claim(ctx context.Context, c ClaimSlot) error {
	op, err := platform.Put(c.Key, c.Version, Relay{StartID: f.cfg.StartID, Address: f.cfg.Address, DataCentre: f.cfg.DataCentre})
	if err == nil {
		cctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		_, err = f.cfg.Store.Commit(cctx, op)
	}
	if err != nil {
		f.cfg.OnEvent(Event{Source: f.Source(), Err: fmt.Errorf("watch: claim relay slot %s: %w", c.Key, err)})
	}
	return err
}
