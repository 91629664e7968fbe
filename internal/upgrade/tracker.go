package upgrade

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/store"
	"quaybarrow/internal/wake"
)

// Table is the store's table of progress and evidence. The key of a progress row is SERVICE, that
// of an evidence row is SERVICE/HOST.
const Table = "upgrades"

// Options configures a Tracker.
type Options struct {
	Host   string
	Tables store.Tables
	Watch  store.Watcher
	Fleet  *fleet.Fleet
	Logger *log.Logger
	// Hosts returns the number of serving hosts.
	Hosts func() int
	// Exposure is the largest fraction of a service's requests that a bad version may get during
	// its upgrade; 0 selects the default.
	Exposure float64
	// Status encodes an upgrade's outcome as a write for operators.
	Status func(service, target string, o Outcome) (store.Write, error)
}

// Tracker follows the upgrades of all services on a host. It is safe for concurrent use.
type Tracker struct {
	options Options
	wake    wake.Signal

	mu             sync.Mutex // guards the fields below
	services       map[string]*serviceUpgrade
	versions       map[string]*serviceVersions // by service
	ordersRead     bool                        // all orders that there were when this host started are known
	rows           map[string]store.Change     // latest rows of the shared table, by key
	caughtUp       bool                        // rows include all that the table held when it was read
	tableRead      bool                        // the shared table has been read since this host started
	paceReferences map[paceKey]*paceReference  // of versions not on trial
}

// serviceUpgrade is the newest upgrade of a service.
type serviceUpgrade struct {
	order            Order
	schedule         Schedule
	orderedAt        clock.Instant // when this host received the order
	inUse            string        // version that this host used when the order came; "" if it can't tell
	progress         Progress
	row              store.Row                 // of the progress; version 0 if there is none
	rejectReason     string                    // why this host has stopped using the target; "" if it has not
	verdict          Verdict                   // as logged last
	own              Evidence                  // this host's evidence since the order; its recent parts are derived from the two fields below
	recent           recentCounts              // this host's recent counts by route
	recentLevels     recentCounts              // this host's recent counts by load level
	publishedTotal   Count                     // of the target, in the evidence published last
	publishedRecent  Count                     // of the target, in the recent part of that evidence; lowered as answers cease to be recent
	lastStageAnswers int                       // answers of the target seen by this host since all keys go to it
	restored         bool                      // own includes what an earlier process of this host published
	othersBusy       bool                      // the other versions' endpoints bear loads that the target has to be shown at
	unprovedLogged   bool                      // that the completion waits for answers under load
	clockRefreshed   bool                      // the store was read to narrow the bounds of its clock
	nextWriteAt      clock.Instant             // earliest time of the next progress write
	publishedAt      clock.Instant             // when evidence was published last
	firstFailureAt   clock.Instant             // when this host first knew of a failure of the target
	manyFailuresAt   clock.Instant             // when this host first knew of overdueFailures failures of the target
	others           map[string]remoteEvidence // by host
	judgedAt         clock.Instant
	judgePending     bool // evidence has arrived since judgedAt
}

// remoteEvidence is the evidence published by another host.
type remoteEvidence struct {
	Evidence
	version    int64 // of its row
	receivedAt clock.Instant
}

// NewTracker returns a tracker without upgrades.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options, wake: wake.NewSignal(),
		services: map[string]*serviceUpgrade{}, versions: map[string]*serviceVersions{}, rows: map[string]store.Change{}, paceReferences: map[paceKey]*paceReference{},
	}
}

// Order starts following an operator's order, unless a newer one of the service is known.
func (t *Tracker) Order(o Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.services[o.Service]
	if known && old.order.Revision >= o.Revision {
		return
	}
	s := &serviceUpgrade{
		order: o, schedule: NewSchedule(t.options.Exposure, o.Within), orderedAt: clock.Now(),
		own: Evidence{Revision: o.Revision, Routes: map[string]VersionCounts{}, Levels: map[string]VersionCounts{}}, others: map[string]remoteEvidence{},
	}
	switch {
	case known:
		s.progress, s.row, s.inUse = old.progress, old.row, old.inUse
	case t.ordersRead:
		s.inUse = t.initialVersion(o.Service)
	}
	t.services[o.Service] = s
	t.replayRows(s)
	t.options.Logger.Info("upgrade ordered", "service", o.Service, "target", o.Target, "within", o.Within.String(), "revision", o.Revision)
	t.wake.Notify()
}

