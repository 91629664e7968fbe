// Package spread lets a few hosts read the platform's store and pass on what they
// read to the others, since every call to the store is priced.
//
// # Usage
//
//	w := spread.NewWatcher(spread.Options{Host: "front-1", Address: "10.0.0.1:7340", ...})
//	go w.Run(ctx)
//	state, err := w.State(ctx, "endpoints") // as from the store
//
// A Watcher is a store.Watcher: who follows a table does not know where changes
// come from. Hosts list themselves in a table of the store. A group of hosts ranks
// all hosts in an order of its own; the first of those that answer is asked, and
// asking it makes it read the store. A host that hears nothing in time asks the
// next as well, then hosts of other groups for what they were told, then the store
// itself; the first sound answer counts. Nobody is elected and nothing is agreed:
// two readers cost calls, none costs a moment's delay.
//
// What is passed on carries the time since the store said so, and is taken only
// while it is fresh, so that the age of what a host knows is bounded however many
// hands it came through.
package spread

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"

	"quaybarrow/internal/batch"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// Times of a watcher.
const (
	// peerPart of the wait at the store is one wait for changes at another host.
	peerPart = 0.45
	// slowStore is what an answer of a slow store takes beyond its wait; what is
	// passed on may be that much older than one wait.
	slowStore = 250 * time.Millisecond
	// hopMargin is how long an answer takes at most that need not be waited for:
	// a connection, a call to the store and a slow processor. After it the next
	// source is asked too.
	hopMargin = 200 * time.Millisecond
	// peersTried hosts are asked in order, and then others for what they were told.
	peersTried  = 3
	othersTried = 2
	// pollEvery is how often those are asked that do not wait for changes.
	pollEvery = 400 * time.Millisecond
	// directEvery is the pause after a direct read of the store that failed, for
	// each directHosts hosts that there are: most likely it is away for all. It is directMost
	// at most: a host whose sources are lost has nothing else, at any number of hosts.
	directEvery = 2 * time.Second
	directHosts = 12
	directMost  = 5 * time.Second
	// listAfter the first start of all hosts each has been listed.
	listAfter = enlistLimit + time.Second
	listEvery = 2 * time.Minute
	listRetry = 2 * time.Second
	// listPatience is how long the first read of a table waits for that list;
	// at the first start of all hosts there is time.
	listPatience      = 300 * time.Millisecond
	listPatienceFirst = 3 * time.Second
)

