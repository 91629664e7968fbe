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

// Table is where progress and evidence are kept: a row named after the service
// for the one, rows named SERVICE/HOST for the other.
const Table = "upgrades"

// Options set up a Tracker.
type Options struct {
	Host   string
	Tables store.Tables
	Watch  store.Watcher
	Fleet  *fleet.Fleet
	Logger *log.Logger
	// Hosts counts the hosts that serve.
	Hosts func() int
	// Exposure is the most that a bad version may get of a service's requests during its
	// upgrade, as a part of all of them; 0 for the default.
	Exposure float64
	// Status encodes an upgrade's outcome for operators.
	Status func(service, target string, o Outcome) (store.Write, error)
}

// Tracker follows the upgrades of all services on a host; safe for use at once.
type Tracker struct {
	options Options
	wake    wake.Signal

	mu              sync.Mutex // guards all below
	services        map[string]*serviceUpgrade
	initialVersions map[string]string          // by service, its version while it had only one
	endpointCounts  map[string]map[string]int  // by service and version, endpoints
	rows            map[string]store.Change    // newest ones of the shared table, by key
	caughtUp        bool                       // rows have all that the table held when it was read
	paceReferences  map[paceKey]*paceReference // usual ones
}

// serviceUpgrade is the newest upgrade of a serviceUpgrade.
type serviceUpgrade struct {
	order            Order
	schedule         Schedule
	orderedAt        clock.Instant // when the order was
	progress         Progress
	row              store.Row                 // of the progress; version 0 if there is none
	rejectReason     string                    // why this host has stopped using the target; "" if it has not
	verdict          Verdict                   // on the target, as logged last
	own              Evidence                  // since the order; what is recent is in lately
	recent           recentCounts              // what this host saw
	publishedTotal   Count                     // of the target in the evidence that was written last
	publishedRecent  Count                     // of the target in its recent part, or fewer that are recent by now
	lastStageAnswers int                       // answers of the target that this host saw since all keys go to it
	restored         bool                      // own has what an earlier life of this host told
	clockRefreshed   bool                      // the store was read for a better idea of its clock
	nextWriteAt      clock.Instant             // progress is not written before
	publishedAt      clock.Instant             // when evidence was written last
	firstFailureAt   clock.Instant             // when this host first knew of a failure of the target
	manyFailuresAt   clock.Instant             // the same of as many as show a bad version
	others           map[string]remoteEvidence // by host
	judgedAt         clock.Instant
	judgePending     bool // there is evidence that came after it
}

// remoteEvidence is another host's evidence.
type remoteEvidence struct {
	Evidence
	version    int64         // of its row
	receivedAt clock.Instant // when it arrived
}

// NewTracker returns a tracker that knows of no upgrade.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options, wake: wake.NewSignal(),
		services: map[string]*serviceUpgrade{}, initialVersions: map[string]string{}, endpointCounts: map[string]map[string]int{}, rows: map[string]store.Change{}, paceReferences: map[paceKey]*paceReference{},
	}
}

// Order takes note of an operator's order.
func (t *Tracker) Order(o Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.services[o.Service]
	if known && old.order.Revision >= o.Revision {
		return
	}
	s := &serviceUpgrade{
		order: o, schedule: NewSchedule(t.options.Exposure, o.Within), orderedAt: clock.Now(),
		own: Evidence{Revision: o.Revision, Routes: map[string]VersionCounts{}}, others: map[string]remoteEvidence{},
	}
	if known {
		s.progress, s.row = old.progress, old.row
	}
	t.services[o.Service] = s
	t.replayRows(s)
	t.options.Logger.Info("upgrade ordered", "service", o.Service, "target", o.Target, "within", o.Within.String(), "revision", o.Revision)
	t.wake.Poke()
}

// Report is what an answer told of a version.
type Report struct {
	Service, Version, Endpoint string
	Route, Model               string // Model is empty where requests name none
	Finding                    Finding
}

// Finding is what was seen of an answer.
type Finding interface{ finding() }

// Answered is an answer that the endpoint made, or its own word that it failed.
type Answered struct{ Failed bool }

// Paced is how fast an answer came, or the part of it that is there, from an
// endpoint that had so many requests.
type Paced struct {
	Pace     Pace
	Requests int
}

func (Answered) finding() {}
func (Paced) finding()    {}

