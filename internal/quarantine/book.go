package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
	"quaybarrow/internal/wake"
)

// Times of what a host knows.
const (
	// rememberedFor is how long a crash speaks against those that ran there. A request in
	// quarantine is let go an hour after its last crash: whoever runs the endpoints may have
	// mended them by then, and if not, three crashes an hour are what it costs.
	rememberedFor = time.Hour
	// unprovenFor is how long a broken connection waits for a proof by the list that its
	// endpoint has crashed: three heartbeats, and two hops.
	unprovenFor = 6 * time.Second
)

// Options set up a Book.
type Options struct {
	Host string
	// Reach opens a connection to an endpoint that may have crashed.
	Reach Reach
	// Endpoints counts those of a service.
	Endpoints func(service string) int
	// Members are the other hosts, the next in an order that all of them agree on first; Caller
	// sends to them. Nil for a host alone.
	Members func() []Member
	Caller  Caller
	// Leads reports whether this host is the first of all, which reads for the others what hosts
	// have kept; nil for a host alone.
	Leads func() bool
	// First tells that all hosts start for the first time: nothing was kept before.
	First bool
	// Tables keep what hosts have seen for those that start; Now is the clock that all share,
	// false while it is not known. Without one what was kept counts as old as it was then.
	Tables store.Tables
	Now    func() (time.Duration, bool)
	Logger *log.Logger
}

// Book is what a host knows of requests under which endpoints crash: what it saw itself and
// what others told; safe for use at once.
type Book struct {
	options  Options
	witness  *Witness
	clock    clock.Steady
	watching atomic.Bool // something has crashed lately
	news     wake.Signal // there is other evidence
	due      wake.Signal // there is something to tell other hosts
	save     wake.Signal // there may be something to keep
	relays   *relays

	mu       sync.Mutex     // guards all below
	rows     map[string]row // by host; always one of this host
	view     *view          // of all that; nil if it has changed since
	unproven map[string][]Break
	ongoing  map[*Ongoing]struct{}
	verdicts map[Fingerprint]Verdict
	judged   bool // verdicts stand on the view
	// heard has each crash, by the endpoint's start, as it was known last, and since when; settles is when the
	// next one settles.
	heard   map[string]Crash
	settles time.Duration
	kept    bool // the store has a row of this host
	// loaded tells that what hosts have told and kept is known, this one's earlier lives included.
	// Until then it tells and keeps nothing of its own: that would take the place of what it told
	// before.
	loaded bool
}

// row is what a host has seen.
type row struct {
	record
	version int64 // grows with each change
}

// view is all evidence that a host has.
type view struct {
	Evidence
	counts map[Fingerprint]int // crashes, by those that were there
}

// NewBook returns a book of a host that has seen nothing.
func NewBook(options Options) *Book {
	if options.Members == nil {
		options.Members = func() []Member { return nil }
	}
	return &Book{
		options: options, witness: NewWitness(options.Reach), clock: clock.NewSteady(),
		news: wake.NewSignal(), due: wake.NewSignal(), save: wake.NewSignal(), relays: newRelays(),
		rows: map[string]row{options.Host: {record: newRecord()}}, unproven: map[string][]Break{}, ongoing: map[*Ongoing]struct{}{},
		verdicts: map[Fingerprint]Verdict{}, heard: map[string]Crash{}, settles: never, loaded: options.First,
	}
}

// own is what this host has seen.
func (b *Book) own() row { return b.rows[b.options.Host] }

// Watching reports whether endpoints have crashed lately. While none has, no request needs a
// fingerprint.
func (b *Book) Watching() bool { return b.watching.Load() }

// Break is the end of an attempt whose connection broke.
type Break struct {
	Endpoint string // its start
	Address  string
	Service  string
	Request  Fingerprint
	Run      Run

	at time.Duration // when it was told, while it is not known whether the endpoint crashed
}

// crash is the endpoint's, if it did.
func (k Break) crash(at time.Duration) Crash {
	return Crash{Endpoint: k.Endpoint, Service: k.Service, At: at, Under: map[Fingerprint]Run{k.Request: k.Run}}
}

// Broke finds out whether the endpoint has crashed, and if so takes it in; false also if that
// is not known yet. It waits for the proof for a short while.
func (b *Book) Broke(ctx context.Context, k Break) bool {
	k.at = b.clock.Now()
	crashed := b.witness.Crashed(ctx, k.Endpoint, k.Address)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !crashed {
		b.unproven[k.Endpoint] = append(b.unproven[k.Endpoint], k)
		return false
	}
	k.Run.Copies = b.copies(k.Request)
	b.crashed(k.crash(k.at))
	return true
}

// Gone takes in that an endpoint's start is listed no more though it was not to leave. If
// nothing listens at its address either, what broke off there a moment ago crashed with it; one
// that leaves without notice serves on for a while.
func (b *Book) Gone(ctx context.Context, endpoint string) {
	b.mu.Lock()
	runs := b.unproven[endpoint]
	b.mu.Unlock()
	if len(runs) > 0 && b.witness.refuses(ctx, runs[0].Address) {
		b.prove(func(k Break) bool { return k.Endpoint == endpoint })
	}
}

// Listed takes in that an endpoint's start is listed at an address: any other that was there has
// ended, and what broke off there a moment ago crashed with it.
func (b *Book) Listed(endpoint, address string) {
	b.prove(func(k Break) bool { return k.Address == address && k.Endpoint != endpoint })
}

// prove takes in crashes of endpoints at which connections broke a moment ago.
func (b *Book) prove(crashed func(k Break) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for endpoint, runs := range b.unproven {
		if !crashed(runs[0]) {
			continue
		}
		for _, k := range runs {
			if b.clock.Now()-k.at <= unprovenFor {
				b.crashed(k.crash(k.at))
			}
		}
		delete(b.unproven, endpoint)
	}
}