// Options set up a Watcher.
type Options struct {
	Host    string
	Hall    string
	Regions map[string]string // of all data halls; empty where they are not known
	Address string            // ip:port for the other hosts
	Cores   float64           // what this host may use of a processor; those with most read the store
	// First tells that all hosts start for the first time.
	First bool
	// Wait is the longest wait for changes at the store; what this host passes on
	// is at most so old and a quarter of a second.
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

// fresh is how old what is passed on may be.
func (o Options) fresh() time.Duration { return o.Wait + slowStore }

// peerWait is one wait for changes at another host.
func (o Options) peerWait() time.Duration { return time.Duration(peerPart * float64(o.Wait)) }

// patient gives other hosts the time that passing on a whole table takes: the reader
// of a group packs a long one and sends it to all its hosts. A host that is not
// connected after the time of a short answer is not there: after a loss of power those
// that started before their reader waited 0.6 s for it and refused requests. At the
// first start of all hosts there is time, and bytes from the store are dear.
func (w *Watcher) patient(sources []source) []source {
	longest := wholePatienceOf(w.peers.near())
	for i := range sources {
		if w.options.First {
			sources[i].patience = wholePatienceFirst
			continue
		}
		sources[i].longer = longest - sources[i].patience
	}
	return sources
}

const (
	wholePatience      = 600 * time.Millisecond
	wholePatienceFirst = 2 * time.Second
	// A reader of more than a small group is waited for longer, each of its hosts a moment, up to
	// wholePatienceMost: a host that reads a table of thousands itself, on a slow link, is
	// ready no sooner, and hundreds of them take hundreds of MB from the store.
	wholePatienceEach = 4 * time.Millisecond
	wholePatienceMost = 1200 * time.Millisecond
)

// wholePatienceOf is how long a reader that is connected is waited for that sends a whole table to
// so many hosts.
func wholePatienceOf(hosts int) time.Duration {
	return min(wholePatience+time.Duration(max(0, hosts-groupSize))*wholePatienceEach, wholePatienceMost)
}

// Watcher reads tables from another host, or from the store; safe for use at
// once.
type Watcher struct {
	options Options
	peers   *peers
	link    *link
	ctx     context.Context // of the mirrors
	cancel  context.CancelFunc
	working sync.WaitGroup
	listed  chan struct{} // closed once the other hosts are known
	// enlistings are of hosts that have this one list them.
	enlistings *batch.Batcher[listed]

	mu       sync.Mutex // guards all below
	mirrors  map[string]*mirror
	known    map[string]*known // by table, what this host was told last
	direct   clock.Instant     // the store is not read directly before
	stopping bool              // other hosts are sent elsewhere
	closed   bool              // no mirror starts any more

	clock clock.Remote // the store's, as other hosts tell it
}

// NewWatcher returns a watcher that knows no other host yet.
func NewWatcher(options Options) *Watcher {
	w := &Watcher{
		options: options, peers: newPeers(options), link: newLink(options.Credentials, options.Dial),
		listed: make(chan struct{}), mirrors: map[string]*mirror{}, known: map[string]*known{},
	}
	w.enlistings = batch.New(enlistMost, w.enlistGathered)
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Run lists this host and keeps the list of others up to date, until the context
// ends. A host that starts again finds its own entry as it was and writes nothing;
// at the first start of all hosts there is no list to find it in.
func (w *Watcher) Run(ctx context.Context) {
	read := w.readPeers
	if w.options.First {
		began := clock.Now()
		w.update(ctx, w.enlistThrough, "host can't list itself")
		clock.Sleep(ctx, clock.Around(listAfter)-clock.Since(began))
		read = w.askPeers // there is time, and the seeds have just started too
	}
	w.update(ctx, read, "list of hosts can't be read")
	// The list that others pass on may be older than this host's entry.
	if !w.options.First && !w.peers.has(w.options.Host, w.own()) {
		w.update(ctx, w.enlist, "host can't list itself")
	}
	close(w.listed)
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

// awaitList waits until the other hosts are known, for a short while.
func (w *Watcher) awaitList(ctx context.Context) {
	patience := listPatience
	if w.options.First {
		patience = listPatienceFirst
	}
	timer := time.NewTimer(patience)
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
		m = newMirror(table, w.options, w.rememberLocked(table))
		w.mirrors[table] = m
	}
	defer w.mu.Unlock()
	if m.want() && !w.closed {
		w.working.Go(func() { m.run(w.ctx) })
	}
	return m
}

// Now implements store.Watcher. What this host read from the store and what others
// tell both bound its clock.
func (w *Watcher) Now() (clock.Bounds, bool) {
	own, read := w.options.Store.Now()
	told, heard := w.clock.Now()
	both := clock.Bounds{Earliest: max(own.Earliest, told.Earliest), Latest: min(own.Latest, told.Latest)}
	switch {
	case !read:
		return told, heard
	case !heard || both.Width() < 0: // the store's own word counts for more
		return own, true
	default:
		return both, true
	}
}

// hear notes what another host says of the store's clock, of which it may know nothing.
func (w *Watcher) hear(shown clock.Bounds, sent clock.Instant) {
	if shown.Earliest > 0 && shown.Latest >= shown.Earliest {
		w.clock.Observe(shown, sent, clock.Now())
	}
}

// State implements store.Watcher.
func (w *Watcher) State(ctx context.Context, table string) (store.State, error) {
	w.awaitList(ctx)
	n, err := w.whole(ctx, table)
	if err != nil {
		return store.State{}, err
	}
	return w.remember(table).replace(n), nil
}

// whole asks other hosts for a whole table, then the store. A host that knows
// nothing yet takes what is old rather than nothing.
func (w *Watcher) whole(ctx context.Context, table string) (news, error) {
	old := make(chan news, peersTried+othersTried)
	sources := w.patient(w.peerSources(table, -1, 0))
	sources = append(sources, source{patience: directPatience, read: func(ctx context.Context) (news, error) {
		return w.readDirectly(ctx, table, -1, 0)
	}})
	sources = append(sources, w.otherSources(table, -1)...)
	if !w.remember(table).isLoaded() {
		sources = keepingOld(sources, old)
	}
	n, _, err := race(ctx, sources)
	if err == nil {
		return n, nil
	}
	select {
	case n := <-old:
		w.options.Logger.Warn("only old state of a table is to be had", "table", table, "version", n.version, "age_ms", n.age.Milliseconds())
		return n, nil
	default:
		return news{}, err
	}
}

// directPatience is how long the store is waited for before hosts are asked that
// are asked last: some pages of a long table.
const directPatience = time.Second

// keepingOld puts what was too old to be taken into a channel with room for all.
func keepingOld(sources []source, old chan<- news) []source {
	kept := make([]source, len(sources))
	for i, s := range sources {
		kept[i] = s
		kept[i].read = func(ctx context.Context) (news, error) {
			n, err := s.read(ctx)
			if err != nil && n.version > 0 {
				old <- n
			}
			return n, err
		}
	}
	return kept
}

// remember returns what this host was told last of a table.
func (w *Watcher) remember(table string) *known {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rememberLocked(table)
}

func (w *Watcher) rememberLocked(table string) *known {
	k, ok := w.known[table]
	if !ok {
		k = newKnown()
		w.known[table] = k
	}
	return k
}

// Changes implements store.Watcher. A wait that another host cuts short returns
// no changes.
func (w *Watcher) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	w.awaitList(ctx)
	wait = min(wait, w.options.peerWait())
	sources := append(w.peerSources(table, after, wait), w.otherSources(table, after)...)
	sources = append(sources, source{patience: directPatience, read: func(ctx context.Context) (news, error) {
		return w.readDirectly(ctx, table, after, 0)
	}})
	n, place, err := race(ctx, sources)
	if err != nil {
		return nil, 0, err
	}
	if !w.remember(table).apply(n) {
		w.options.Logger.Warn("a removal was missed; reading the table whole", "table", table, "version", after)
		clock.Sleep(ctx, clock.Jitter(wholePause))
		return nil, 0, errors.WithMessagef(store.ErrCompacted, "changes of %s", table)
	}
	if place > 0 && len(n.changes) == 0 {
		clock.Sleep(ctx, min(wait, pollEvery)) // only the first was asked to wait
	}
	return n.changes, max(after, n.version), nil
}

// wholePause bounds how often a table is read whole that does not come to agree.
const wholePause = 100 * time.Millisecond
