package quarantine

import (
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

// crashTTL is how long a crash counts as evidence. A request leaves quarantine an hour after its
// last crash: the operators of the endpoints may have fixed them by then, and if not, the cost
// is three crashes an hour.
const crashTTL = time.Hour

// Options configure a Tracker.
type Options struct {
	Host string
	// Probe opens a connection to an endpoint that may have crashed.
	Probe ProbeFunc
	// CountEndpoints returns the number of endpoints of a service.
	CountEndpoints func(service string) int
	// Members returns the other hosts, starting with this host's successor in an order that all
	// hosts agree on. Peers sends updates to them. Members is nil for a host alone.
	Members func() []Member
	Peers   PeerClient
	// IsFirstHost reports whether this host is the first of all hosts; the first host reads the
	// stored rows on behalf of the others. Nil for a host alone.
	IsFirstHost func() bool
	// FreshStart means that all hosts start for the first time, so nothing has been stored before.
	FreshStart bool
	// Tables store the crashes that hosts have seen, for hosts that start later. SharedNow reads the
	// clock that all hosts share; it returns false while that clock is not known. Without SharedNow,
	// stored crashes are as old as they were when they were stored.
	Tables    store.Tables
	SharedNow func() (time.Duration, bool)
	Logger    *log.Logger
}

// Tracker holds what a host knows of requests that crash endpoints, both from its own observations
// and from other hosts. It is safe for concurrent use.
type Tracker struct {
	options         Options
	detector        *CrashDetector
	clock           clock.Steady
	hasEvidence     atomic.Bool // there is evidence of recent crashes
	evidenceChanged wake.Signal // poked when the evidence changes
	sendDue         wake.Signal // poked when there is something to send to other hosts
	endedDue        wake.Signal // poked when there is an answer in ended
	partsWanted     atomic.Bool // answers may clear parts of prompts that matter
	persistDue      wake.Signal // poked when there may be something to store
	relayQueue      *relayQueue

	mu          sync.Mutex     // guards all fields below
	rows        map[string]row // by host; always has a row of this host
	merged      *mergedView    // of all rows; nil if they have changed since it was built
	unconfirmed map[string][]BrokenAttempt
	ongoing     map[*OngoingResponse]struct{}
	quarantined map[Fingerprint]Attribution
	parts       PartVerdict
	upToDate    bool // quarantined and parts reflect merged
	// untold has the parts that this host has cleared without telling others.
	untold map[Fingerprint]struct{}
	ended  []endedAnswer
	// answered has its own lock.
	answered *answeredParts
	// emptied is when each service was last found without endpoints, since the host has evidence of crashes.
	emptied map[string]time.Duration
	// released are the requests and parts that were in quarantine until others were found to explain their crashes.
	released map[Fingerprint]struct{}
	// storedParts are the parts of which the stored row has crashes.
	storedParts map[Fingerprint]struct{}
	// lastKnown has, by endpoint instance, each crash as it was last known, and since when;
	// nextSettles is when the next crash settles.
	lastKnown   map[string]Crash
	nextSettles time.Duration
	stored      bool // the store has a row of this host
	// loaded means that the host knows what hosts have sent and stored before, including what it did
	// itself before a restart. Until then it sends and stores nothing of its own, because that would
	// replace what it sent before.
	loaded bool
}

// row is what one host has seen.
type row struct {
	record
	version int64 // grows with each change
}

// mergedView is all evidence that a host has.
type mergedView struct {
	Evidence
	crashCounts map[Fingerprint]int           // number of crashes by the requests that ran at them
	partCounts  map[Fingerprint]int           // number of crashes by part, since it was cleared
	answered    map[Fingerprint]time.Duration // suspect parts that some host had seen answered before
	// unexplained are the crashes that no part in quarantine explains.
	unexplained []Crash
}

// NewTracker returns the tracker of a host that has seen nothing.
func NewTracker(options Options) *Tracker {
	if options.Members == nil {
		options.Members = func() []Member { return nil }
	}
	return &Tracker{
		options: options, detector: NewCrashDetector(options.Probe), clock: clock.NewSteady(),
		evidenceChanged: wake.NewSignal(), sendDue: wake.NewSignal(), endedDue: wake.NewSignal(), untold: map[Fingerprint]struct{}{}, answered: newAnsweredParts(), persistDue: wake.NewSignal(), relayQueue: newRelayQueue(),
		rows: map[string]row{options.Host: {record: newRecord()}}, emptied: map[string]time.Duration{}, released: map[Fingerprint]struct{}{}, unconfirmed: map[string][]BrokenAttempt{}, ongoing: map[*OngoingResponse]struct{}{},
		quarantined: map[Fingerprint]Attribution{}, lastKnown: map[string]Crash{}, nextSettles: never, loaded: options.FreshStart,
	}
}

// ownRow returns what this host has seen.
func (t *Tracker) ownRow() row { return t.rows[t.options.Host] }

// HasEvidence reports whether endpoints have crashed lately. While none has, requests need no
// fingerprint.
func (t *Tracker) HasEvidence() bool { return t.hasEvidence.Load() }

// recordCrash records a crash that this host saw.
func (t *Tracker) recordCrash(c Crash) {
	c.Parts = mergeParts(c.Parts, t.endedAt(c.Endpoint))
	t.ownRow().add(c)
	t.publish()
}

// invalidate notes that the evidence has changed.
func (t *Tracker) invalidate() {
	t.merged, t.upToDate = nil, false
	t.hasEvidence.Store(slices.ContainsFunc(slices.Collect(maps.Values(t.rows)), func(r row) bool { return !r.isEmpty() }))
	t.evidenceChanged.Notify()
}

// publish notes that the evidence of this host has changed in a way that others have to know.
func (t *Tracker) publish() {
	own := t.ownRow()
	own.version++
	if shared, known := t.options.sharedNow(); known { // continues the versions from before a restart
		own.version = max(own.version, shared.Milliseconds())
	}
	t.rows[t.options.Host] = own
	t.invalidate()
	t.sendDue.Notify()
	t.persistDue.Notify()
}

// sharedNow reads the clock that all hosts share.
func (o Options) sharedNow() (time.Duration, bool) {
	if o.SharedNow == nil {
		return 0, false
	}
	return o.SharedNow()
}

// RequestCompleted notes that a request completed successfully: the endpoint that ran it is still
// alive.
func (t *Tracker) RequestCompleted(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clearRequest(f, t.clock.Now(), "the request completed")
}

// Release takes a request, or a part of prompts with those that can't be told from it, out of
// quarantine by order of an operator; it returns false if it is not quarantined.
func (t *Tracker) Release(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if g, refused := t.parts.groupOf(f); refused {
		t.clearParts(g.Parts, t.clock.Now(), "released by an operator")
		t.refresh()
		return true
	}
	if _, quarantined := t.quarantined[f]; !quarantined {
		return false
	}
	t.clearRequest(f, t.clock.Now(), "released by an operator")
	t.refresh()
	return true
}

// clearRequest discards the earlier crashes of a request as evidence against it. Other hosts are
// told only if it matters, which is when one more crash would put the request into quarantine, or the request is
// doubtful.
func (t *Tracker) clearRequest(f Fingerprint, at time.Duration, reason string) {
	v := t.view()
	if v.crashCounts[f] == 0 {
		return
	}
	s := v.assess(f, v.Crashes)
	moments := s.moments
	if moments == 0 {
		return
	}
	t.ownRow().complete(f, at)
	t.invalidate()
	if _, released := t.released[f]; moments >= minMoments-1 || s.emptied || released {
		t.options.Logger.Info("request cleared", "fingerprint", f, "crashes", moments, "reason", reason)
		t.publish()
	}
}

// Status returns what is known of a request.
func (t *Tracker) Status(r Request) Status {
	if !t.HasEvidence() {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	_, quarantined := t.quarantined[r.Fingerprint]
	s := t.view().assessRequest(r.Fingerprint)
	status := Status{Quarantined: quarantined, Moments: s.moments, Chance: s.Chance, Crashed: len(s.crashed), Beside: s.otherCrashes, Emptied: s.emptied}
	status.OnlyAnswered = t.view().crashCounts[r.Fingerprint] == 0 && t.parts.onlyAnswered(r)
	if g, refused := t.parts.refusing(r); refused && (!status.OnlyAnswered || t.clock.Now() < g.RetryAt) {
		status.Quarantined, status.Part = true, g.label()
	}
	status.PartSuspect = t.parts.suspects(r)
	status.UnderTest = t.parts.underTest(r)
	status.AllAnswered = t.allAnswered(r)
	status.Doubt = t.doubt(r)
	return status
}

// since returns the time since a reading of the tracker's clock.
func (t *Tracker) since(at time.Duration) time.Duration { return t.clock.Now() - at }

// view returns what this host saw and what others sent, in order of time.
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
		Evidence: Evidence{Crashes: crashes, Completed: all.completed, Cleared: all.cleared, CountEndpoints: t.options.CountEndpoints, Emptied: t.emptied}, crashCounts: countCrashes(crashes, 1),
		partCounts: countParts(crashes, all.cleared), answered: all.answered, unexplained: crashes,
	}
	t.partsWanted.Store(t.merged.hasPartAt(minStoredCrashes))
	return t.merged
}

