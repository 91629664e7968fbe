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
	// crashTTL is how long a crash speaks against those that ran there. A request in
	// quarantine is let go an hour after its last crash: whoever runs the endpoints may have
	// mended them by then, and if not, three crashes an hour are what it costs.
	crashTTL = time.Hour
	// unconfirmedTTL is how long a broken connection waits for a proof by the list that its
	// endpoint has crashed: three heartbeats, and two hops.
	unconfirmedTTL = 6 * time.Second
)

// Options set up a Book.
type Options struct {
	Host string
	// Probe opens a connection to an endpoint that may have crashed.
	Probe ProbeFunc
	// CountEndpoints counts those of a service.
	CountEndpoints func(service string) int
	// Members are the other hosts, the next in an order that all of them agree on first; Caller
	// sends to them. Nil for a host alone.
	Members func() []Member
	Peers   PeerClient
	// IsFirstHost reports whether this host is the first of all, which reads for the others what hosts
	// have kept; nil for a host alone.
	IsFirstHost func() bool
	// FreshStart tells that all hosts start for the first time: nothing was kept before.
	FreshStart bool
	// Tables keep what hosts have seen for those that start; Now is the clock that all share,
	// false while it is not known. Without one what was kept counts as old as it was then.
	Tables    store.Tables
	SharedNow func() (time.Duration, bool)
	Logger    *log.Logger
}

