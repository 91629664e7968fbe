package fleet

import (
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/clock"
)

// NoticeKind is what an endpoint asks of hosts.
type NoticeKind string

// Kinds of notices.
const (
	NoticeLeaving NoticeKind = "leaving" // it stops soon: no host sends it anything more
	NoticePause   NoticeKind = "pause"   // this host sends it nothing for a while
)

// NoticeOrigin is the way by which a host learns of a notice.
type NoticeOrigin string

// Ways by which notices arrive.
const (
	NoticeInResponse NoticeOrigin = "a response to this host"
	NoticeFromPeer   NoticeOrigin = "another host"
	NoticeRelayed    NoticeOrigin = "a response that this host relayed"
)

// NoticeSource is where a notice is from.
type NoticeSource struct {
	By      NoticeOrigin
	Request string // ID of the request whose response contained it; empty if another host told
}

// Notice describes a notice that has begun or was extended. It is immutable.
type Notice struct {
	Endpoint string // its ID
	Service  string // empty if the endpoint is not listed
	Address  string // empty if the endpoint is not listed
	Kind     NoticeKind
	Source   NoticeSource
	Asked    time.Duration // length of the pause that was asked for
	For      time.Duration // time until the pause ends
	Extended bool          // the endpoint had asked for a pause before, which has not ended
	Full     bool          // the endpoint had no free slot
}

// Log writes the notice to a log, unless it only extends a pause.
func (n Notice) Log(l *log.Logger) {
	switch {
	case n.Kind == NoticeLeaving:
		l.Info("endpoint leaves", "heard_by_request", n.Source.Request, "endpoint", n.Endpoint, "service", n.Service, "source", n.Source.By)
	case !n.Extended:
		l.Info("endpoint wants a pause", "heard_by_request", n.Source.Request, "endpoint", n.Endpoint, "service", n.Service, "source", n.Source.By,
			"asked_ms", n.Asked.Milliseconds(), "for_ms", n.For.Milliseconds(), "full", n.Full)
	}
}

// maxPause bounds the pause that an endpoint may ask for: an endpoint that states a day by mistake must
// not be lost for a day.
const maxPause = 5 * time.Minute

// noticeMemory is for how long it is remembered that an endpoint leaves after it is listed no more: it
// may be listed again, for instance after the store was unavailable.
const noticeMemory = 10 * time.Minute

// notices is what a start of an endpoint has asked of hosts. It is kept by the endpoint's ID apart
// from the list of endpoints, so that no entry, report or new list takes it back.
type notices struct {
	leavingSince clock.Instant // zero if the endpoint has not said that it leaves
	pausedSince  clock.Instant
	pausedUntil  clock.Instant // zero if it has asked for no pause
	slowStart    slowStart     // of this host after the pause
	source       NoticeSource  // of the latest notice
	unlistedAt   clock.Instant // when the endpoint was found to be listed no more; zero if it is listed
}

// leaving reports whether the endpoint has said that it leaves.
func (n *notices) leaving() bool { return n != nil && !n.leavingSince.IsZero() }

// draining reports whether an endpoint takes nothing new, by its entry, its load report or what it said
// in a response.
func (m *member) draining() bool { return m.Draining || m.reportedDraining || m.notices.leaving() }

// paused reports whether the endpoint wants nothing from this host now.
func (n *notices) paused(now clock.Instant) bool { return n != nil && now.Before(n.pausedUntil) }

// paused reports whether the endpoint may not get a request because it wants a pause from the host that
// sends it.
func (m *member) paused(req Request, now clock.Instant) bool {
	return !req.ForOther && m.notices.paused(now)
}

