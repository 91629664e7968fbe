package upgrade

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/codec"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/store"
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
	// Status encodes an upgrade's outcome for operators.
	Status func(service, target string, o Outcome) (store.Write, error)
}

// Tracker follows the upgrades of all services on a host; safe for use at once.
type Tracker struct {
	options Options
	wake    chan struct{}

	mu       sync.Mutex // guards all below
	services map[string]*service
	settled  map[string]string // by service, its version while it had only one
}

// service is the newest upgrade of a service.
type service struct {
	order     Order
	seen      time.Time // when the order was
	progress  Progress
	row       store.Row // of the progress; version 0 if there is none
	condemned string    // why this host has stopped using the target; "" if it has not
	own       Evidence
	published int // bad answers in the evidence that was written last
	writeAt   time.Time
	others    map[string]Evidence // by host
	paces     map[string]pace     // of versions other than the target, by route and model
}

// NewTracker returns a tracker that knows of no upgrade.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options, wake: make(chan struct{}, 1),
		services: map[string]*service{}, settled: map[string]string{},
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
		order: o, seen: time.Now(), own: Evidence{Revision: o.Revision, Routes: map[string]Pair{}},
		others: map[string]Evidence{}, paces: map[string]pace{},
	}
	if known {
		s.progress, s.row = old.progress, old.row
	}
	t.services[o.Service] = s
	t.options.Logger.Info("upgrade ordered", "service", o.Service, "target", o.Target, "within", o.Within.String(), "revision", o.Revision)
	t.poke()
}

// poke starts the next step of Run at once.
func (t *Tracker) poke() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Settle takes note of a service's versions, so that endpoints of a new one get
// nothing before an order names it.
func (t *Tracker) Settle(service string, versions map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(versions) == 1 {
		for v := range versions {
			t.settled[service] = v
		}
		return
	}
	if _, ok := t.settled[service]; ok {
		return
	}
	most := ""
	for v, n := range versions {
		if most == "" || n > versions[most] || (n == versions[most] && v < most) {
			most = v
		}
	}
	if most != "" {
		t.settled[service] = most
	}
}

// Allowed returns which versions a request with a key may run on; nil for any.
func (t *Tracker) Allowed(name string, key uint64) func(version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		settled := t.settled[name]
		if settled == "" {
			return nil
		}
		return func(v string) bool { return v == settled }
	}
	target := s.order.Target
	if t.useTarget(s, key) {
		return func(v string) bool { return v == target }
	}
	return func(v string) bool { return v != target }
}

// keyScale brings a key's upper bits to a part of 1.
const keyScale = 1 << 53

// useTarget reports whether a key goes to the target version now.
func (t *Tracker) useTarget(s *service, key uint64) bool {
	switch {
	case s.row.Version == 0 || s.progress.Revision != s.order.Revision:
		return false
	case s.progress.Outcome == OutcomeCompleted:
		return true
	case s.progress.Outcome == OutcomeRolledBack || s.condemned != "":
		return false
	}
	elapsed, ok := t.elapsed(s)
	if !ok {
		return false
	}
	return float64(key>>11)/keyScale < Share(elapsed, s.order.Within)
}

// elapsed is how long ago an upgrade was begun.
func (t *Tracker) elapsed(s *service) (time.Duration, bool) {
	now, ok := t.options.Watch.Now()
	return now - time.Duration(s.progress.StartMs)*time.Millisecond, ok
}

// Report is what an answer told of a version.
type Report struct {
	Service, Version, Endpoint string
	Route, Model               string
	Failed                     bool          // the endpoint's own word
	Pace                       time.Duration // how long it took, in a unit that the route's answers share; 0 if not known
}

// Note counts an answer while an upgrade of its service is running.
func (t *Tracker) Note(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[r.Service]
	if !ok || s.progress.Outcome == OutcomeCompleted || s.progress.Outcome == OutcomeRolledBack {
		return
	}
	usual := s.paces[r.Route+"/"+r.Model]
	bad := r.Failed || (r.Pace > 0 && usual.slow(r.Pace))
	count := Count{Good: 1}
	if bad {
		count = Count{Bad: 1}
	}
	if r.Version != s.order.Target {
		if r.Pace > 0 {
			s.paces[r.Route+"/"+r.Model] = usual.with(r.Pace)
		}
		s.own.Routes[r.Route] = s.own.Routes[r.Route].plus(Pair{Other: count})
		return
	}
	s.own.Routes[r.Route] = s.own.Routes[r.Route].plus(Pair{Target: count})
	if bad {
		s.own.blame(r.Endpoint)
		t.judge(s)
	}
}

// blame adds an endpoint to those that gave bad answers.
func (e *Evidence) blame(id string) {
	for _, known := range e.Endpoints {
		if known == id {
			return
		}
	}
	e.Endpoints = append(e.Endpoints, id)
}

// badTarget counts the target's bad answers.
func (e *Evidence) badTarget() int {
	n := 0
	for _, p := range e.Routes {
		n += p.Target.Bad
	}
	return n
}

// judge stops the use of the target on this host once the evidence is bad.
func (t *Tracker) judge(s *service) {
	if s.condemned != "" {
		return
	}
	var others []Evidence
	for _, e := range s.others {
		others = append(others, e)
	}
	silent := max(t.options.Hosts()-len(others)-1, 0)
	route, bad := Judge(s.own, others, silent)
	if !bad {
		return
	}
	s.condemned = "bad answers"
	if route != "" {
		s.condemned = "bad answers on route " + route
	}
	t.options.Logger.Warn("version found bad; it gets nothing more from this host", "service", s.order.Service,
		"target", s.order.Target, "reason", s.condemned, "bad", s.own.badTarget(), "endpoints", len(s.own.Endpoints), "hosts", len(others)+1, "silent", silent)
	t.poke()
}

// apply takes in rows of the shared table.
func (t *Tracker) apply(rows []store.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		t.applyRow(row)
	}
}

func (t *Tracker) applyRow(row store.Change) {
	if row.Deleted {
		return
	}
	name, host, isEvidence := cutKey(row.Key)
	s, ok := t.services[name]
	if !ok {
		return
	}
	if isEvidence {
		e, err := codec.Decode[Evidence](row.Value)
		if err != nil {
			t.options.Logger.Error("evidence can't be read", "row", row.Key, "error", err)
			return
		}
		if e.Revision == s.order.Revision && host != t.options.Host {
			s.others[host] = e
			t.judge(s)
		}
		return
	}
	p, err := codec.Decode[Progress](row.Value)
	if err != nil {
		t.options.Logger.Error("progress can't be read", "row", row.Key, "error", err)
		return
	}
	if row.Version <= s.row.Version {
		return
	}
	s.progress, s.row = p, row.Row
	t.options.Logger.Info("upgrade moved on", "service", name, "target", p.Target, "outcome", string(p.Outcome),
		"revision", p.Revision, "row_version", row.Version, "reason", p.Reason)
}