// Record takes in what an answer told. Paces of versions that are not being tried are
// the reference for those that are. Answers of a target are counted also once its upgrade
// is over, so that the log tells when a version turns bad that is in use.
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
		s.count(r.Route, r.otherCounts(count, t.targetHasShare(s)))
		return
	}
	s.count(r.Route, r.targetCounts(count))
	if count.answers() > 0 && t.lastStageStarted(s) {
		s.lastStageAnswers++
	}
	if count.Bad > 0 || count.Slow > 0 {
		s.own.addFaultyEndpoint(r.Endpoint)
	}
	if count.Bad > 0 && !s.othersHaveFailed() {
		t.wake.Poke() // others should know at once
	}
	t.judge(s)
}

// lastStageStarted reports whether all keys go to the target by now.
func (t *Tracker) lastStageStarted(s *serviceUpgrade) bool {
	now, known := t.options.Watch.Now()
	return known && s.hasBegun() && s.progress.Stage == lastStage && s.progress.stageStarted(s.progress.elapsedAt(now))
}

// targetHasShare reports whether some keys go to the target by now.
func (t *Tracker) targetHasShare(s *serviceUpgrade) bool {
	now, known := t.options.Watch.Now()
	return known && s.hasBegun() && s.progress.Share(s.progress.elapsedAt(now), s.schedule) > 0
}

// count adds an answer to this host's evidence.
func (s *serviceUpgrade) count(route string, p VersionCounts) {
	addToRoute(s.own.Routes, route, p)
	s.recent.add(clock.Now(), route, p)
}

// targetCounts is a report's answer as one of the target.
func (r Report) targetCounts(c Count) VersionCounts {
	p := VersionCounts{Target: c}
	if c.answers() > 0 {
		p.TargetByEndpoint = tallyOne(r.Endpoint, c.Bad > 0)
	}
	return p
}

// otherCounts is a report's answer as one of another version, by endpoint only while the
// target has a share.
func (r Report) otherCounts(c Count, targetHasShare bool) VersionCounts {
	p := VersionCounts{Other: c}
	if targetHasShare && c.answers() > 0 {
		p.OtherByEndpoint = tallyOne(r.Endpoint, c.Bad > 0)
	}
	return p
}

// classify counts a report; nothing if it can't be told yet.
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

// judgement weighs what all hosts have told. What a host told as recent is so for a
// while; one that tells nothing new has seen nothing worse.
func (t *Tracker) judgement(s *serviceUpgrade) Judgement {
	return s.judgement(t.unreported(s, clock.Now()))
}

// judgement weighs it with what nobody has told.
func (s *serviceUpgrade) judgement(u Unreported) Judgement {
	now := clock.Now()
	others := make([]Evidence, 0, len(s.others))
	for _, o := range s.others {
		e := o.Evidence
		if now.Sub(o.receivedAt) > recentSpan {
			e.Recent = nil
		}
		others = append(others, e)
	}
	return Judge(s.evidence(now), others, u)
}

// evidence is what this host has seen.
func (s *serviceUpgrade) evidence(now clock.Instant) Evidence {
	e := s.own
	e.Recent = s.recent.counts(now)
	e.Seconds += now.Sub(s.orderedAt).Seconds()
	return e
}

// judge weighs the evidence, and stops the use of the target on this host once it is bad;
// a moment later if it was weighed a moment ago.
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
	t.recordVerdict(s, j)
	if s.rejectReason != "" || s.finished() {
		return
	}
	if s.rejectReason = s.reasonToReject(j); s.rejectReason == "" {
		return
	}
	fields := []any{"service", s.order.Service, "target", s.order.Target, "hosts", len(s.others) + 1}
	t.options.Logger.Warn("version found bad; it gets nothing more from this host", append(append(fields, "cause", s.rejectReason), j.fields()...)...)
	t.wake.Poke()
}

// reasonMayBeBad is why a version is taken back that can't be told from a bad one.
const reasonMayBeBad = "failures that may be its own, beside endpoints that fail"

// Bounds on how long a version is used that may be bad: users allow nothing sent to a bad one 5 s
// after so many of its answers have failed, and hosts know of these up to a second late.
const (
	overdueFailures = 50
	maxUndecided    = 3 * time.Second
)

// reasonToReject returns why a judgement has this host stop using the target; "" if it does not. Failures that
// may be its own are weighed as larger shares are written; nothing else looks at them again once the last
// one is, which goes by what was known a second before it begins, or while the next share is not due.
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

// mustDecideNow reports whether a version that may be bad has to be taken back now.
func (s *serviceUpgrade) mustDecideNow() bool {
	return s.hasBegun() && (s.progress.Stage == lastStage || s.overdue(s.judgedAt))
}

// overdue reports whether this host has known of many failures for long, and still uses the version.
func (s *serviceUpgrade) overdue(now clock.Instant) bool {
	return s.rejectReason == "" && !s.manyFailuresAt.IsZero() && now.Sub(s.manyFailuresAt) >= maxUndecided
}