// PausedEndpoints lists endpoints of a service that want a pause from this host, or from which it has
// only just come back, so that a host that advises leaves them out.
func (f *Fleet) PausedEndpoints(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.notices) == 0 {
		return nil
	}
	now := f.options.Now()
	var ids []string
	for id, n := range f.notices {
		m, listed := f.members[id]
		if listed && m.Service == service && len(ids) < maxToldPaused && (n.paused(now) || n.slowStart.full(now)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// maxToldPaused bounds the paused endpoints that a host that advises is told of.
const maxToldPaused = 64

// Paused reports whether an endpoint wants nothing from this host now.
func (f *Fleet) Paused(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notices[id].paused(f.options.Now())
}

// TakesAt reports whether the endpoint that is listed at an address takes requests from this host now.
func (f *Fleet) TakesAt(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.addresses[address]
	if len(at) == 0 {
		return false
	}
	m := at[len(at)-1]
	return !m.draining() && !m.notices.paused(f.options.Now())
}

// StillTakes reports whether the endpoint still takes the request, which may have waited for a connection
// since the endpoint was chosen. If it does not, the hold is to be ended with OutcomeNotSent.
func (h *Hold) StillTakes() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.members[h.Endpoint.ID] == h.member && !h.member.draining() && !h.member.notices.paused(h.fleet.options.Now())
}

// AllLeaving reports whether a service has endpoints and all of them take nothing new until they end.
func (f *Fleet) AllLeaving(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.endpointsOf(service)
	return len(list) > 0 && !slices.ContainsFunc(list, func(m *member) bool { return !m.draining() })
}

// OnNotice sets a function that is called with each notice that begins or is extended. It is called
// without locks, and must be set before any attempt is made.
func (f *Fleet) OnNotice(observe func(Notice)) { f.onNotice = observe }

// NoteLeaving records that a start of an endpoint has said that it leaves. That holds for as long as it
// runs.
func (f *Fleet) NoteLeaving(id string, s NoticeSource) {
	f.mu.Lock()
	n := f.noticesOf(id)
	first := !n.leaving()
	if first {
		n.leavingSince, n.source = f.options.Now(), s
		f.tellLeaving(id)
	}
	told := f.noticeFor(id, NoticeLeaving, s)
	f.mu.Unlock()
	if first {
		f.reportNotice(told)
	}
}

// tellLeaving has other hosts told that an endpoint leaves; the caller holds mu.
func (f *Fleet) tellLeaving(id string) {
	if f.onLoanNeeded != nil {
		f.untoldLeaving[id] = struct{}{}
		f.onLoanNeeded()
	}
}

// TakeLeaving returns endpoints of which this host has learned that they leave, to be told to other
// hosts. It returns each once, and at most a given number per call.
func (f *Fleet) TakeLeaving(most int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id := range f.untoldLeaving {
		if len(ids) == most {
			f.onLoanNeeded()
			break
		}
		delete(f.untoldLeaving, id)
		ids = append(ids, id)
	}
	return ids
}

// Leaving lists some of the endpoints that this host knows to leave, for a host that has just started.
func (f *Fleet) Leaving(most int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, n := range f.notices { // in random order
		if n.leaving() && len(ids) < most {
			ids = append(ids, id)
		}
	}
	return ids
}

// NotePause records that an endpoint wants nothing from this host for a while. Of several pauses the
// one that ends last counts.
func (f *Fleet) NotePause(id string, asked time.Duration, s NoticeSource) {
	f.notePause(id, asked, Load{}, s)
}

// notePause records a pause that a response with a load asks for.
func (f *Fleet) notePause(id string, asked time.Duration, l Load, s NoticeSource) {
	f.mu.Lock()
	now := f.options.Now()
	n := f.noticesOf(id)
	told := f.noticeFor(id, NoticePause, s)
	told.Full = l.full()
	if told.Full {
		f.noteCostly(told.Service, f.costlyServices[told.Service].survives, now)
	}
	told.Asked, told.Extended = asked, n.paused(now)
	until := now.Add(min(asked, maxPause))
	longer := until.After(n.pausedUntil)
	if longer {
		if !told.Extended {
			n.pausedSince = now
		}
		n.pausedUntil, n.source, n.slowStart = until, s, newSlowStart()
	}
	told.For = n.pausedUntil.Sub(now)
	f.mu.Unlock()
	if longer {
		f.reportNotice(told)
	}
}

func (f *Fleet) reportNotice(n Notice) {
	if f.onNotice != nil {
		f.onNotice(n)
	}
}

// noticeFor returns a notice of an endpoint; the caller holds mu.
func (f *Fleet) noticeFor(id string, kind NoticeKind, s NoticeSource) Notice {
	n := Notice{Endpoint: id, Kind: kind, Source: s}
	if m, ok := f.members[id]; ok {
		n.Service, n.Address = m.Service, m.Address
	}
	return n
}

// noticesOf returns the notices of an endpoint, listed or not; the caller holds mu.
func (f *Fleet) noticesOf(id string) *notices {
	n, ok := f.notices[id]
	if !ok {
		n = &notices{}
		f.notices[id] = n
		if m, listed := f.members[id]; listed {
			m.notices = n
		}
	}
	return n
}

// dropNotices forgets pauses that are over, and endpoints that left long ago; the caller holds mu.
func (f *Fleet) dropNotices(now clock.Instant) {
	for id, n := range f.notices {
		m, listed := f.members[id]
		switch {
		case listed:
			n.unlistedAt = clock.Instant{}
		case n.unlistedAt.IsZero():
			n.unlistedAt = now
		}
		over := !n.leaving() || (!listed && now.Sub(n.unlistedAt) > noticeMemory)
		if n.paused(now) || (listed && n.slowStart.limits()) || !over {
			continue
		}
		delete(f.notices, id)
		if listed {
			m.notices = nil
		}
	}
}

// NoticeStatus is what an endpoint has asked of this host, for operators.
type NoticeStatus struct {
	LeavingSince clock.Instant // zero if it has not said that it leaves
	PausedSince  clock.Instant // zero if it wants no pause now
	PausedFor    time.Duration // time until the pause ends
	Source       NoticeSource
}

// status returns the notices for operators.
func (n *notices) status(now clock.Instant) NoticeStatus {
	if n == nil {
		return NoticeStatus{}
	}
	s := NoticeStatus{LeavingSince: n.leavingSince, Source: n.source}
	if n.paused(now) {
		s.PausedSince, s.PausedFor = n.pausedSince, n.pausedUntil.Sub(now)
	}
	return s
}

// CountNotices returns how many listed endpoints have said that they leave, and how many want a pause
// from this host now.
func (f *Fleet) CountNotices() (leaving, paused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	for id, n := range f.notices {
		if _, listed := f.members[id]; !listed {
			continue
		}
		if n.leaving() {
			leaving++
		}
		if n.paused(now) {
			paused++
		}
	}
	return leaving, paused
}
