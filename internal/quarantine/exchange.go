package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"quaybarrow/internal/clock"
)

// Times of what hosts tell each other.
const (
	// batchDelay is how long what breaks at the same crash shares a message.
	batchDelay = 20 * time.Millisecond
	// sendTimeout is ample for a small message between data halls; who is passed over by it
	// hears when it compares what it has.
	sendTimeout = 500 * time.Millisecond
	// syncInterval is how often a host compares what it has with another: hosts that were
	// frozen or cut off have three seconds to know what others do.
	syncInterval  = 2 * time.Second
	maxSyncPeers  = 3
	sweepInterval = 30 * time.Second
)

// Member is another host.
type Member struct{ Name, Address string }

// Row is what a host has seen, as it is told.
type Row struct {
	Host    string
	Version int64 // grows with each change
	Value   []byte
}

// Update is what one host tells another.
type Update struct {
	Versions map[string]int64 // of the rows that the sender has
	Compare  bool             // the receiver is to return what the sender lacks by them
	// Loaded tells that with the rows the receiver knows all that hosts have told and kept.
	Loaded bool
	Rows   []Row
	Scope  Scope // to which hosts the receiver passes the rows on
}

// PeerClient sends news to other hosts.
type PeerClient interface {
	// Tell brings news and returns what this host lacks.
	Tell(ctx context.Context, address string, n Update) (Update, error)
}

// Run judges what comes to be known, tells other hosts what this one has seen and keeps it, as
// long as the context lasts.
func (t *Tracker) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, loop := range []func(context.Context){t.load, t.refreshLoop, t.publishLoop, t.relayLoop, t.syncLoop, t.persistLoop, t.sweepLoop} {
		running.Go(func() { loop(ctx) })
	}
}

// refreshLoop brings the verdicts up to date though no request asks: an answer that goes on here may
// clear a request that others take for guilty.
func (t *Tracker) refreshLoop(ctx context.Context) {
	for t.awaitRefresh(ctx) {
		clock.Sleep(ctx, batchDelay)
		t.mu.Lock()
		t.refresh()
		t.mu.Unlock()
	}
}

// awaitRefresh waits for other evidence, or until some that is known counts; false if the context ends.
func (t *Tracker) awaitRefresh(ctx context.Context) bool {
	t.mu.Lock()
	wait := t.nextSettles - t.clock.Now()
	t.mu.Unlock()
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.evidenceChanged:
	case <-timer.C:
	}
	return true
}

// publishLoop tells all other hosts what this one has seen, as soon as there is something.
func (t *Tracker) publishLoop(ctx context.Context) {
	for t.sendDue.Await(ctx) {
		if !t.isLoaded() {
			continue // it is told then
		}
		clock.Sleep(ctx, batchDelay)
		t.sendDue.Drain()
		t.mu.Lock()
		rows := t.encodeRows([]string{t.options.Host})
		t.mu.Unlock()
		t.broadcast(ctx, rows, false)
	}
}

// sendAll sends the same to some hosts at once.
func (t *Tracker) sendAll(ctx context.Context, members []Member, n Update) {
	var sending sync.WaitGroup
	for _, m := range members {
		sending.Go(func() { t.send(ctx, m, n) })
	}
	sending.Wait()
}

// send sends to a host; false if it does not answer.
func (t *Tracker) send(ctx context.Context, m Member, n Update) bool {
	limited, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := t.options.Peers.Tell(limited, m.Address, n)
	if err != nil && ctx.Err() == nil {
		t.options.Logger.Info("host not told of a crash", "peer", m.Name, "address", m.Address, "error", err)
	}
	return err == nil
}

// HandleUpdate takes in news and returns what the sender lacks; it is a HandleUpdate.
func (t *Tracker) HandleUpdate(_ context.Context, n Update) (Update, error) {
	t.mu.Lock()
	t.mergeUpdate(n)
	reply := Update{Versions: t.versions(), Loaded: t.loaded}
	if n.Compare {
		reply.Rows = t.encodeRows(t.newerThan(n.Versions))
	}
	t.mu.Unlock()
	t.relayQueue.add(n.Rows, n.Scope, n.Loaded)
	return reply, nil
}

