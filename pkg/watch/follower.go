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
	errNoSource  = fmt.Errorf("%w: watch: no relay, and the store is not read", platform.ErrUnavailable)
	errRelayLost = fmt.Errorf("%w: watch: the relay has lost the store", platform.ErrUnavailable)
	errFull      = errors.New("watch: the relay is full")
	errLeaving   = errors.New("watch: the relay is about to stop")
	errBehind    = errors.New("watch: the relay knows less than is known here")
)

// scanRows is how many relays are read at the most.
const scanRows = 500

// eventQueue is how many events may wait for the machine.
const eventQueue = 64

// Follower follows tables, by what its Machine decides. Call New, then Run; the other
// methods may be called at any time.
type Follower struct {
	cfg    Config
	events chan any

	mu     sync.Mutex
	source Source
	lostAt time.Time // when the last source was lost
	dir    directory
	relay  *relay            // nil while this instance is none
	from   map[string]uint64 // up to which versions tables are known

	// What follows belongs to Run.
	machine *Machine
	tries   map[string]*try // by address
	stop    func()          // ends what is followed, and returns when it has ended
}

// try is a relay that is tried, or was and has answered.
type try struct {
	cancel context.CancelFunc
	joined joined // once it has answered
}

// joined is a watch at a relay, and the news that it began with.
type joined struct {
	Relay
	session Stream
	link    Link
	first   peer.WatchUpdate
}

// New returns a Follower.
func New(cfg Config) *Follower {
	if cfg.OnEvent == nil {
		cfg.OnEvent = func(Event) {}
	}
	f := &Follower{cfg: cfg, events: make(chan any, eventQueue), source: Source{Kind: None}, lostAt: time.Now(), from: map[string]uint64{},
		tries: map[string]*try{}, stop: func() {}}
	f.machine = NewMachine(MachineConfig{StartID: cfg.StartID, DataCentre: cfg.DataCentre, Cores: cfg.Cores, CanRelay: cfg.Address != "",
		UseRelays: cfg.UseRelays, Live: cfg.Live, Watchers: f.Watchers, Rand: cfg.Rand})
	return f
}

// Source returns what the tables are followed by.
func (f *Follower) Source() Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// Run follows the tables until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	defer func() {
		f.endTries("")
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
			if a, ok := ev.(answered); ok {
				if ev, ok = f.onAnswered(a); !ok {
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

// idleTime is how long the machine is left alone that wants no time.
const idleTime = time.Minute

func untilNext(next time.Time) time.Duration {
	if next.IsZero() {
		return idleTime
	}
	return time.Until(next)
}

func (f *Follower) reduce(ctx context.Context, ev any) {
	for _, eff := range f.machine.Reduce(ev) {
		f.carryOut(ctx, eff)
	}
}

// post has the machine reduce ev.
func (f *Follower) post(ctx context.Context, ev any) {
	select {
	case f.events <- ev:
	case <-ctx.Done():
	}
}

// carryOut begins what the machine asks for. Outcomes are posted.
func (f *Follower) carryOut(ctx context.Context, eff Effect) {
	switch e := eff.(type) {
	case ReadDirectory:
		f.cfg.Go(func() error {
			relays, err := f.readDirectory(ctx)
			f.post(ctx, DirectoryRead{time.Now(), relays, err})
			return nil
		})
	case Connect:
		f.begin(ctx, e.Relay)
	case CloseConnections:
		f.endTries(e.Keep)
	case OpenWatch:
		f.open(ctx, e.Relay)
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
		f.stop = f.serve(ctx, e.Key)
	case StopRelay:
		f.stop()
		f.stop = func() {}
		f.setRelay(nil)
	case NotifyUnavailable:
		for _, t := range f.cfg.Tables {
			f.cfg.OnUpdate(ctx, feed.Update{Table: t.Name, At: time.Now(), Err: errNoSource})
		}
	case SetSource:
		f.take(e)
	}
}

// take tells what the tables are followed by from now on.
func (f *Follower) take(t SetSource) {
	now := time.Now()
	f.mu.Lock()
	e := Event{Source: t.Source, Reason: t.Reason}
	if f.source.Kind == None && t.Source.Kind != None {
		e.Downtime = now.Sub(f.lostAt)
	}
	if f.source.Kind != None && t.Source.Kind == None {
		f.lostAt = now
	}
	changed := f.source != t.Source
	f.source = t.Source
	f.mu.Unlock()
	if changed {
		f.cfg.OnEvent(e)
	}
}

// tell passes on what was learned of a table, and keeps up to which version it is known.
func (f *Follower) tell(ctx context.Context, u feed.Update) {
	if u.Err == nil {
		f.mu.Lock()
		f.from[u.Table] = u.Version
		f.mu.Unlock()
	}
	f.cfg.OnUpdate(ctx, u)
}

// readDirectory reads which relays there are.
func (f *Follower) readDirectory(ctx context.Context) ([]Relay, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	page, err := f.cfg.Store.ScanFrom(ctx, Prefix(), "", scanRows)
	if err != nil {
		return nil, err
	}
	changes := make([]platform.Change, len(page.Rows))
	for i, r := range page.Rows {
		changes[i] = platform.Change{Row: r}
	}
	return f.learnRelays(changes, true), nil
}

// learnRelays takes rows of the relays' table and returns all relays. A row that cannot be
// read names none.
func (f *Follower) learnRelays(changes []platform.Change, reset bool) []Relay {
	f.mu.Lock()
	err := f.dir.apply(changes, reset)
	relays := f.dir.all()
	f.mu.Unlock()
	if err != nil {
		f.cfg.OnEvent(Event{Source: f.Source(), Err: err})
	}
	return relays
}

// claim takes a slot.
func (f *Follower) claim(ctx context.Context, c ClaimSlot) error {
	op, err := platform.Put(c.Key, c.Version, Relay{StartID: f.cfg.StartID, Address: f.cfg.Address, DataCentre: f.cfg.DataCentre})
	if err == nil {
		cctx, cancel := context.WithTimeout(ctx, storeTime)
		defer cancel()
		_, err = f.cfg.Store.Commit(cctx, op)
	}
	if err != nil {
		f.cfg.OnEvent(Event{Source: f.Source(), Err: fmt.Errorf("watch: slot %s not taken: %w", c.Key, err)})
	}
	return err
}