// stampUpdates sets the UpdatedAt of each crash: the time since which its set of requests is known.
// Crashes that a host learns of while it starts are taken to be complete. A crash keeps the time by which it was
// first known, since each message that tells it again shifts the time by its own delay; one that is earlier by
// more than crashSkew replaces it.
func (t *Tracker) stampUpdates(crashes []Crash) {
	now, stamped := t.clock.Now(), make(map[string]Crash, len(crashes))
	for i, c := range crashes {
		known, ok := t.lastKnown[c.Endpoint]
		if ok && known.At-c.At <= crashSkew {
			c.At = known.At
		}
		switch {
		case !t.loaded:
			c.UpdatedAt = c.At
		case ok && !c.addsTo(known):
			c.UpdatedAt = known.UpdatedAt
		default:
			c.UpdatedAt = now
		}
		crashes[i], stamped[c.Endpoint] = c, c
	}
	slices.SortFunc(crashes, byTime)
	t.lastKnown = stamped
}

// assessRequest assesses the evidence against a request since it last completed.
func (v *mergedView) assessRequest(f Fingerprint) assessment {
	if v.crashCounts[f] == 0 {
		return assessment{}
	}
	return v.assess(f, v.unexplained)
}

// hasPartAt reports whether a part is at n crashes or more.
func (v *mergedView) hasPartAt(n int) bool {
	for _, crashes := range v.partCounts {
		if crashes >= n {
			return true
		}
	}
	return false
}

