// Package spread lets a few hosts read the platform's store and distribute what they read to all
// other hosts, because every call to the store is priced.
//
// # Usage
//
//	w := spread.NewWatcher(spread.Options{Host: "front-1", Address: "10.0.0.1:7340", ...})
//	go w.Run(ctx)
//	state, err := w.State(ctx, "endpoints") // same result as reading the store
//
// A Watcher implements store.Watcher, so its callers do not depend on where updates come from.
// Hosts register themselves in a table of the store. Each group of hosts ranks all hosts in an
// order of its own; a host asks the first reachable host in that order, and the request makes that
// host read the store. A host that gets no answer in time also asks the next host in the order,
// then hosts of any group for the updates that they received recently, then the store itself; the
// first valid answer is used. There is no election and no agreement protocol: two readers in a
// group cost extra store calls, and a group without a reader costs a short delay.
//
// Each update carries the time since the store confirmed it, and a host accepts it only up to a
// maximum age. This bounds the staleness of a host's data, however many hosts relayed the update.
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

// Timing of a watcher.
const (
	// peerWaitFraction is the fraction of Options.Wait that one request to another host waits for
	// changes.
	peerWaitFraction = 0.45
	// slowStoreMargin is how long a slow store takes to answer beyond the requested wait. Updates
	// from other hosts may be older than one wait by this much.
	slowStoreMargin = 250 * time.Millisecond
	// hopMargin is the longest time that an answer takes without waiting for changes: a new
	// connection, a call to the store and a slow processor. After it the next source is asked too.
	hopMargin = 200 * time.Millisecond
	// peersTried is how many hosts are asked in order; after them othersTried random hosts are
	// asked for updates that they received recently.
	peersTried  = 3
	othersTried = 2
	// pollInterval is how often sources are asked that do not wait for changes.
	pollInterval = 400 * time.Millisecond
	// directReadPause is the pause after a failed direct read of the store, for each
	// directReadPauseHosts hosts of the deployment, since the store is most likely unreachable for
	// all of them. The pause is at most maxDirectReadPause, at any number of hosts: a host that has
	// lost its other sources has only the store.
	directReadPause      = 2 * time.Second
	directReadPauseHosts = 12
	maxDirectReadPause   = 5 * time.Second
	// firstListDelay is the time after the first start of all hosts by which every host has been
	// enlisted.
	firstListDelay = enlistThroughSeedsTimeout + time.Second
	listInterval   = 2 * time.Minute
	listRetryDelay = 2 * time.Second
	// listWait is how long the first read of a table waits for the list of hosts. At the first
	// start of all hosts a longer wait is acceptable.
	listWait           = 300 * time.Millisecond
	firstStartListWait = 3 * time.Second
)

// Options configure a Watcher.
type Options struct {
	Host    string
	Hall    string
	Regions map[string]string // region of each data hall; empty if unknown
	Address string            // ip:port at which other hosts reach this one
	Cores   float64           // processor cores that this host may use; hosts with the most read the store
	// FirstStart reports whether all hosts of the deployment start for the first time.
	FirstStart bool
	// Wait is the longest wait for changes at the store. Updates that this host serves are at most
	// a quarter of a second older than that.
	Wait time.Duration
	// Seeds are addresses of hosts to ask before the list of hosts has been read; some may be
	// stale.
	Seeds  []string
	Tables store.Tables
	Store  store.Watcher
	Logger *log.Logger
	// Credentials secure the connections to other hosts.
	Credentials credentials.TransportCredentials
	// Dial replaces the network dialer in tests.
	Dial Dialer
}

// maxAge returns the maximum age of an update that hosts serve to each other or accept.
func (o Options) maxAge() time.Duration { return o.Wait + slowStoreMargin }

// peerWait returns how long one request to another host waits for changes.
func (o Options) peerWait() time.Duration { return time.Duration(peerWaitFraction * float64(o.Wait)) }

// withWholeTableDelays gives connected hosts the time that sending a whole table takes: the reader
// of a group compresses a long table and sends it to all hosts of the group. A host that is not
// connected within the time of a short answer counts as down: after a power loss, hosts that
// started before their reader waited 0.6 s for it and refused requests. At the first start of all
// hosts the longer delay applies to every source, because there is time and bytes read from the
// store are expensive.
func (w *Watcher) withWholeTableDelays(sources []source) []source {
	longest := wholeTableDelayFor(w.peers.readerScopeHosts())
	for i := range sources {
		if w.options.FirstStart {
			sources[i].hedgeDelay = firstStartWholeTableDelay
			continue
		}
		sources[i].connectedDelay = longest - sources[i].hedgeDelay
	}
	return sources
}

