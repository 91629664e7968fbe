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
	// gather is how long what breaks at the same crash shares a message.
	gather = 20 * time.Millisecond
	// tellTimeout is ample for a small message between data halls; who is passed over by it
	// hears when it compares what it has.
	tellTimeout = 500 * time.Millisecond
	// compareEvery is how often a host compares what it has with another: hosts that were
	// frozen or cut off have three seconds to know what others do.
	compareEvery = 2 * time.Second
	compareTries = 3
	sweepEvery   = 30 * time.Second
)

// Member is another host.
type Member struct{ Name, Address string }

// Row is what a host has seen, as it is told.
type Row struct {
	Host    string
	Version int64 // grows with each change
	Value   []byte
}

// News is what one host tells another.
type News struct {
	Versions map[string]int64 // of the rows that the sender has
	Compare  bool             // the receiver is to return what the sender lacks by them
	// Loaded tells that with the rows the receiver knows all that hosts have told and kept.
	Loaded bool
	Rows   []Row
	Scope  Scope // to which hosts the receiver passes the rows on
}

// Caller sends news to other hosts.
type Caller interface {
	// Tell brings news and returns what this host lacks.
	Tell(ctx context.Context, address string, n News) (News, error)
}

// Run judges what comes to be known, tells other hosts what this one has seen and keeps it, as
// long as the context lasts.
func (b *Book) Run(ctx context.Context) {
	var working sync.WaitGroup
	defer working.Wait()
	for _, work := range []func(context.Context){b.load, b.review, b.push, b.pass, b.compare, b.keep, b.sweep} {
		working.Go(func() { work(ctx) })
	}
}

// review brings the verdicts up to date though no request asks: an answer that goes on here may
// clear a request that others take for guilty.
func (b *Book) review(ctx context.Context) {
	for b.awaitReview(ctx) {
		clock.Sleep(ctx, gather)
		b.mu.Lock()
		b.judge()
		b.mu.Unlock()
	}
}

// awaitReview waits for other evidence, or until some that is known counts; false if the context ends.
func (b *Book) awaitReview(ctx context.Context) bool {
	b.mu.Lock()
	wait := b.settles - b.clock.Now()
	b.mu.Unlock()
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-b.news:
	case <-timer.C:
	}
	return true
}

// push tells all other hosts what this one has seen, as soon as there is something.
func (b *Book) push(ctx context.Context) {
	for b.due.Wait(ctx) {
		if !b.isLoaded() {
			continue // it is told then
		}
		clock.Sleep(ctx, gather)
		b.due.Clear()
		b.mu.Lock()
		rows := b.encoded([]string{b.options.Host})
		b.mu.Unlock()
		b.spread(ctx, rows, false)
	}
}

// tellAll sends the same to some hosts at once.
func (b *Book) tellAll(ctx context.Context, members []Member, n News) {
	var telling sync.WaitGroup
	for _, m := range members {
		telling.Go(func() { b.tellOne(ctx, m, n) })
	}
	telling.Wait()
}

// tellOne sends to a host; false if it does not answer.
func (b *Book) tellOne(ctx context.Context, m Member, n News) bool {
	limited, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	_, err := b.options.Caller.Tell(limited, m.Address, n)
	if err != nil && ctx.Err() == nil {
		b.options.Logger.Info("host not told of a crash", "peer", m.Name, "address", m.Address, "error", err)
	}
	return err == nil
}

// Hear takes in news and returns what the sender lacks; it is a Hear.
func (b *Book) Hear(_ context.Context, n News) (News, error) {
	b.mu.Lock()
	b.take(n)
	reply := News{Versions: b.versions(), Loaded: b.loaded}
	if n.Compare {
		reply.Rows = b.encoded(b.newerThan(n.Versions))
	}
	b.mu.Unlock()
	b.relays.add(n.Rows, n.Scope, n.Loaded)
	return reply, nil
}

// compare has what this host has and what the next one has become the same, now and then.
func (b *Book) compare(ctx context.Context) {
	for clock.Sleep(ctx, clock.Around(compareEvery)) {
		b.compareOnce(ctx)
	}
}

// compareOnce compares with the next host that answers.
func (b *Book) compareOnce(ctx context.Context) {
	members := b.options.Members()
	for _, m := range members[:min(compareTries, len(members))] {
		if b.compareWith(ctx, m) == nil {
			return
		}
	}
}

func (b *Book) compareWith(ctx context.Context, m Member) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	b.mu.Lock()
	n := News{Versions: b.versions(), Compare: true}
	b.mu.Unlock()
	reply, err := b.options.Caller.Tell(ctx, m.Address, n)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.take(reply)
	lacking := b.encoded(b.newerThan(reply.Versions))
	b.mu.Unlock()
	if len(lacking) == 0 {
		return nil
	}
	_, err = b.options.Caller.Tell(ctx, m.Address, News{Rows: lacking, Loaded: b.isLoaded()})
	return err
}

// sweep drops what is too old to count, now and then.
func (b *Book) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepEvery) {
		b.Sweep()
	}
}

// take takes in rows that are newer than those that are known, and what this host told in an earlier
// life; the caller holds mu.
func (b *Book) take(n News) {
	for _, told := range n.Rows {
		earlier := told.Host == b.options.Host && !b.loaded
		if told.Version <= b.rows[told.Host].version && !earlier {
			continue
		}
		r, err := decodeRecord(told.Value, -b.clock.Now())
		if err != nil {
			b.options.Logger.Error("what a host told of crashes can't be read", "from", told.Host, "version", told.Version, "error", err)
			continue
		}
		b.takeRow(told.Host, row{r, told.Version})
	}
	if n.Loaded {
		b.learned()
	}
}

// learned notes that what hosts have told and kept is known; the caller holds mu.
func (b *Book) learned() {
	if b.loaded {
		return
	}
	b.seen() // what was known before counts at once
	b.loaded = true
	if !b.own().isEmpty() {
		b.tell()
	}
}

// takeRow takes in a host's row. One of this host is from an earlier life: what it saw counts
// on.
func (b *Book) takeRow(host string, r row) {
	if host != b.options.Host {
		b.rows[host] = r
		b.changed()
		return
	}
	mine := b.own()
	mine.merge(r.record)
	mine.version = max(mine.version, r.version)
	b.rows[host] = mine
	b.tell()
}

// versions are those of the rows that have something, and may be told.
func (b *Book) versions() map[string]int64 {
	versions := map[string]int64{}
	for host, r := range b.rows {
		if !r.isEmpty() && (b.loaded || host != b.options.Host) {
			versions[host] = r.version
		}
	}
	return versions
}

// newerThan lists the hosts of whose rows this host has newer ones.
func (b *Book) newerThan(known map[string]int64) []string {
	var newer []string
	for host, version := range b.versions() {
		if version > known[host] {
			newer = append(newer, host)
		}
	}
	slices.Sort(newer)
	return newer
}

// encoded makes rows to be told; times in them are relative to now.
func (b *Book) encoded(hosts []string) []Row {
	rows := make([]Row, 0, len(hosts))
	for _, host := range hosts {
		r := b.rows[host]
		value, err := r.encode(-b.clock.Now())
		if err != nil {
			b.options.Logger.Error("what was seen of crashes can't be told", "of", host, "error", err)
			continue
		}
		rows = append(rows, Row{Host: host, Version: r.version, Value: value})
	}
	return rows
}
