package fleet

import (
	"time"

	"quaybarrow/internal/clock"
)

// Brittle is what a response says about its service: endpoints that reject too many requests for lack
// of room fall over.
type Brittle struct {
	Named      bool
	Rejections int // that an endpoint survives in a second
}

// costlyState is what is known of a service of which rejections cost more than the attempt: its endpoints
// are brittle, or want pauses when they are full. Requests are sent there only with a place.
type costlyState struct {
	survives    int           // rejections that an endpoint survives in a second; 0 if it is not brittle
	confirmedAt clock.Instant // when a response last said so
	untold      bool          // other hosts are to be told
}

// CostlyService is what a host tells others of a service of which rejections are costly. It is immutable.
type CostlyService struct {
	Service      string
	Survives     int           // rejections that an endpoint survives in a second; 0 if it is not brittle
	ConfirmedAgo time.Duration // since a response last said so
}

// Bounds of what is known of costly rejections.
const (
	// costlyFor is how long rejections count as costly after a response has said so.
	costlyFor = 30 * time.Second
	// brittleConfirmedFor is how long responses that do not say that a service is brittle are not believed
	// after one that does: an endpoint that has just started may not say so yet.
	brittleConfirmedFor = time.Second
)

// ObserveBrittle records what a response of an endpoint says, and returns the survived rejections known
// before and after; 0 means that the service is not brittle. A response that does not say so ends the
// time only if its request was sent a while after the last one that did.
func (f *Fleet) ObserveBrittle(id string, b Brittle, sent clock.Instant) (before, after int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return 0, 0
	}
	s := f.costlyServices[m.Service]
	before = s.survives
	switch {
	case b.Named:
		f.noteCostly(m.Service, max(b.Rejections, 1), f.options.Now())
	case before > 0 && sent.Sub(s.confirmedAt) > brittleConfirmedFor:
		delete(f.costlyServices, m.Service)
	}
	return before, f.costlyServices[m.Service].survives
}

// noteCostly records that rejections of a service are costly; the caller holds mu.
func (f *Fleet) noteCostly(service string, survives int, at clock.Instant) {
	s := f.costlyServices[service]
	if f.options.Now().Sub(s.confirmedAt) > costlyFor || s.survives != survives {
		s.untold = true
	}
	s.survives, s.confirmedAt = survives, later(s.confirmedAt, at)
	f.costlyServices[service] = s
	if s.untold && f.onLoanNeeded != nil {
		f.onLoanNeeded()
	}
}

// MergeCostly records what another host knows of a service.
func (f *Fleet) MergeCostly(n CostlyService) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.options.Now().Add(-n.ConfirmedAgo)
	if n.ConfirmedAgo < costlyFor && at.After(f.costlyServices[n.Service].confirmedAt) {
		f.noteCostly(n.Service, n.Survives, at)
	}
}

// TakeCostly returns services whose rejections have become costly, to be told to other hosts. It returns
// each once.
func (f *Fleet) TakeCostly() []CostlyService {
	return f.costlyWhere(func(s costlyState) bool { return s.untold })
}

// CostlyServices lists the services whose rejections are costly, for a host that has just started.
func (f *Fleet) CostlyServices() []CostlyService {
	return f.costlyWhere(func(costlyState) bool { return true })
}

func (f *Fleet) costlyWhere(selects func(costlyState) bool) []CostlyService {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	var list []CostlyService
	for service, s := range f.costlyServices {
		if !f.costly(service, now) || !selects(s) {
			continue
		}
		list = append(list, CostlyService{Service: service, Survives: s.survives, ConfirmedAgo: now.Sub(s.confirmedAt)})
		s.untold = false
		f.costlyServices[service] = s
	}
	return list
}

// costly reports whether rejections of a service's endpoints cost more than the attempt; the caller holds
// mu.
func (f *Fleet) costly(service string, now clock.Instant) bool {
	s, ok := f.costlyServices[service]
	return ok && now.Sub(s.confirmedAt) < costlyFor
}

// crowded reports whether an endpoint whose rejections are costly has no room for another request, as
// far as this host knows; the caller holds mu.
func (f *Fleet) crowded(m *member, req Request, now clock.Instant) bool {
	if !f.costly(m.Service, now) {
		return false
	}
	if now.Before(m.noPlaceUntil) {
		return true
	}
	knowsAll := req.Key != 0 && !req.Unadvised
	return knowsAll && m.inFlight+m.remote(now) >= m.slots()
}

// PlaceNeed is what a request needs a place for.
type PlaceNeed struct {
	Endpoint string // its ID
	Survives int    // rejections a second that the endpoint survives
	Slots    int
	// Occupied is the number of requests at the endpoint by its latest report, and ReportSlots its slots by
	// that report; 0 slots if there is none.
	Occupied, ReportSlots int
	ReportAge             time.Duration
}

// NeedsPlace reports whether the request may be sent only with a place at the endpoint, and returns what
// the place is needed for.
func (h *Hold) NeedsPlace() (PlaceNeed, bool) {
	f, m := h.fleet, h.member
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	if !f.costly(m.Service, now) {
		return PlaceNeed{}, false
	}
	return PlaceNeed{
		Endpoint: m.ID, Survives: f.costlyServices[m.Service].survives, Slots: m.slots(),
		Occupied: m.reported.Running + m.reported.Waiting, ReportSlots: m.reported.Slots, ReportAge: now.Sub(m.reportedAt),
	}, true
}

// NoPlace records that the endpoint has no place for this host for a while. The hold is to be ended with
// OutcomeNotSent.
func (h *Hold) NoPlace(lasts time.Duration) {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	h.member.noPlaceUntil = f.options.Now().Add(lasts)
}

// noteReport records an endpoint's report of its load that has just arrived; the caller holds mu.
func (m *member) noteReport(l Load, now clock.Instant) {
	if l.Slots > 0 {
		m.reported, m.reportedAt = l, now
	}
}