// Report is an observation of one answer, with the version and endpoint that gave it.
type Report struct {
	Service, Version, Endpoint string
	Route, Model               string  // Model is empty where requests name none
	Load                       float64 // fraction of the endpoint's slots in use, as the answer states it; 0 if it does not
	Finding                    Finding
}

// Finding is the observed property of an answer.
type Finding interface{ finding() }

// Answered is an answer by the endpoint; Failed includes the endpoint's own report that it failed.
type Answered struct{ Failed bool }

// Paced is the pace of an answer, or of the part received so far, from an endpoint with the given
// number of requests.
type Paced struct {
	Pace     Pace
	Requests int
}

func (Answered) finding() {}
func (Paced) finding()    {}

// Record counts a report. Paces of versions that are not on trial are the reference for those that
// are. Answers of a target are counted also after its upgrade, so that the log shows when a version
// in use turns bad.
func (t *Tracker) Record(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[r.Service]
	if !ok {
		t.classify(r, false)
		return
	}
	target := r.Version == s.order.Target
	count := t.classify(r, target && !s.finished())
	if count == (Count{}) || (s.finished() && !target) {
		return
	}
	if !target {
		hasShare := t.targetHasShare(s)
		p := r.otherCounts(count, hasShare)
		s.count(r.Route, p)
		if hasShare {
			s.countLevels(r.Load, p)
		}
		return
	}
	s.count(r.Route, r.targetCounts(count))
	s.countLevels(r.Load, r.targetCounts(count))
	if count.answers() > 0 && t.lastStageStarted(s) {
		s.lastStageAnswers++
	}
	if count.Bad > 0 || count.Slow > 0 {
		s.own.addFaultyEndpoint(r.Endpoint)
	}
	if count.Bad > 0 && !s.othersHaveFailed() {
		t.wake.Notify() // publish the failure at once
	}
	t.judge(s)
}

// lastStageStarted reports whether all keys go to the target now.
func (t *Tracker) lastStageStarted(s *serviceUpgrade) bool {
	now, known := t.options.Watch.Now()
	return known && s.hasBegun() && s.progress.Stage == lastStage && s.progress.stageStarted(s.progress.elapsedAt(now))
}

// targetHasShare reports whether some keys go to the target now.
func (t *Tracker) targetHasShare(s *serviceUpgrade) bool {
	now, known := t.options.Watch.Now()
	return known && s.hasBegun() && s.progress.Share(s.progress.elapsedAt(now), s.schedule) > 0
}

// count adds an answer to this host's evidence.
func (s *serviceUpgrade) count(route string, p VersionCounts) {
	addCounts(s.own.Routes, route, p)
	s.recent.add(clock.Now(), route, p)
}

// countLevels adds an answer to the load levels of this host's evidence. An answer at a level has
// reached the lower ones too. Other versions are counted while the target has a share: earlier loads
// would have to be shown by the target at other loads.
func (s *serviceUpgrade) countLevels(load float64, p VersionCounts) {
	now := clock.Now()
	for _, l := range levelsReached(load) {
		addCounts(s.own.Levels, l.name, p)
		s.recentLevels.add(now, l.name, p)
	}
}

// targetCounts returns a report's counts as those of the target.
func (r Report) targetCounts(c Count) VersionCounts {
	p := VersionCounts{Target: c}
	if c.answers() > 0 {
		p.TargetByEndpoint = tallyOne(r.Endpoint, c.Bad > 0)
	}
	return p
}

// otherCounts returns a report's counts as those of another version; they are kept by endpoint only
// while the target has a share.
func (r Report) otherCounts(c Count, targetHasShare bool) VersionCounts {
	p := VersionCounts{Other: c}
	if targetHasShare && c.answers() > 0 {
		p.OtherByEndpoint = tallyOne(r.Endpoint, c.Bad > 0)
	}
	return p
}

// classify returns a report's counts; they are zero if its pace has no reference yet.
func (t *Tracker) classify(r Report, target bool) Count {
	switch f := r.Finding.(type) {
	case Answered:
		if f.Failed {
			return Count{Bad: 1}
		}
		return Count{Good: 1}
	case Paced:
		return t.classifyPace(r, f, target)
	default:
		return Count{}
	}
}

