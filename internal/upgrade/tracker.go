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

	mu       sync.Mutex // guards all below
	services map[string]*service
	settled  map[string]string         // by service, its version while it had only one
	listed   map[string]map[string]int // by service and version, endpoints
	rows     map[string]store.Change   // newest ones of the shared table, by key
	caughtUp bool                      // rows have all that the table held when it was read
	paces    map[paceName]*paces       // usual ones
}

// service is the newest upgrade of a service.
type service struct {
	order        Order
	schedule     Schedule
	seen         clock.Instant // when the order was
	progress     Progress
	row          store.Row       // of the progress; version 0 if there is none
	condemned    string          // why this host has stopped using the target; "" if it has not
	verdict      Verdict         // on the target, as logged last
	own          Evidence        // since the order; what is recent is in lately
	lately       recently        // what this host saw
	published    Count           // of the target in the evidence that was written last
	told         Count           // of the target in its recent part, or fewer that are recent by now
	answeredLast int             // answers of the target that this host saw since all keys go to it
	recalled     bool            // own has what an earlier life of this host told
	asked        bool            // the store was read for a better idea of its clock
	writeAt      clock.Instant   // progress is not written before
	publishedAt  clock.Instant   // when evidence was written last
	failsSince   clock.Instant   // when this host first knew of a failure of the target
	manySince    clock.Instant   // the same of as many as show a bad version
	others       map[string]told // by host
	judgedAt     clock.Instant
	unjudged     bool // there is evidence that came after it
}

// told is another host's evidence.
type told struct {
	Evidence
	version int64         // of its row
	at      clock.Instant // when it arrived
}

// NewTracker returns a tracker that knows of no upgrade.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options, wake: wake.NewSignal(),
		services: map[string]*service{}, settled: map[string]string{}, listed: map[string]map[string]int{}, rows: map[string]store.Change{}, paces: map[paceName]*paces{},
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
	s := &service{
		order: o, schedule: NewSchedule(t.options.Exposure, o.Within), seen: clock.Now(),
		own: Evidence{Revision: o.Revision, Routes: map[string]Pair{}}, others: map[string]told{},
	}
	if known {
		s.progress, s.row = old.progress, old.row
	}
	t.services[o.Service] = s
	t.recall(s)
	t.options.Logger.Info("upgrade ordered", "service", o.Service, "target", o.Target, "within", o.Within.String(), "revision", o.Revision)
	t.wake.Notify()
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

// Note takes in what an answer told. Paces of versions that are not being tried are
// the reference for those that are. Answers of a target are counted also once its upgrade
// is over, so that the log tells when a version turns bad that is in use.
func (t *Tracker) Note(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[r.Service]
	if !ok {
		t.class(r, false)
		return
	}
	target := r.Version == s.order.Target
	count := t.class(r, target && !s.finished())
	if count == (Count{}) || (s.finished() && !target) {
		return
	}
	if !target {
		s.count(r.Route, r.ofOthers(count, t.sharing(s)))
		return
	}
	s.count(r.Route, r.ofTarget(count))
	if count.answers() > 0 && t.inLastStage(s) {
		s.answeredLast++
	}
	if count.Bad > 0 || count.Slow > 0 {
		s.own.blame(r.Endpoint)
	}
	if count.Bad > 0 && !s.othersFail() {
		t.wake.Notify() // others should know at once
	}
	t.judge(s)
}

// inLastStage reports whether all keys go to the target by now.
func (t *Tracker) inLastStage(s *service) bool {
	now, known := t.options.Watch.Now()
	return known && s.begun() && s.progress.Stage == lastStage && s.progress.raised(s.progress.elapsedAt(now))
}

// sharing reports whether some keys go to the target by now.
func (t *Tracker) sharing(s *service) bool {
	now, known := t.options.Watch.Now()
	return known && s.begun() && s.progress.Share(s.progress.elapsedAt(now), s.schedule) > 0
}

// count adds an answer to this host's evidence.
func (s *service) count(route string, p Pair) {
	addTo(s.own.Routes, route, p)
	s.lately.add(clock.Now(), route, p)
}

// ofTarget is a report's answer as one of the target.
func (r Report) ofTarget(c Count) Pair {
	p := Pair{Target: c}
	if c.answers() > 0 {
		p.TargetBy = tallyOf(r.Endpoint, c.Bad > 0)
	}
	return p
}

