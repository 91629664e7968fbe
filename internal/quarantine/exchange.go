package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"quaybarrow/internal/clock"
)

const (
	// batchDelay is how long a host collects the connections that break at one crash, to report them
	// in one message.
	batchDelay = 20 * time.Millisecond
	// sendTimeout is ample for a small message between data halls; a host that is skipped because of
	// it learns of the rows when it compares its own with another host.
	sendTimeout = 500 * time.Millisecond
	// syncInterval is how often a host compares its rows with another host: hosts that were frozen
	// or partitioned must know within three seconds what others know.
	syncInterval  = 2 * time.Second
	maxSyncPeers  = 3
	sweepInterval = 30 * time.Second
)

// Member is another host.
type Member struct{ Name, Address string }

// Row is what one host has seen, in the encoded form.
type Row struct {
	Host    string
	Version int64 // grows with each change
	Value   []byte
}

// Update is a message from one host to another.
type Update struct {
	Versions map[string]int64 // of the rows that the sender has
	Compare  bool             // asks the receiver to return the rows that the sender lacks, by its Versions
	// Loaded means that with these rows the receiver knows all that hosts have sent and stored.
	Loaded bool
	Rows   []Row
	Scope  Scope // to which hosts the receiver forwards the rows
}

// PeerClient sends updates to other hosts.
type PeerClient interface {
	// Tell sends an update and returns what this host lacks.
	Tell(ctx context.Context, address string, u Update) (Update, error)
}

// Run evaluates new evidence, sends what this host has seen to other hosts and stores it, until the
// context ends.
func (t *Tracker) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, loop := range []func(context.Context){t.load, t.refreshLoop, t.publishLoop, t.relayLoop, t.syncLoop, t.persistLoop, t.sweepLoop, t.clearLoop} {
		running.Go(func() { loop(ctx) })
	}
}

// refreshLoop keeps the quarantine up to date even if no request asks: an ongoing response at this
// host may clear a request that other hosts would quarantine.
func (t *Tracker) refreshLoop(ctx context.Context) {
	for t.awaitRefresh(ctx) {
		clock.Sleep(ctx, batchDelay)
		t.mu.Lock()
		t.refresh()
		t.mu.Unlock()
	}
}

// awaitRefresh waits until the evidence changes or a known crash settles; it returns false if the
// context ends.
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

// publishLoop sends what this host has seen to all other hosts as soon as it changes.
func (t *Tracker) publishLoop(ctx context.Context) {
	for t.sendDue.Wait(ctx) {
		if !t.isLoaded() {
			continue // sent once it is loaded
		}
		clock.Sleep(ctx, batchDelay)
		t.sendDue.Clear()
		t.mu.Lock()
		rows := t.encodeRows([]string{t.options.Host})
		t.mu.Unlock()
		t.broadcast(ctx, rows, false)
	}
}

// sendAll sends an update to several hosts in parallel.
func (t *Tracker) sendAll(ctx context.Context, members []Member, u Update) {
	var sending sync.WaitGroup
	for _, m := range members {
		sending.Go(func() { t.send(ctx, m, u) })
	}
	sending.Wait()
}

// send sends an update to a host; it returns false if that host does not answer.
func (t *Tracker) send(ctx context.Context, m Member, u Update) bool {
	limited, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := t.options.Peers.Tell(limited, m.Address, u)
	if err != nil && ctx.Err() == nil {
		t.options.Logger.Info("crash evidence not sent to host", "peer", m.Name, "address", m.Address, "error", err)
	}
	return err == nil
}

// HandleUpdate merges an update and returns what the sender lacks; it is a Handler.
func (t *Tracker) HandleUpdate(_ context.Context, u Update) (Update, error) {
	t.mu.Lock()
	t.mergeUpdate(u)
	reply := Update{Versions: t.versions(), Loaded: t.loaded}
	if u.Compare {
		reply.Rows = t.encodeRows(t.newerThan(u.Versions))
	}
	t.mu.Unlock()
	t.relayQueue.add(u.Rows, u.Scope, u.Loaded)
	return reply, nil
}

// syncLoop periodically reconciles this host's rows with those of the next host.
func (t *Tracker) syncLoop(ctx context.Context) {
	for clock.Sleep(ctx, clock.Around(syncInterval)) {
		t.syncOnce(ctx)
	}
}

// syncOnce reconciles with the next host that answers.
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
	u := Update{Versions: t.versions(), Compare: true}
	t.mu.Unlock()
	reply, err := t.options.Peers.Tell(ctx, m.Address, u)
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

// sweepLoop periodically drops evidence that is too old to count.
func (t *Tracker) sweepLoop(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		t.Sweep()
	}
}

// mergeUpdate merges rows that are newer than the known ones, and rows that this host sent before a
// restart; the caller holds mu.
func (t *Tracker) mergeUpdate(u Update) {
	for _, received := range u.Rows {
		ownEarlier := received.Host == t.options.Host && !t.loaded
		if received.Version <= t.rows[received.Host].version && !ownEarlier {
			continue
		}
		r, err := decodeRecord(received.Value, -t.clock.Now())
		if err != nil {
			t.options.Logger.Error("crash evidence from a host can't be read", "from", received.Host, "version", received.Version, "error", err)
			continue
		}
		t.mergeRow(received.Host, row{r, received.Version})
	}
	if u.Loaded {
		t.markLoaded()
	}
}

// markLoaded notes that what hosts have sent and stored before is known; the caller holds mu.
func (t *Tracker) markLoaded() {
	if t.loaded {
		return
	}
	t.view() // earlier crashes count at once, without a settling delay
	t.loaded = true
	if !t.ownRow().isEmpty() {
		t.publish()
	}
}

// mergeRow merges a host's row. A row of this host itself is from before a restart, and its contents
// still count.
func (t *Tracker) mergeRow(host string, r row) {
	if host != t.options.Host {
		t.rows[host] = r
		t.invalidate()
		t.confirm(r.proves)
		return
	}
	own := t.ownRow()
	own.merge(r.record)
	own.version = max(own.version, r.version)
	t.rows[host] = own
	t.publish()
}

// versions returns the versions of the rows that are not empty and may be sent.
func (t *Tracker) versions() map[string]int64 {
	versions := map[string]int64{}
	for host, r := range t.rows {
		if !r.isEmpty() && (t.loaded || host != t.options.Host) {
			versions[host] = r.version
		}
	}
	return versions
}

// newerThan returns the hosts of which this host has newer rows.
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

// encodeRows encodes rows to be sent; their times are relative to now.
func (t *Tracker) encodeRows(hosts []string) []Row {
	rows := make([]Row, 0, len(hosts))
	for _, host := range hosts {
		r := t.rows[host]
		value, err := r.encode(-t.clock.Now())
		if err != nil {
			t.options.Logger.Error("crash evidence can't be encoded", "of", host, "error", err)
			continue
		}
		rows = append(rows, Row{Host: host, Version: r.version, Value: value})
	}
	return rows
}
