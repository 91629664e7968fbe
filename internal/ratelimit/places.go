package ratelimit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"quaybarrow/internal/clock"
)

// placeTimeout is how long a host is waited for that is asked for a place: a few times what the question
// takes between data halls.
const placeTimeout = 50 * time.Millisecond

// placeRelayTimeout bounds the same question if it is forwarded.
const placeRelayTimeout = 25 * time.Millisecond

// PlaceRequest asks for a place for one request at an endpoint.
type PlaceRequest struct {
	Endpoint string
	Ticket   int64 // chosen by the host that asks; names the place until it is returned
	Survives int   // rejections a second that the endpoint survives
	Slots    int   // of the endpoint, as the host that asks knows them
	Report   PlaceReport
	From     string // name of the host that sends the message
	Relayed  bool   // forwarded by a host that was asked first
}

// PlaceReply is the answer to a PlaceRequest.
type PlaceReply struct {
	Granted    bool
	RetryAfter time.Duration // delay before the host may ask again, if the place was not granted
	Basis      PlaceBasis
}

// PlaceReturn tells how a request for which a place was taken fares.
type PlaceReturn struct {
	Endpoint string
	Ticket   int64
	End      PlaceEnd
	Report   PlaceReport
}

// PlaceClient asks other hosts for places.
type PlaceClient interface {
	TakePlace(ctx context.Context, address string, r PlaceRequest) (PlaceReply, error)
	ReturnPlace(ctx context.Context, address string, r PlaceReturn) error
}

// placeCounts holds the counts of the endpoints for which this host gives places. It is safe for
// concurrent use.
type placeCounts struct {
	owner string

	mu     sync.Mutex                        // guards all below
	counts map[string]*placeCount            // by endpoint ID
	lasted *lru.Cache[string, time.Duration] // by endpoint ID: smoothed time for which this host's requests took a place
}

// maxLasted is of how many endpoints it is remembered how long requests take.
const maxLasted = 4096

func newPlaceCounts(owner string) *placeCounts {
	lasted, err := lru.New[string, time.Duration](maxLasted)
	if err != nil {
		panic(err) // the size is not positive
	}
	return &placeCounts{owner: owner, counts: map[string]*placeCount{}, lasted: lasted}
}

// noteLasted records for how long a request of this host took a place.
func (p *placeCounts) noteLasted(endpoint string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, _ := p.lasted.Get(endpoint)
	p.lasted.Add(endpoint, smooth(before, d))
}

// take takes a place. It also reports whether the hosts that have slots of the endpoint are to be asked
// first whether they are there.
func (p *placeCounts) take(r PlaceRequest, first bool, now clock.Instant) (PlaceReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.countOf(r.Endpoint, now)
	basis, granted := c.take(r, first, now)
	basis.Owner = p.owner
	reply := PlaceReply{Granted: granted, Basis: basis}
	if !granted {
		reply.RetryAfter = c.retryDelay(r.From, basis, now)
	}
	return reply, !c.part.known
}

// countOf returns the count of an endpoint, a new one if there is none; the caller holds mu.
func (p *placeCounts) countOf(endpoint string, now clock.Instant) *placeCount {
	c, ok := p.counts[endpoint]
	if !ok {
		p.dropIdle(now)
		c = newPlaceCount(now)
		c.lasts, _ = p.lasted.Get(endpoint)
		p.counts[endpoint] = c
	}
	return c
}

// countedEndpoint is an endpoint of which places have been asked for lately.
type countedEndpoint struct {
	slots   int
	holders map[string]bool // names of the hosts that have places
}

// counted returns the endpoints of which places have been asked for lately, by ID.
func (p *placeCounts) counted(now clock.Instant) map[string]countedEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	counted := map[string]countedEndpoint{}
	for id, c := range p.counts {
		if now.Sub(c.askedAt) > countIdle {
			continue
		}
		e := countedEndpoint{slots: c.slotsOr(defaultRoom), holders: map[string]bool{}}
		for _, t := range c.taken {
			e.holders[t.from] = true
		}
		counted[id] = e
	}
	return counted
}

// noteContact records which hosts that have slots of an endpoint answer, and reports whether its count
// begins to miss some.
func (p *placeCounts) noteContact(endpoint string, n contact, now clock.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.countOf(endpoint, now).noteContact(n, now)
}

// giveBack records how a request fares, and returns the count of its endpoint after it.
func (p *placeCounts) giveBack(r PlaceReturn, now clock.Instant) countSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.counts[r.Endpoint]
	if !ok {
		return countSummary{}
	}
	c.giveBack(r.Ticket, r.End, r.Report, now)
	return countSummary{taken: len(c.taken), others: c.others, rejected: len(c.rejectedAt)}
}

// countSummary is what a log line tells of a count.
type countSummary struct {
	taken, others int
	rejected      int // within the last second or a little more
}

// dropIdle deletes the counts of endpoints of which no place was asked for a long time.
func (p *placeCounts) dropIdle(now clock.Instant) {
	for id, c := range p.counts {
		if now.Sub(c.askedAt) > maxTaken {
			delete(p.counts, id)
		}
	}
}

// Place is a place that was taken for a request at an endpoint. A nil Place counts nothing.
type Place struct {
	Basis    PlaceBasis
	limiter  *Limiter
	owner    host
	endpoint string
	ticket   int64
	takenAt  clock.Instant
	returned bool
}