// Tracker is what a host knows of requests under which endpoints crash: what it saw itself and
// what others told; safe for use at once.
type Tracker struct {
	options         Options
	detector        *CrashDetector
	clock           clock.Steady
	hasEvidence     atomic.Bool // something has crashed lately
	evidenceChanged wake.Signal // there is other evidence
	sendDue         wake.Signal // there is something to tell other hosts
	persistDue      wake.Signal // there may be something to keep
	relayQueue      *relayQueue

	mu          sync.Mutex     // guards all below
	rows        map[string]row // by host; always one of this host
	merged      *mergedView    // of all that; nil if it has changed since
	unconfirmed map[string][]BrokenAttempt
	ongoing     map[*OngoingResponse]struct{}
	quarantined map[Fingerprint]Attribution
	upToDate    bool // verdicts stand on the view
	// lastKnown has each crash, by the endpoint's start, as it was known last, and since when; settles is when the
	// next one settles.
	lastKnown   map[string]Crash
	nextSettles time.Duration
	stored      bool // the store has a row of this host
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

// mergedView is all evidence that a host has.
type mergedView struct {
	Evidence
	crashCounts map[Fingerprint]int // crashes, by those that were there
}

// NewTracker returns a book of a host that has seen nothing.
func NewTracker(options Options) *Tracker {
	if options.Members == nil {
		options.Members = func() []Member { return nil }
	}
	return &Tracker{
		options: options, detector: NewCrashDetector(options.Probe), clock: clock.NewSteady(),
		evidenceChanged: wake.NewSignal(), sendDue: wake.NewSignal(), persistDue: wake.NewSignal(), relayQueue: newRelayQueue(),
		rows: map[string]row{options.Host: {record: newRecord()}}, unconfirmed: map[string][]BrokenAttempt{}, ongoing: map[*OngoingResponse]struct{}{},
		quarantined: map[Fingerprint]Attribution{}, lastKnown: map[string]Crash{}, nextSettles: never, loaded: options.FreshStart,
	}
}

// ownRow is what this host has seen.
func (t *Tracker) ownRow() row { return t.rows[t.options.Host] }

// HasEvidence reports whether endpoints have crashed lately. While none has, no request needs a
// fingerprint.
func (t *Tracker) HasEvidence() bool { return t.hasEvidence.Load() }

// BrokenAttempt is the end of an attempt whose connection broke.
type BrokenAttempt struct {
	Endpoint string // its start
	Address  string
	Service  string
	Request  Fingerprint
	Run      Run

	reportedAt time.Duration // when it was told, while it is not known whether the endpoint crashed
}

// crash is the endpoint's, if it did.
func (a BrokenAttempt) crash(at time.Duration) Crash {
	return Crash{Endpoint: a.Endpoint, Service: a.Service, At: at, Runs: map[Fingerprint]Run{a.Request: a.Run}}
}

// ConnectionBroke finds out whether the endpoint has crashed, and if so takes it in; false also if that
// is not known yet. It waits for the proof for a short while.
func (t *Tracker) ConnectionBroke(ctx context.Context, a BrokenAttempt) bool {
	a.reportedAt = t.clock.Now()
	crashed := t.detector.Crashed(ctx, a.Endpoint, a.Address)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !crashed {
		t.unconfirmed[a.Endpoint] = append(t.unconfirmed[a.Endpoint], a)
		return false
	}
	a.Run.Copies = t.countOngoing(a.Request)
	t.recordCrash(a.crash(a.reportedAt))
	return true
}

// EndpointGone takes in that an endpoint's start is listed no more though it was not to leave. If
// nothing listens at its address either, what broke off there a moment ago crashed with it; one
// that leaves without notice serves on for a while.
func (t *Tracker) EndpointGone(ctx context.Context, endpoint string) {
	t.mu.Lock()
	attempts := t.unconfirmed[endpoint]
	t.mu.Unlock()
	if len(attempts) > 0 && t.detector.refusesConnections(ctx, attempts[0].Address) {
		t.confirm(func(a BrokenAttempt) bool { return a.Endpoint == endpoint })
	}
}

// EndpointListed takes in that an endpoint's start is listed at an address: any other that was there has
// ended, and what broke off there a moment ago crashed with it.
func (t *Tracker) EndpointListed(endpoint, address string) {
	t.confirm(func(a BrokenAttempt) bool { return a.Address == address && a.Endpoint != endpoint })
}

// confirm takes in crashes of endpoints at which connections broke a moment ago.
func (t *Tracker) confirm(crashed func(a BrokenAttempt) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, attempts := range t.unconfirmed {
		if !crashed(attempts[0]) {
			continue
		}
		for _, a := range attempts {
			if t.clock.Now()-a.reportedAt <= unconfirmedTTL {
				t.recordCrash(a.crash(a.reportedAt))
			}
		}
		delete(t.unconfirmed, endpoint)
	}
}

// recordCrash takes in a crash that this host saw.
func (t *Tracker) recordCrash(c Crash) {
	t.ownRow().add(c)
	t.publish()
}

// invalidate notes that there is other evidence.
func (t *Tracker) invalidate() {
	t.merged, t.upToDate = nil, false
	t.hasEvidence.Store(slices.ContainsFunc(slices.Collect(maps.Values(t.rows)), func(r row) bool { return !r.isEmpty() }))
	t.evidenceChanged.Poke()
}

// publish notes that there is other evidence which others have to know.
func (t *Tracker) publish() {
	own := t.ownRow()
	own.version++
	if shared, known := t.options.sharedNow(); known { // goes on from an earlier life of the host
		own.version = max(own.version, shared.Milliseconds())
	}
	t.rows[t.options.Host] = own
	t.invalidate()
	t.sendDue.Poke()
	t.persistDue.Poke()
}

// sharedNow is the clock that all hosts share.
func (o Options) sharedNow() (time.Duration, bool) {
	if o.SharedNow == nil {
		return 0, false
	}
	return o.SharedNow()
}

// RequestCompleted takes in that a request came to a good end: the endpoint that ran it lives.
func (t *Tracker) RequestCompleted(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clearRequest(f, t.clock.Now(), "it came to a good end")
}

// Release takes a request out of quarantine by order of an operator; false if it is not there.
func (t *Tracker) Release(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if _, held := t.quarantined[f]; !held {
		return false
	}
	t.clearRequest(f, t.clock.Now(), "by order of an operator")
	t.refresh()
	return true
}

// clearRequest clears a request of what crashed beside it. Others hear of it where it matters: a
// crash more would take it for guilty.
func (t *Tracker) clearRequest(f Fingerprint, at time.Duration, reason string) {
	moments := t.view().assessRequest(f).moments
	if moments == 0 {
		return
	}
	t.ownRow().complete(f, at)
	t.invalidate()
	if moments >= minMoments-1 {
		t.options.Logger.Info("request cleared", "fingerprint", f, "crashes", moments, "reason", reason)
		t.publish()
	}
}

// Status returns what is known of a request.
func (t *Tracker) Status(f Fingerprint) Status {
	if !t.HasEvidence() {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	_, held := t.quarantined[f]
	s := t.view().assessRequest(f)
	return Status{Quarantined: held, Moments: s.moments, Chance: s.Chance, Crashed: len(s.crashed), Beside: s.otherCrashes}
}

// since is how long since a moment of the book's clock was.
func (t *Tracker) since(at time.Duration) time.Duration { return t.clock.Now() - at }

// view is what this host saw and others told, in the order of time.
func (t *Tracker) view() *mergedView {
	if t.merged != nil {
		return t.merged
	}
	all := newRecord()
	for _, r := range t.rows {
		all.merge(r.record)
	}
	crashes := sortedCrashes(all)
	t.stampUpdates(crashes)
	t.merged = &mergedView{
		Evidence: Evidence{Crashes: crashes, Completed: all.completed, CountEndpoints: t.options.CountEndpoints}, crashCounts: countCrashes(crashes, 1),
	}
	return t.merged
}

// stampUpdates notes in crashes since when as much is known of each. What a host learns as it starts is taken to be
// complete.
func (t *Tracker) stampUpdates(crashes []Crash) {
	now, heard := t.clock.Now(), make(map[string]Crash, len(crashes))
	for i, c := range crashes {
		known, ok := t.lastKnown[c.Endpoint]
		switch {
		case !t.loaded:
			c.UpdatedAt = c.At
		case ok && !c.addsTo(known):
			c.UpdatedAt = known.UpdatedAt
		default:
			c.UpdatedAt = now
		}
		crashes[i], heard[c.Endpoint] = c, c
	}
	t.lastKnown = heard
}

// assessRequest is what speaks against a request since it last came to a good end.
func (v *mergedView) assessRequest(f Fingerprint) assessment {
	if v.crashCounts[f] == 0 {
		return assessment{}
	}
	return v.assess(f, v.Crashes)
}

// refresh brings the verdicts up to date.
func (t *Tracker) refresh() {
	if t.upToDate && t.clock.Now() < t.nextSettles {
		return
	}
	t.dropExpired()
	t.clearOutlasting()
	t.evidenceChanged.Drain()
	before := t.quarantined
	v := t.view()
	e := v.Evidence
	e.Quarantined, e.Now = before, t.clock.Now()
	t.quarantined, t.upToDate, t.nextSettles = AttributePartial(e), true, e.nextSettles()
	for f, attribution := range t.quarantined {
		if _, known := before[f]; !known {
			t.options.Logger.Warn("request quarantined", "fingerprint", f, "of", v.label(f), "crashes", attribution.Crashes, "chance", attribution.Chance,
				"first_ms_ago", t.since(attribution.First).Milliseconds(), "last_ms_ago", t.since(attribution.Last).Milliseconds(), "crashes_known", len(v.Crashes), "hosts", len(t.rows))
		}
	}
	for f := range before {
		if _, held := t.quarantined[f]; !held {
			t.options.Logger.Info("request let out of quarantine", "fingerprint", f)
		}
	}
}

// dropExpired drops what is too old to count.
func (t *Tracker) dropExpired() {
	oldest := t.clock.Now() - crashTTL
	isQuarantined := func(f Fingerprint) bool { _, ok := t.quarantined[f]; return ok }
	for host, r := range t.rows {
		r.trim(oldest, isQuarantined)
		if r.isEmpty() && host != t.options.Host {
			delete(t.rows, host)
		}
	}
	t.invalidate()
	if t.stored && t.ownRow().isEmpty() {
		t.persistDue.Poke() // the row goes
	}
}

// Sweep drops what is too old to count, though nothing new comes.
func (t *Tracker) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	maps.DeleteFunc(t.unconfirmed, func(_ string, runs []BrokenAttempt) bool { return now-runs[len(runs)-1].reportedAt > unconfirmedTTL })
	if t.HasEvidence() {
		t.upToDate = false
		t.refresh()
	}
}