// refresh brings the quarantine up to date.
func (t *Tracker) refresh() {
	if t.upToDate && t.clock.Now() < t.nextSettles {
		return
	}
	t.dropExpired()
	t.clearOutlasting()
	t.evidenceChanged.Clear()
	previous := t.quarantined
	t.tellIfWanted()
	t.tellAnswered()
	v := t.view()
	e := v.Evidence
	e.Quarantined, e.Now = previous, t.clock.Now()
	e.Answered = func(part Fingerprint) (time.Duration, bool) {
		own, answered := t.answered.early(part, e.Now)
		told, known := v.answered[part]
		if known && (!answered || told < own) {
			return told, true
		}
		return own, answered
	}
	t.refreshParts(v, e)
	e.Parts = t.parts
	t.quarantined, t.upToDate, t.nextSettles = AttributePartial(e), true, e.nextSettles()
	for f, attribution := range t.quarantined {
		if _, known := previous[f]; !known {
			t.options.Logger.Warn("request quarantined", "fingerprint", f, "of", v.label(f), "crashes", attribution.Crashes, "chance", attribution.Chance,
				"first_ms_ago", t.since(attribution.First).Milliseconds(), "last_ms_ago", t.since(attribution.Last).Milliseconds(), "crashes_known", len(v.Crashes), "hosts", len(t.rows))
		}
	}
	for f := range previous {
		if _, quarantined := t.quarantined[f]; !quarantined {
			t.options.Logger.Info("request released from quarantine", "fingerprint", f, "crashes", v.crashCounts[f], "unexplained", len(v.assessRequest(f).crashed))
			t.released[f] = struct{}{}
		}
	}
}

// dropExpired drops evidence that is too old to count.
func (t *Tracker) dropExpired() {
	oldest := t.clock.Now() - crashTTL
	v := t.view()
	maps.DeleteFunc(t.released, func(f Fingerprint, _ struct{}) bool {
		return v.partCounts[f] == 0 && v.assess(f, v.Crashes).moments == 0
	})
	isQuarantined := func(f Fingerprint) bool {
		_, request := t.quarantined[f]
		_, part := t.parts.groupOf(f)
		return request || part
	}
	for host, r := range t.rows {
		r.trim(oldest, isQuarantined)
		if r.isEmpty() && host != t.options.Host {
			delete(t.rows, host)
		}
	}
	t.invalidate()
	if t.stored && t.ownRow().isEmpty() {
		t.persistDue.Notify() // the stored row is deleted
	}
}

// Sweep drops evidence that is too old to count, even if nothing new arrives.
func (t *Tracker) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	maps.DeleteFunc(t.unconfirmed, func(_ string, attempts []BrokenAttempt) bool {
		return now-attempts[len(attempts)-1].reportedAt > unconfirmedTTL
	})
	if t.HasEvidence() {
		t.upToDate = false
		t.refresh()
	}
}
