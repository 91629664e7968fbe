// Package spread lets a few hosts of each data hall read the platform's store and
// pass on what they read to the others, since every call to the store is priced.
//
// # Usage
//
//	w := spread.NewWatcher(spread.Options{Host: "front-1", Hall: "ikeja", Address: "10.0.0.1:7340", ...})
//	go w.Run(ctx)
//	state, err := w.State(ctx, "endpoints") // as from the store
//
// A Watcher is a store.Watcher: who follows a table does not know where changes
// come from. Hosts are ranked in each data hall by a hash of their names; the
// first of those that answer is asked, and asking it makes it read the store. A
// host that gets no answer in time asks the next, and reads the store itself when
// two have failed. Nobody is elected and nothing is agreed: two readers cost calls,
// none costs a moment's delay. Hosts list themselves in a table of the store.
package spread

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/spread/spreadpb"
	"quaybarrow/internal/store"
)

// Times of a watcher.
const (
	// peerWait is one wait for changes at another host; one that went silent is
	// noticed after it and the margin.
	peerWait   = 600 * time.Millisecond
	peerMargin = 300 * time.Millisecond
	// peersTried before the store is read directly.
	peersTried = 2
	// directEvery bounds direct reads while other hosts say that they do not
	// reach the store: most likely nobody does.
	directEvery = 2 * time.Second
	// latelyTried hosts are asked for what they were told before the store is
	// read directly.
	latelyTried = 3
	// latelyEvery is how often other hosts are asked for what they were told.
	latelyEvery = 400 * time.Millisecond
	// reachedFor is how long a host that reached the store directly goes on
	// doing so.
	reachedFor = 3 * time.Second
	// listAfter the first start of all hosts each has listed itself.
	listAfter = 1500 * time.Millisecond
	listEvery = 2 * time.Minute
	listRetry = 2 * time.Second
	// listPatience is how long the first read of a table waits for that list.
	listPatience = 250 * time.Millisecond
	// startTime is how long a host has just started.
	startTime = 3 * time.Second
)

// Options set up a Watcher.
type Options struct {
	Host    string
	Hall    string
	Address string // ip:port for the other hosts
	// First tells that all hosts start for the first time.
	First bool
	// Wait is the longest wait for changes at the store; what this host passes
	// on is at most so old, and a second, when the store falls silent.
	Wait time.Duration
	// Seeds are addresses of hosts that may be asked before the list of hosts
	// could be read; some may be stale.
	Seeds  []string
	Tables store.Tables
	Store  store.Watcher
	Logger *log.Logger
	// Credentials secure the connections to other hosts.
	Credentials credentials.TransportCredentials
	// Dial replaces the network in tests.
	Dial Dialer
}

// Watcher reads tables from another host, or from the store; safe for use at
// once.
type Watcher struct {
	options Options
	peers   *peers
	link    *link
	started time.Time
	ctx     context.Context // of the mirrors
	cancel  context.CancelFunc
	working sync.WaitGroup
	listed  chan struct{} // closed once the other hosts are known

	mu       sync.Mutex // guards all below
	mirrors  map[string]*mirror
	known    map[string]*known // by table, what this host was told last
	probed   time.Time         // the last direct read while other hosts do not reach the store
	reached  time.Time         // direct reads may go on until then
	stopping bool              // other hosts are sent elsewhere
	closed   bool              // no mirror starts any more
	clock    reading
}

// reading is the store's clock as of a moment, as another host told it.
type reading struct {
	shown time.Duration
	at    time.Time
}

// NewWatcher returns a watcher that knows no other host yet.
func NewWatcher(options Options) *Watcher {
	w := &Watcher{
		options: options, peers: newPeers(options), link: newLink(options.Credentials, options.Dial),
		started: time.Now(), listed: make(chan struct{}), mirrors: map[string]*mirror{}, known: map[string]*known{},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Run lists this host and keeps the list of others up to date, until the context
// ends. A host that starts again finds its own entry as it was and writes nothing.
func (w *Watcher) Run(ctx context.Context) {
	w.update(ctx, w.readPeers, "list of hosts can't be read")
	if !w.peers.has(w.options.Host, w.own()) {
		w.update(ctx, w.enlist, "host can't list itself")
	}
	close(w.listed)
	if w.options.First {
		clock.Sleep(ctx, clock.Around(listAfter))
		w.update(ctx, w.readPeers, "list of hosts can't be read")
	}
	for clock.Sleep(ctx, clock.Around(listEvery)) {
		w.update(ctx, w.readPeers, "list of hosts can't be read")
	}
}

// update does a step until it succeeds or the context ends.
func (w *Watcher) update(ctx context.Context, step func(context.Context) error, problem string) {
	for ctx.Err() == nil {
		err := step(ctx)
		if err == nil {
			return
		}
		w.options.Logger.Warn(problem, "error", err)
		clock.Sleep(ctx, clock.Around(listRetry))
	}
}

// awaitList waits until the other hosts are known, for a short while: a table
// that is asked for before is read from the store by every host.
func (w *Watcher) awaitList(ctx context.Context) {
	timer := time.NewTimer(listPatience)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.listed:
	case <-timer.C:
	}
}

// Stop sends other hosts elsewhere. The host's entry stays: it starts again at the
// same address, and if it does not, others ask it less and less.
func (w *Watcher) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = true
}

// Close ends the mirrors and the connections to other hosts.
func (w *Watcher) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	w.working.Wait()
	w.link.close()
}