// ofOthers is a report's answer as one of another version, by endpoint only while the
// target has a share.
func (r Report) ofOthers(c Count, sharing bool) Pair {
	p := Pair{Other: c}
	if sharing && c.answers() > 0 {
		p.OtherBy = tallyOf(r.Endpoint, c.Bad > 0)
	}
	return p
}

// class counts a report; nothing if it can't be told yet.
func (t *Tracker) class(r Report, target bool) Count {
	switch f := r.Finding.(type) {
	case Answered:
		if f.Failed {
			return Count{Bad: 1}
		}
		return Count{Good: 1}
	case Paced:
		return t.classPace(r, f, target)
	default:
		return Count{}
	}
}

func (t *Tracker) classPace(r Report, f Paced, target bool) Count {
	name := paceName{r.Service, r.Route, r.Model}
	usual, ok := t.paces[name]
	if !ok {
		usual = newPaces()
		t.paces[name] = usual
	}
	slow, known := usual.slow(f.Requests, f.Pace)
	if !target {
		usual.add(f.Requests, f.Pace)
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
func (t *Tracker) judgement(s *service) Judgement {
	return s.judgement(t.untold(s, clock.Now()))
}

// judgement weighs it with what nobody has told.
func (s *service) judgement(u Untold) Judgement {
	now := clock.Now()
	others := make([]Evidence, 0, len(s.others))
	for _, o := range s.others {
		e := o.Evidence
		if now.Sub(o.at) > recentSpan {
			e.Recent = nil
		}
		others = append(others, e)
	}
	return Judge(s.evidence(now), others, u)
}

// evidence is what this host has seen.
func (s *service) evidence(now clock.Instant) Evidence {
	e := s.own
	e.Recent = s.lately.counts(now)
	e.Seconds += now.Sub(s.seen).Seconds()
	return e
}

// judge weighs the evidence, and stops the use of the target on this host once it is bad;
// a moment later if it was weighed a moment ago.
func (t *Tracker) judge(s *service) {
	if s.unjudged = clock.Since(s.judgedAt) < judgeEvery; s.unjudged {
		return
	}
	s.judgedAt = clock.Now()
	j := t.judgement(s)
	if s.failsSince.IsZero() && j.Seen.Target.Bad > 0 {
		s.failsSince = s.judgedAt
	}
	if s.manySince.IsZero() && j.Seen.Target.Bad >= manyFailures {
		s.manySince = s.judgedAt
	}
	t.believe(s, j)
	if s.condemned != "" || s.finished() {
		return
	}
	if s.condemned = s.faultIn(j); s.condemned == "" {
		return
	}
	fields := []any{"service", s.order.Service, "target", s.order.Target, "hosts", len(s.others) + 1}
	t.options.Logger.Warn("version found bad; it gets nothing more from this host", append(append(fields, "cause", s.condemned), j.fields()...)...)
	t.wake.Notify()
}

// mayBeItsOwn is why a version is taken back that can't be told from a bad one.
const mayBeItsOwn = "failures that may be its own, beside endpoints that fail"

// Bounds on how long a version is used that may be bad: users allow nothing sent to a bad one 5 s
// after so many of its answers have failed, and hosts know of these up to a second late.
const (
	manyFailures = 50
	decideWithin = 3 * time.Second
)

// faultIn returns why a judgement has this host stop using the target; "" if it does not. Failures that
// may be its own are weighed as larger shares are written; nothing else looks at them again once the last
// one is, which goes by what was known a second before it begins, or while the next share is not due.
func (s *service) faultIn(j Judgement) string {
	switch {
	case j.Verdict == VerdictBad:
		return j.Reason
	case s.mustDecide() && j.MayBeItsOwn():
		return mayBeItsOwn
	default:
		return ""
	}
}

// mustDecide reports whether a version that may be bad has to be taken back now.
func (s *service) mustDecide() bool {
	return s.begun() && (s.progress.Stage == lastStage || s.overdue(s.judgedAt))
}

// overdue reports whether this host has known of many failures for long, and still uses the version.
func (s *service) overdue(now clock.Instant) bool {
	return s.condemned == "" && !s.manySince.IsZero() && now.Sub(s.manySince) >= decideWithin
}