// crashed takes in a crash that this host saw.
func (b *Book) crashed(c Crash) {
	b.own().add(c)
	b.tell()
}

// changed notes that there is other evidence.
func (b *Book) changed() {
	b.view, b.judged = nil, false
	b.watching.Store(slices.ContainsFunc(slices.Collect(maps.Values(b.rows)), func(r row) bool { return !r.isEmpty() }))
	b.news.Notify()
}

// tell notes that there is other evidence which others have to know.
func (b *Book) tell() {
	mine := b.own()
	mine.version++
	if shared, known := b.options.now(); known { // goes on from an earlier life of the host
		mine.version = max(mine.version, shared.Milliseconds())
	}
	b.rows[b.options.Host] = mine
	b.changed()
	b.due.Notify()
	b.save.Notify()
}

// now is the clock that all hosts share.
func (o Options) now() (time.Duration, bool) {
	if o.Now == nil {
		return 0, false
	}
	return o.Now()
}

// Finished takes in that a request came to a good end: the endpoint that ran it lives.
func (b *Book) Finished(f Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finish(f, b.clock.Now(), "it came to a good end")
}

// Lift takes a request out of quarantine by order of an operator; false if it is not there.
func (b *Book) Lift(f Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judge()
	if _, held := b.verdicts[f]; !held {
		return false
	}
	b.finish(f, b.clock.Now(), "by order of an operator")
	b.judge()
	return true
}

// finish clears a request of what crashed beside it. Others hear of it where it matters: a
// crash more would take it for guilty.
func (b *Book) finish(f Fingerprint, at time.Duration, reason string) {
	moments := b.seen().of(f).moments
	if moments == 0 {
		return
	}
	b.own().finish(f, at)
	b.changed()
	if moments >= crashesLeast-1 {
		b.options.Logger.Info("request cleared", "fingerprint", f, "crashes", moments, "reason", reason)
		b.tell()
	}
}

// Standing returns what is known of a request.
func (b *Book) Standing(f Fingerprint) Standing {
	if !b.Watching() {
		return Standing{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judge()
	_, held := b.verdicts[f]
	s := b.seen().of(f)
	return Standing{Quarantined: held, Moments: s.moments, Chance: s.Chance, Crashed: len(s.crashed), Beside: s.beside}
}

// ago is how long ago a moment of the book's clock was.
func (b *Book) ago(at time.Duration) time.Duration { return b.clock.Now() - at }

// seen is what this host saw and others told, in the order of time.
func (b *Book) seen() *view {
	if b.view != nil {
		return b.view
	}
	all := newRecord()
	for _, r := range b.rows {
		all.merge(r.record)
	}
	crashes := sortedCrashes(all)
	b.hear(crashes)
	b.view = &view{
		Evidence: Evidence{Crashes: crashes, Finished: all.finished, Endpoints: b.options.Endpoints}, counts: suspects(crashes, 1),
	}
	return b.view
}

// hear notes in crashes since when as much is known of each. What a host learns as it starts is taken to be
// complete.
func (b *Book) hear(crashes []Crash) {
	now, heard := b.clock.Now(), make(map[string]Crash, len(crashes))
	for i, c := range crashes {
		known, ok := b.heard[c.Endpoint]
		switch {
		case !b.loaded:
			c.Heard = c.At
		case ok && !c.adds(known):
			c.Heard = known.Heard
		default:
			c.Heard = now
		}
		crashes[i], heard[c.Endpoint] = c, c
	}
	b.heard = heard
}

// of is what speaks against a request since it last came to a good end.
func (v *view) of(f Fingerprint) suspicion {
	if v.counts[f] == 0 {
		return suspicion{}
	}
	return v.suspect(f, v.Crashes)
}

// judge brings the verdicts up to date.
func (b *Book) judge() {
	if b.judged && b.clock.Now() < b.settles {
		return
	}
	b.forget()
	b.outlast()
	b.news.Clear()
	before := b.verdicts
	v := b.seen()
	e := v.Evidence
	e.Held, e.Now = before, b.clock.Now()
	b.verdicts, b.judged, b.settles = Review(e), true, e.nextSettled()
	for f, d := range b.verdicts {
		if _, known := before[f]; !known {
			b.options.Logger.Warn("request quarantined", "fingerprint", f, "of", v.whose(f), "crashes", d.Crashes, "chance", d.Chance,
				"first_ms_ago", b.ago(d.First).Milliseconds(), "last_ms_ago", b.ago(d.Last).Milliseconds(), "crashes_known", len(v.Crashes), "hosts", len(b.rows))
		}
	}
	for f := range before {
		if _, held := b.verdicts[f]; !held {
			b.options.Logger.Info("request let out of quarantine", "fingerprint", f)
		}
	}
}

// forget drops what is too old to count.
func (b *Book) forget() {
	oldest := b.clock.Now() - rememberedFor
	held := func(f Fingerprint) bool { _, ok := b.verdicts[f]; return ok }
	for host, r := range b.rows {
		r.trim(oldest, held)
		if r.isEmpty() && host != b.options.Host {
			delete(b.rows, host)
		}
	}
	b.changed()
	if b.kept && b.own().isEmpty() {
		b.save.Notify() // the row goes
	}
}

// Sweep drops what is too old to count, though nothing new comes.
func (b *Book) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	maps.DeleteFunc(b.unproven, func(_ string, runs []Break) bool { return now-runs[len(runs)-1].at > unprovenFor })
	if b.Watching() {
		b.judged = false
		b.judge()
	}
}