// Return tells the host that counts how the request fares, in the background. After an end other than
// PlaceRunning it does nothing more.
func (p *Place) Return(end PlaceEnd, report PlaceReport) {
	if p == nil || p.returned {
		return
	}
	p.returned = end != PlaceRunning
	if end == PlaceFreed {
		p.limiter.places.noteLasted(p.endpoint, clock.Since(p.takenAt))
	}
	r := PlaceReturn{Endpoint: p.endpoint, Ticket: p.ticket, End: end, Report: report}
	if p.owner.self {
		p.limiter.HandleReturnPlace(r)
		return
	}
	p.limiter.returnTo(p.owner, r)
}

// Counted tells what a place was given by; "not counted" if none was needed.
func (p *Place) Counted() string {
	switch {
	case p == nil:
		return "not counted"
	case p.Basis.Probe:
		return string(p.Basis.State) + ", probe"
	default:
		return string(p.Basis.State)
	}
}

// Owner returns the name of the host that gave the place; empty if none was needed.
func (p *Place) Owner() string {
	if p == nil {
		return ""
	}
	return p.Basis.Owner
}

// Occupied returns how many requests were counted at the endpoint before this one.
func (p *Place) Occupied() int {
	if p == nil {
		return 0
	}
	return p.Basis.Occupied
}

// CountAge returns the age that the latest report had by which the place was given; negative if there was
// none.
func (p *Place) CountAge() time.Duration {
	if p == nil {
		return 0
	}
	return p.Basis.Age
}

// returnTo sends a PlaceReturn to another host, in the background. One that is lost is made up for by
// later reports.
func (l *Limiter) returnTo(to host, r PlaceReturn) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		if err := l.options.Places.ReturnPlace(ctx, to.Address, r); err != nil {
			l.options.Logger.Debug("place was not returned", "to", to.Name, "endpoint", r.Endpoint, "error", err)
		}
	}()
}

// TakePlace asks for a place at an endpoint; r needs no ticket. It returns nil and when to ask again if
// there is none.
func (l *Limiter) TakePlace(ctx context.Context, r PlaceRequest) (place *Place, retryAfter time.Duration, basis PlaceBasis) {
	r.From, r.Ticket = l.options.Host, rand.Int64()
	owner, reply := l.askForPlace(ctx, r)
	l.options.Telemetry.Count("places_asked", 1)
	if !reply.Granted {
		return nil, reply.RetryAfter, reply.Basis
	}
	return &Place{Basis: reply.Basis, limiter: l, owner: owner, endpoint: r.Endpoint, ticket: r.Ticket, takenAt: clock.Now()}, 0, reply.Basis
}

// askForPlace asks the hosts in the endpoint's order until one answers. This host counts by itself,
// carefully, if none does.
func (l *Limiter) askForPlace(ctx context.Context, r PlaceRequest) (host, PlaceReply) {
	self := host{Member: Member{Name: l.options.Host}, self: true}
	if l.options.Places == nil {
		return self, l.count(r, true)
	}
	for try := 0; try < maxTries && l.options.MembersKnown(); try++ {
		h, first := l.lenderOf(r.Endpoint, "")
		if h.self {
			return self, l.count(r, first)
		}
		reply, err := l.askHostForPlace(ctx, h, r, placeTimeout)
		if err == nil {
			return l.ownerOf(h, reply), reply
		}
		l.returnTo(h, PlaceReturn{Endpoint: r.Endpoint, Ticket: r.Ticket, End: PlaceNotSent})
		if ctx.Err() != nil {
			return self, PlaceReply{}
		}
	}
	return self, l.count(r, false)
}

// ownerOf returns the host that gave a place: the one that was asked, or another that it asked.
func (l *Limiter) ownerOf(asked host, reply PlaceReply) host {
	if reply.Basis.Owner == asked.Name {
		return asked
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.hosts {
		if h.Name == reply.Basis.Owner {
			return h
		}
	}
	return asked
}

// askHostForPlace asks a host, and records whether it answers.
func (l *Limiter) askHostForPlace(ctx context.Context, h host, r PlaceRequest, timeout time.Duration) (PlaceReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := l.options.Places.TakePlace(callCtx, h.Address, r)
	if ctx.Err() == nil {
		l.noteAnswer(h, r.Endpoint, err)
	}
	return reply, err
}

// HandleTakePlace handles a question of another host: it forwards it to a host that precedes this one in the
// order, or counts by itself.
func (l *Limiter) HandleTakePlace(ctx context.Context, r PlaceRequest) PlaceReply {
	l.mu.Lock()
	delete(l.skippedUntil, r.From)
	l.mu.Unlock()
	h, first := l.lenderOf(r.Endpoint, r.From)
	if !h.self && !r.Relayed {
		relayed := r
		relayed.From, relayed.Relayed = l.options.Host, true
		if reply, err := l.askHostForPlace(ctx, h, relayed, placeRelayTimeout); err == nil {
			return reply
		}
		first = false
	}
	return l.count(r, first && h.self)
}

// HandleReturnPlace handles the return of a place that this host gave.
func (l *Limiter) HandleReturnPlace(r PlaceReturn) {
	c := l.places.giveBack(r, clock.Now())
	if r.End == PlaceRejected {
		l.options.Logger.Info("endpoint rejected a request that had a place", "endpoint", r.Endpoint, "rejections", c.rejected,
			"taken", c.taken, "others", c.others, "reported", r.Report.Occupied, "slots", r.Report.Slots)
	}
}