func (t *Tracker) classifyPace(r Report, f Paced, target bool) Count {
	key := paceKey{r.Service, r.Route, r.Model}
	reference, ok := t.paceReferences[key]
	if !ok {
		reference = newPaceReference()
		t.paceReferences[key] = reference
	}
	slow, known := reference.slow(f.Requests, f.Pace)
	if !target {
		reference.add(f.Requests, f.Pace)
	}
	switch {
	case !known:
		return Count{}
	case slow:
		return Count{Paced: 1, Slow: 1}
	default:
		return Count{Paced: 1}
	}
}

// judgement judges the evidence of all hosts. A host's recent counts remain valid for recentSpan
// after they arrive; a host that publishes nothing new has seen nothing worse.
func (t *Tracker) judgement(s *serviceUpgrade) Judgement {
	return s.judgement(t.unreported(s, clock.Now()))
}

// judgement judges the evidence of all hosts with the given estimate of unpublished answers.
func (s *serviceUpgrade) judgement(u Unreported) Judgement {
	now := clock.Now()
	others := make([]Evidence, 0, len(s.others))
	for _, o := range s.others {
		e := o.Evidence
		if now.Sub(o.receivedAt) > recentSpan {
			e.Recent, e.RecentLevels = nil, nil
		}
		others = append(others, e)
	}
	return Judge(s.evidence(now), others, u)
}

// evidence returns this host's evidence.
func (s *serviceUpgrade) evidence(now clock.Instant) Evidence {
	e := s.own
	e.Recent, e.RecentLevels = s.recent.counts(now), s.recentLevels.counts(now)
	e.Seconds += now.Sub(s.orderedAt).Seconds()
	return e
}

// judge judges the evidence and, if the target is bad, stops its use on this host. If the last
// judgement is less than judgeInterval old, it leaves the judgement to a later step.
func (t *Tracker) judge(s *serviceUpgrade) {
	if s.judgePending = clock.Since(s.judgedAt) < judgeInterval; s.judgePending {
		return
	}
	s.judgedAt = clock.Now()
	j := t.judgement(s)
	if s.firstFailureAt.IsZero() && j.Seen.Target.Bad > 0 {
		s.firstFailureAt = s.judgedAt
	}
	if s.manyFailuresAt.IsZero() && j.Seen.Target.Bad >= overdueFailures {
		s.manyFailuresAt = s.judgedAt
	}
	s.othersBusy = j.othersBusy()
	t.recordVerdict(s, j)
	if s.rejectReason != "" || s.finished() {
		return
	}
	if s.rejectReason = s.reasonToReject(j); s.rejectReason == "" {
		return
	}
	fields := []any{"service", s.order.Service, "target", s.order.Target, "hosts", len(s.others) + 1}
	t.options.Logger.Warn("version found bad; this host stops using it", append(append(fields, "cause", s.rejectReason), j.fields()...)...)
	t.wake.Notify()
}

// reasonMayBeBad is the reason for rolling back a version that cannot be distinguished from a bad
// one.
const reasonMayBeBad = "failures that may be its own, beside endpoints that fail"

// reasonUnproved is the reason for rolling back a version that got all keys, and is more likely bad than
// good at some load when the order's time is over: it would go on failing while more answers are awaited.
const reasonUnproved = "not proved under load in its time"

// Limits on how long a possibly bad version is used. Users allow no request to a bad version later
// than 5 s after so many of its answers have failed, and hosts learn of failures up to a second
// late.
const (
	overdueFailures = 50
	maxUndecided    = 3 * time.Second
)

// reasonToReject returns why this host stops using the target after a judgement; "" if it does not.
// MayBeBad is otherwise checked only when a larger share is written. That is not enough in two
// cases: after the last share is written, on evidence from a second before it begins; and while the
// next share is not due.
func (s *serviceUpgrade) reasonToReject(j Judgement) string {
	switch {
	case j.Verdict == VerdictBad:
		return j.Reason
	case s.mustDecideNow() && j.MayBeBad():
		return reasonMayBeBad
	default:
		return ""
	}
}

// mustDecideNow reports whether a version that may be bad must be rolled back now.
func (s *serviceUpgrade) mustDecideNow() bool {
	return s.hasBegun() && (s.progress.Stage == lastStage || s.overdue(s.judgedAt))
}

// overdue reports whether this host still uses the target maxUndecided after it learned of
// overdueFailures failures.
func (s *serviceUpgrade) overdue(now clock.Instant) bool {
	return s.rejectReason == "" && !s.manyFailuresAt.IsZero() && now.Sub(s.manyFailuresAt) >= maxUndecided
}