const (
	// wholeTableDelay is how long to wait for a connected reader that sends a whole table to a
	// small group, and firstStartWholeTableDelay how long to wait for any source at the first start
	// of all hosts.
	wholeTableDelay           = 600 * time.Millisecond
	firstStartWholeTableDelay = 2 * time.Second
	// For a reader that serves more than a small group the delay grows by wholeTableDelayPerHost
	// for each further host, up to maxWholeTableDelay. A host that reads a table of thousands of
	// rows itself over a slow link is ready no sooner, and hundreds of such hosts transfer hundreds
	// of MB from the store.
	wholeTableDelayPerHost = 4 * time.Millisecond
	maxWholeTableDelay     = 1200 * time.Millisecond
)

// wholeTableDelayFor returns how long to wait for a connected reader that sends a whole table to
// the given number of hosts.
func wholeTableDelayFor(hosts int) time.Duration {
	return min(wholeTableDelay+time.Duration(max(0, hosts-hostsPerReader))*wholeTableDelayPerHost, maxWholeTableDelay)
}

// Watcher reads tables from other hosts or from the store. It is safe for concurrent use.
type Watcher struct {
	options        Options
	peers          *peers
	pool           *connPool
	ctx            context.Context // of the mirrors; ends when the watcher is closed
	cancel         context.CancelFunc
	mirrorsRunning sync.WaitGroup
	hostsKnown     chan struct{} // closed once the list of hosts has been read and contains this host
	// enlistBatcher collects the hosts that ask this one to enlist them.
	enlistBatcher *batch.Batcher[namedEntry]

	mu             sync.Mutex // guards the fields below, up to closed
	mirrors        map[string]*mirror
	cachedTables   map[string]*cachedTable // by table; the last state that this host received
	nextDirectRead clock.Instant           // earliest time of the next direct read of the store
	stopping       bool                    // requests of other hosts are refused, so that they ask elsewhere
	closed         bool                    // no new mirror starts

	storeClock clock.Remote // bounds of the store's clock, as reported by other hosts
}

// NewWatcher returns a watcher that knows only its seeds.
func NewWatcher(options Options) *Watcher {
	w := &Watcher{
		options: options, peers: newPeers(options), pool: newConnPool(options.Credentials, options.Dial),
		hostsKnown: make(chan struct{}), mirrors: map[string]*mirror{}, cachedTables: map[string]*cachedTable{},
	}
	w.enlistBatcher = batch.New(maxEnlistBatch, w.writeEntryBatch)
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Run enlists this host and keeps the list of hosts up to date until ctx ends. A restarted host
// finds its own entry unchanged and writes nothing; at the first start of all hosts there is no
// list that could contain it.
func (w *Watcher) Run(ctx context.Context) {
	read := w.readHostList
	if w.options.FirstStart {
		began := clock.Now()
		w.retryUntilDone(ctx, w.enlistThroughSeeds, "cannot enlist this host; retrying")
		clock.Sleep(ctx, clock.Around(firstListDelay)-clock.Since(began))
		read = w.requestHostList // there is time, and the seeds have just started too
	}
	w.retryUntilDone(ctx, read, "list of hosts can't be read")
	// The list that other hosts serve may be older than the entry of this host.
	if !w.options.FirstStart && !w.peers.has(w.options.Host, w.ownEntry()) {
		w.retryUntilDone(ctx, w.enlistSelf, "cannot enlist this host; retrying")
	}
	close(w.hostsKnown)
	for clock.Sleep(ctx, clock.Around(listInterval)) {
		w.retryUntilDone(ctx, w.readHostList, "list of hosts can't be read")
	}
}

// retryUntilDone runs step until it succeeds or ctx ends.
func (w *Watcher) retryUntilDone(ctx context.Context, step func(context.Context) error, problem string) {
	for ctx.Err() == nil {
		err := step(ctx)
		if err == nil {
			return
		}
		w.options.Logger.Warn(problem, "error", err)
		clock.Sleep(ctx, clock.Around(listRetryDelay))
	}
}

// awaitHostList waits, up to a short timeout, until the list of hosts has been read.
func (w *Watcher) awaitHostList(ctx context.Context) {
	timeout := listWait
	if w.options.FirstStart {
		timeout = firstStartListWait
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.hostsKnown:
	case <-timer.C:
	}
}

// Stop makes this host refuse the requests of other hosts, so that they ask elsewhere. The entry of
// the host stays in the table: it usually restarts at the same address, and if it does not, other
// hosts ask it at growing intervals.
func (w *Watcher) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = true
}

// Close stops the mirrors and closes the connections to other hosts.
func (w *Watcher) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	w.mirrorsRunning.Wait()
	w.pool.close()
}

// mirror returns this host's mirror of a table, and starts it or extends its run.
func (w *Watcher) mirror(table string) *mirror {
	w.mu.Lock()
	m, ok := w.mirrors[table]
	if !ok {
		m = newMirror(table, w.options, w.cachedLocked(table))
		w.mirrors[table] = m
	}
	defer w.mu.Unlock()
	if m.keepRunning() && !w.closed {
		w.mirrorsRunning.Go(func() { m.run(w.ctx) })
	}
	return m
}

