package fleet

import (
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// Brittle is what a response says about its service: endpoints that reject too many requests for lack
// of room fall over.
type Brittle struct {
	Named      bool
	Rejections int // that an endpoint survives in a second
}

// brittleState is what is known of a brittle service.
type brittleState struct {
	rejections  int           // that an endpoint survives in a second
	confirmedAt clock.Instant // when a response last said so

	// entitled is the weight up to which this host may send to endpoints of which the hosts' shares are
	// less than one slot. It was determined at entitledAt.
	entitled   float64
	entitledAt clock.Instant
}

// entitlementMaxAge is how long a host uses the same endpoints, as long as there are as many.
const entitlementMaxAge = time.Second

// mayUse reports whether this host is among those that share the slots of an endpoint, where there are
// more hosts than slots. Each host is among those of one endpoint at least; the caller holds mu.
func (f *Fleet) mayUse(m *member, hosts int, now clock.Instant) bool {
	s := f.brittle[m.Service]
	if s.entitledAt.IsZero() || now.Sub(s.entitledAt) > entitlementMaxAge {
		var weights []float64
		slots := 0
		for _, o := range f.endpointsOf(m.Service) {
			weights = append(weights, RendezvousWeight(o.seed, f.hostSeed))
			slots += o.slots()
		}
		slices.Sort(weights)
		n := max(1, int(entitledShare*float64(slots)/float64(hosts)))
		s.entitled, s.entitledAt = weights[min(n, len(weights))-1], now
		f.brittle[m.Service] = s
	}
	return RendezvousWeight(m.seed, f.hostSeed) <= s.entitled
}

// Bounds of what hosts send to brittle endpoints. The hosts share the slots of each endpoint, so that
// they need not know of each other's requests to stay within them.
const (
	// assumedHosts is the number of hosts while the list of hosts is not known.
	assumedHosts = 8
	// entitledShare is the part of the slots that is shared out where there are more hosts than slots.
	entitledShare = 0.75
	// spareReportAge is the age up to which a load report shows that more than this host's share is
	// free.
	spareReportAge = 300 * time.Millisecond
	// rejectionShare is the part of the survived rejections that all hosts together risk.
	rejectionShare = 0.5
	// minBrittlePause and maxBrittlePause bound how long a host sends nothing to an endpoint that has
	// rejected a request of it.
	minBrittlePause = 500 * time.Millisecond
	maxBrittlePause = 10 * time.Second
)

// ObserveBrittle records what a response of an endpoint says, and returns the survived rejections known
// before and after; 0 means that the service is not brittle. A response that does not say so ends the
// time only if its request was sent after the last one that did.
func (f *Fleet) ObserveBrittle(id string, b Brittle, sent clock.Instant) (before, after int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return 0, 0
	}
	s, brittle := f.brittle[m.Service]
	before = s.rejections
	switch {
	case b.Named:
		s.rejections, s.confirmedAt = max(b.Rejections, 1), f.options.Now()
		f.brittle[m.Service] = s
	case brittle && sent.After(s.confirmedAt):
		delete(f.brittle, m.Service)
	}
	return before, f.brittle[m.Service].rejections
}

// hosts returns the number of hosts that send to an endpoint.
func (f *Fleet) hosts() int {
	if f.options.Choosers == nil {
		return 1
	}
	if n := f.options.Choosers().Hosts; n > 0 {
		return n
	}
	return assumedHosts
}

// costlyFor is how long rejections count as costly after a full endpoint of the service has asked for a
// pause.
const costlyFor = 30 * time.Second

// costly reports whether rejections of a service's endpoints cost more than the attempt: the endpoints
// are brittle, or want pauses when they are full. If hosts went on trying, they would lose endpoints for
// seconds that have room again in a moment.
func (f *Fleet) costly(service string, now clock.Instant) bool {
	if _, brittle := f.brittle[service]; brittle {
		return true
	}
	return now.Before(f.costlyUntil[service])
}

// RoomSource is the count by which a host takes an endpoint to have room for a request.
type RoomSource string

// Sources of room.
const (
	RoomNotCounted RoomSource = "not counted" // rejections of the service are not known to be costly
	RoomAdvised    RoomSource = "advice"
	RoomAllPrompts RoomSource = "own count of all prompts"
	RoomShare      RoomSource = "own share of the slots"
	RoomReport     RoomSource = "load report"
)

// RoomBasis is what a request went by that was sent to an endpoint.
type RoomBasis struct {
	By    RoomSource
	Age   time.Duration // of the load report, or since this host has begun to count all prompts
	Hosts int           // that share the slots, as this host knows
}

// crowded reports whether an endpoint whose rejections are costly might have no room for another request;
// the caller holds mu.
func (f *Fleet) crowded(m *member, req Request, now clock.Instant) bool {
	_, room := f.room(m, req, now)
	return !room
}

// room reports whether an endpoint has room for a request, and by which count; the caller holds mu.
func (f *Fleet) room(m *member, req Request, now clock.Instant) (RoomBasis, bool) {
	if !f.costly(m.Service, now) {
		return RoomBasis{By: RoomNotCounted}, true
	}
	if now.Before(m.brittleUntil) {
		return RoomBasis{}, false
	}
	known := m.inFlight + m.remote(now)
	if req.Key != 0 && !req.Unadvised {
		return RoomBasis{By: RoomAllPrompts, Age: now.Sub(f.advisorTenure.since)}, known < m.slots()
	}
	hosts := f.hosts()
	share := m.slots() / hosts
	if share == 0 && f.mayUse(m, hosts, now) {
		share = 1
	}
	if m.inFlight < share {
		return RoomBasis{By: RoomShare, Hosts: hosts}, true
	}
	age, spare := now.Sub(m.loadAt), m.slots()-known-m.others
	return RoomBasis{By: RoomReport, Age: age, Hosts: hosts}, age <= spareReportAge && spare >= hosts
}

// noteRejected makes this host send nothing to a brittle endpoint for a while after it has rejected a
// request, so that all hosts together stay within the rejections that it survives.
func (f *Fleet) noteRejected(m *member, now clock.Instant) {
	s, brittle := f.brittle[m.Service]
	if !brittle {
		return
	}
	pause := clock.Seconds(float64(f.hosts()) / (rejectionShare * float64(s.rejections)))
	pause = min(max(pause, minBrittlePause), maxBrittlePause)
	m.brittleUntil = later(m.brittleUntil, now.Add(time.Duration((1+f.options.Random())*float64(pause))))
}