// mirror returns the host's own copy of a table, kept up for a while.
func (w *Watcher) mirror(table string) *mirror {
	w.mu.Lock()
	m, ok := w.mirrors[table]
	if !ok {
		m = newMirror(table, w.options)
		w.mirrors[table] = m
	}
	defer w.mu.Unlock()
	if m.want() && !w.closed {
		w.working.Go(func() { m.run(w.ctx) })
	}
	return m
}

// Now implements store.Watcher.
func (w *Watcher) Now() (time.Duration, bool) {
	w.mu.Lock()
	told := w.clock
	w.mu.Unlock()
	if now, ok := w.options.Store.Now(); ok {
		return now, true
	}
	if told.at.IsZero() {
		return 0, false
	}
	return told.shown + time.Since(told.at), true
}

// hear notes what another host says of the store's clock.
func (w *Watcher) hear(shown time.Duration) {
	if shown <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock = reading{shown: shown, at: time.Now()}
}

// State implements store.Watcher. A host that has just started serves nobody
// before it has read its tables, so these first reads go to the store itself, and
// to other hosts only if that is away.
func (w *Watcher) State(ctx context.Context, table string) (store.State, error) {
	a, err := w.state(ctx, table)
	if err == nil {
		w.remember(table).load(a.state, a.age)
	}
	return a.state, err
}

// aged is a table and the time since the store said so.
type aged struct {
	state store.State
	age   time.Duration
}

func (w *Watcher) state(ctx context.Context, table string) (aged, error) {
	loaded := w.remember(table).isLoaded()
	if !loaded && time.Since(w.started) < startTime {
		state, err := w.options.Store.State(ctx, table)
		if err == nil {
			return aged{state: state}, nil
		}
		w.options.Logger.Warn("store not reached; asking other hosts", "table", table, "error", err)
	}
	w.awaitList(ctx)
	var old aged // better than nothing, for a host that has nothing
	a, asked, err := throughPeers(w, func(p peer) (aged, error) {
		limited, cancel := context.WithTimeout(ctx, peerWait+peerMargin)
		defer cancel()
		a, err := w.link.state(limited, p, &spreadpb.StateRequest{Table: table}, w.hear)
		if err == nil && a.age > staleAfter {
			old, err = a, staleError(p, a.age)
		}
		return a, err
	})
	switch {
	case asked:
		return a, err
	case err == nil:
		m := w.mirror(table)
		state, err := m.State(ctx)
		return aged{state: state, age: m.age()}, err
	case !loaded && old.age > 0:
		return old, nil
	case !w.mayReadDirectly(err):
		return aged{}, err
	}
	state, err := w.options.Store.State(ctx, table)
	w.readDirectly(err)
	return aged{state: state}, err
}

// remember returns what this host was told last of a table.
func (w *Watcher) remember(table string) *known {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.known[table]
	if !ok {
		k = &known{}
		w.known[table] = k
	}
	return k
}

// result is what an answer about changes holds.
type result struct {
	changes []store.Change
	version int64
	age     time.Duration // since the store said so
	known   bool          // the changes were taken in already
}

// Changes implements store.Watcher. A wait that another host cuts short returns
// no changes.
func (w *Watcher) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	r, err := w.changes(ctx, table, after, wait)
	if err == nil && !r.known {
		w.remember(table).apply(r.changes, r.version, r.age)
	}
	return r.changes, r.version, err
}

func (w *Watcher) changes(ctx context.Context, table string, after int64, wait time.Duration) (result, error) {
	w.awaitList(ctx)
	r, asked, err := throughPeers(w, func(p peer) (result, error) {
		wait := min(wait, peerWait)
		limited, cancel := context.WithTimeout(ctx, wait+peerMargin)
		defer cancel()
		return w.link.changes(limited, p, table, after, wait, w.hear)
	})
	if asked {
		return r, err
	}
	if err == nil {
		r, err = w.mirrorChanges(ctx, table, after, wait)
		if !errors.Is(err, store.ErrUnavailable) {
			return r, err
		}
	}
	if r, ok := w.lately(ctx, table, after, wait); ok {
		return r, nil
	}
	if !w.mayReadDirectly(err) {
		return result{}, err
	}
	changes, version, err := w.options.Store.Changes(ctx, table, after, min(wait, w.options.Wait))
	w.readDirectly(err)
	return result{changes: changes, version: version}, err
}

// mirrorChanges waits for changes of this host's own copy.
func (w *Watcher) mirrorChanges(ctx context.Context, table string, after int64, wait time.Duration) (result, error) {
	m := w.mirror(table)
	changes, version, err := m.Changes(ctx, after, wait)
	return result{changes: changes, version: version, age: m.age()}, err
}

// lately asks a few hosts of any data hall for what they were told lately, when
// neither this host nor those that it asks first reach the store.
func (w *Watcher) lately(ctx context.Context, table string, after int64, wait time.Duration) (result, bool) {
	for _, p := range w.peers.some(latelyTried) {
		limited, cancel := context.WithTimeout(ctx, peerMargin)
		a, err := w.link.state(limited, p, &spreadpb.StateRequest{Table: table, Lately: true, After: after}, w.hear)
		cancel()
		switch {
		case err != nil:
			w.peers.failed(p, err)
		case a.state.Version > after:
			changes := w.remember(table).changes(a.state, a.age)
			return result{changes: changes, version: a.state.Version, known: true}, true
		default:
			clock.Sleep(ctx, min(wait, latelyEvery))
			return result{version: after, age: a.age + latelyEvery}, true
		}
	}
	return result{}, false
}