// Now implements store.Watcher. It combines the bounds of the store's clock from this host's own
// reads with those that other hosts report.
func (w *Watcher) Now() (clock.Bounds, bool) {
	own, ownKnown := w.options.Store.Now()
	fromPeers, peersKnown := w.storeClock.Now()
	both := clock.Bounds{Earliest: max(own.Earliest, fromPeers.Earliest), Latest: min(own.Latest, fromPeers.Latest)}
	switch {
	case !ownKnown:
		return fromPeers, peersKnown
	case !peersKnown || both.Width() < 0: // on a contradiction the store's own answers win
		return own, true
	default:
		return both, true
	}
}

// recordClock records the bounds of the store's clock that another host reported; that host may not
// know them.
func (w *Watcher) recordClock(shown clock.Bounds, sent clock.Instant) {
	if shown.Earliest > 0 && shown.Latest >= shown.Earliest {
		w.storeClock.Observe(shown, sent, clock.Now())
	}
}

// State implements store.Watcher.
func (w *Watcher) State(ctx context.Context, table string) (store.State, error) {
	w.awaitHostList(ctx)
	update, err := w.readWhole(ctx, table)
	if err != nil {
		return store.State{}, err
	}
	return w.cached(table).replace(update), nil
}

// readWhole reads a whole table from other hosts or from the store. A host that has no state of the
// table yet accepts a stale one if there is no other.
func (w *Watcher) readWhole(ctx context.Context, table string) (tableUpdate, error) {
	stale := make(chan tableUpdate, peersTried+othersTried)
	sources := w.withWholeTableDelays(w.peerSources(table, -1, 0))
	sources = append(sources, source{hedgeDelay: directReadHedgeDelay, read: func(ctx context.Context) (tableUpdate, error) {
		return w.readDirectly(ctx, table, -1, 0)
	}})
	sources = append(sources, w.otherSources(table, -1)...)
	if !w.cached(table).isLoaded() {
		sources = keepStale(sources, stale)
	}
	update, _, err := hedgedRead(ctx, sources)
	if err == nil {
		return update, nil
	}
	select {
	case update := <-stale:
		w.options.Logger.Warn("only old state of a table is to be had", "table", table, "version", update.version, "age_ms", update.age.Milliseconds())
		return update, nil
	default:
		return tableUpdate{}, err
	}
}

// directReadHedgeDelay is how long to wait for the store before the remaining sources are asked:
// the time for some pages of a long table.
const directReadHedgeDelay = time.Second

// keepStale wraps sources so that updates that are rejected for their age are sent to stale, which
// must have room for all of them.
func keepStale(sources []source, stale chan<- tableUpdate) []source {
	kept := make([]source, len(sources))
	for i, s := range sources {
		kept[i] = s
		kept[i].read = func(ctx context.Context) (tableUpdate, error) {
			update, err := s.read(ctx)
			if err != nil && update.version > 0 {
				stale <- update
			}
			return update, err
		}
	}
	return kept
}

// cached returns the last state of a table that this host received.
func (w *Watcher) cached(table string) *cachedTable {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cachedLocked(table)
}

// cachedLocked is cached for callers that hold w.mu.
func (w *Watcher) cachedLocked(table string) *cachedTable {
	cached, ok := w.cachedTables[table]
	if !ok {
		cached = newCachedTable()
		w.cachedTables[table] = cached
	}
	return cached
}

// Changes implements store.Watcher. It returns no changes if another host ends the wait early.
func (w *Watcher) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	w.awaitHostList(ctx)
	wait = min(wait, w.options.peerWait())
	sources := append(w.peerSources(table, after, wait), w.otherSources(table, after)...)
	sources = append(sources, source{hedgeDelay: directReadHedgeDelay, read: func(ctx context.Context) (tableUpdate, error) {
		return w.readDirectly(ctx, table, after, 0)
	}})
	update, index, err := hedgedRead(ctx, sources)
	if err != nil {
		return nil, 0, err
	}
	if !w.cached(table).apply(update) {
		w.options.Logger.Warn("a removal was missed; reading the whole table", "table", table, "version", after)
		clock.Sleep(ctx, clock.Jitter(wholeReadPause))
		return nil, 0, errors.WithMessagef(store.ErrCompacted, "changes of %s", table)
	}
	if index > 0 && len(update.changes) == 0 {
		clock.Sleep(ctx, min(wait, pollInterval)) // only the first source was asked to wait for changes
	}
	return update.changes, max(after, update.version), nil
}

// wholeReadPause limits how often a whole table is read if its key hash keeps differing.
const wholeReadPause = 100 * time.Millisecond