// syncLoop has what this host has and what the next one has become the same, now and then.
func (t *Tracker) syncLoop(ctx context.Context) {
	for clock.Sleep(ctx, clock.Around(syncInterval)) {
		t.syncOnce(ctx)
	}
}

// syncOnce compares with the next host that answers.
func (t *Tracker) syncOnce(ctx context.Context) {
	members := t.options.Members()
	for _, m := range members[:min(maxSyncPeers, len(members))] {
		if t.syncWith(ctx, m) == nil {
			return
		}
	}
}

func (t *Tracker) syncWith(ctx context.Context, m Member) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	t.mu.Lock()
	n := Update{Versions: t.versions(), Compare: true}
	t.mu.Unlock()
	reply, err := t.options.Peers.Tell(ctx, m.Address, n)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.mergeUpdate(reply)
	missing := t.encodeRows(t.newerThan(reply.Versions))
	t.mu.Unlock()
	if len(missing) == 0 {
		return nil
	}
	_, err = t.options.Peers.Tell(ctx, m.Address, Update{Rows: missing, Loaded: t.isLoaded()})
	return err
}

// sweepLoop drops what is too old to count, now and then.
func (t *Tracker) sweepLoop(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		t.Sweep()
	}
}

// mergeUpdate takes in rows that are newer than those that are known, and what this host told in an earlier
// life; the caller holds mu.
func (t *Tracker) mergeUpdate(n Update) {
	for _, received := range n.Rows {
		ownEarlier := received.Host == t.options.Host && !t.loaded
		if received.Version <= t.rows[received.Host].version && !ownEarlier {
			continue
		}
		r, err := decodeRecord(received.Value, -t.clock.Now())
		if err != nil {
			t.options.Logger.Error("what a host told of crashes can't be read", "from", received.Host, "version", received.Version, "error", err)
			continue
		}
		t.mergeRow(received.Host, row{r, received.Version})
	}
	if n.Loaded {
		t.markLoaded()
	}
}

// markLoaded notes that what hosts have told and kept is known; the caller holds mu.
func (t *Tracker) markLoaded() {
	if t.loaded {
		return
	}
	t.view() // what was known before counts at once
	t.loaded = true
	if !t.ownRow().isEmpty() {
		t.publish()
	}
}

// mergeRow takes in a host's row. One of this host is from an earlier life: what it saw counts
// on.
func (t *Tracker) mergeRow(host string, r row) {
	if host != t.options.Host {
		t.rows[host] = r
		t.invalidate()
		return
	}
	own := t.ownRow()
	own.merge(r.record)
	own.version = max(own.version, r.version)
	t.rows[host] = own
	t.publish()
}

// versions are those of the rows that have something, and may be told.
func (t *Tracker) versions() map[string]int64 {
	versions := map[string]int64{}
	for host, r := range t.rows {
		if !r.isEmpty() && (t.loaded || host != t.options.Host) {
			versions[host] = r.version
		}
	}
	return versions
}

// newerThan lists the hosts of whose rows this host has newer ones.
func (t *Tracker) newerThan(known map[string]int64) []string {
	var newer []string
	for host, version := range t.versions() {
		if version > known[host] {
			newer = append(newer, host)
		}
	}
	slices.Sort(newer)
	return newer
}

// encodeRows makes rows to be told; times in them are relative to now.
func (t *Tracker) encodeRows(hosts []string) []Row {
	rows := make([]Row, 0, len(hosts))
	for _, host := range hosts {
		r := t.rows[host]
		value, err := r.encode(-t.clock.Now())
		if err != nil {
			t.options.Logger.Error("what was seen of crashes can't be told", "of", host, "error", err)
			continue
		}
		rows = append(rows, Row{Host: host, Version: r.version, Value: value})
	}
	return rows
}
