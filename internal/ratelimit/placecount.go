package ratelimit

import (
	"math"
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// Parameters of a count of places.
const (
	// travelTime is the time in which a request for which a place was taken arrives at the endpoint, and
	// the return of a place or a report arrives here.
	travelTime = 20 * time.Millisecond
	// carefulFor is how long a count is careful after it has begun: another host may still count.
	carefulFor = 3 * time.Second
	// aloneFor is how long reports must have shown no requests but those of this count before it takes
	// itself for the only one.
	aloneFor = 400 * time.Millisecond
	// countIdle is the time without a question after which a count begins anew: another host may have
	// been asked meanwhile.
	countIdle = 2 * time.Second
	// carefulPart of what is free is given out by a careful count without a new report, so that a few
	// counts of the same endpoint together stay within what is free.
	carefulPart = 0.5
	// probePart of the rejections that an endpoint survives in a second is risked by probes;
	// maxProbePause bounds the time between two.
	probePart     = 0.25
	maxProbePause = 2 * time.Second
	// stopPart of the rejections that an endpoint survives in a second stops the count, until they are a
	// second old.
	stopPart      = 0.5
	rejectionSpan = time.Second
	// lackOfRoom is the part of the slots that must be occupied for a rejection to tell how much the
	// endpoint takes.
	lackOfRoom = 0.5
	// roomGrowth is by how many places a second an endpoint that rejected a request though it had free
	// slots is tried with more.
	roomGrowth = 1.0
	// maxTaken is how long a place is taken at most: its host may have died, and nearly all requests have
	// ended by then.
	maxTaken = time.Minute
	// minPlaceDelay and maxPlaceDelay bound the delay before a host that got no place asks again.
	minPlaceDelay = 10 * time.Millisecond
	maxPlaceDelay = 250 * time.Millisecond
	// reportLife is the age of the latest report up to which no probe is sent.
	reportLife = time.Second
	// maxReportAge is the age up to which the report of a host that asks is used.
	maxReportAge = time.Second
	// defaultRoom is used for endpoints that have reported no slots.
	defaultRoom = 8
)

// CountState tells how much a count of places is trusted.
type CountState string

// States of a count.
const (
	CountClosed  CountState = "closed"  // nothing is known of others' requests
	CountFull    CountState = "full"    // nothing is free
	CountCareful CountState = "careful" // another host may count too
	CountSure    CountState = "sure"
	CountApart   CountState = "apart"   // hosts that have slots of the endpoint do not answer
	CountStopped CountState = "stopped" // the endpoint has rejected too many requests within a second
)

// PlaceReport is an endpoint's report of its load.
type PlaceReport struct {
	Occupied int // requests that run or wait there
	Slots    int // 0 if there is no report
	Age      time.Duration
}

// PlaceBasis is what a place was given or denied by.
type PlaceBasis struct {
	State    CountState
	Probe    bool          // the request finds out whether there is room
	Owner    string        // name of the host that counts
	Occupied int           // by the count, before this request
	Age      time.Duration // of the latest report; negative if there is none
}

// PlaceEnd is how a request for which a place was taken fares.
type PlaceEnd int

// Ends of requests.
const (
	PlaceRunning  PlaceEnd = iota // the response has begun
	PlaceFreed                    // the endpoint has ended it
	PlaceGivenUp                  // the endpoint may go on running it
	PlaceRejected                 // the endpoint had no room
	PlaceNotSent                  // the endpoint has not got it
)

// placeCount counts the requests at one endpoint. It keeps no clock of its own.
type placeCount struct {
	began   clock.Instant // when this count began
	askedAt clock.Instant
	known   bool                 // a response or a report has come since it began
	taken   map[int64]takenPlace // by ticket: places that are not returned
	others  int                  // further requests that are taken to be there
	gaveUp  int                  // those of others that were given up since the latest report

	reported   int           // requests at the endpoint by the latest report
	reportedAt clock.Instant // zero if there is none
	slots      int           // by the latest report; 0 if not reported
	foreignAt  clock.Instant // when a report last showed requests that are not of this count

	room       float64 // learned from a rejection with free slots; infinite if there was none
	roomAt     clock.Instant
	probe      int64         // ticket of the probe that is on its way; 0 if there is none
	probedAt   clock.Instant // when the last probe was sent
	rejectedAt []clock.Instant

	part    slotPart
	lasts   time.Duration            // smoothed time for which a place is taken
	waiting map[string]clock.Instant // by host: those that got no place and were told to ask again by then
}

// takenPlace is a place that is not returned.
type takenPlace struct {
	at   clock.Instant
	from string // name of the host that took it
}

func newPlaceCount(now clock.Instant) *placeCount {
	return &placeCount{began: now, askedAt: now, taken: map[int64]takenPlace{}, waiting: map[string]clock.Instant{}, room: math.Inf(1)}
}

// take takes a place for a ticket if there is one, and returns what it went by. First means that no host
// precedes this one in the endpoint's order, so that it alone counts after a while.
func (c *placeCount) take(r PlaceRequest, first bool, now clock.Instant) (PlaceBasis, bool) {
	c.refresh(r, now)
	c.observeAged(r.Report, now)
	survives := max(r.Survives, 1)
	b := PlaceBasis{Occupied: c.occupied(), Age: -1}
	if !c.reportedAt.IsZero() {
		b.Age = now.Sub(c.reportedAt)
	}
	room := c.roomFor(r.Slots, now)
	free := room - b.Occupied
	b.State = c.state(free, first, survives, now)
	granted := false
	switch b.State {
	case CountSure:
		granted = true
	case CountCareful:
		unanswered := c.takenSince(c.reportedAt.Add(-travelTime))
		granted = unanswered < int(math.Ceil(carefulPart*float64(free+unanswered)))
	case CountApart:
		b.Probe = c.part.contact.slots == 0 && c.mayProbe(survives, now)
		granted = b.Probe || c.ofPart(free, room, now)
	case CountClosed, CountFull:
		b.Probe = c.mayProbe(survives, now)
		granted = b.Probe
	case CountStopped:
	}
	if granted {
		c.taken[r.Ticket] = takenPlace{at: now, from: r.From}
		delete(c.waiting, r.From)
	}
	if b.Probe {
		c.probe, c.probedAt = r.Ticket, now
	}
	return b, granted
}

// refresh forgets what is out of date, and begins anew after a time without questions.
func (c *placeCount) refresh(r PlaceRequest, now clock.Instant) {
	if now.Sub(c.askedAt) > countIdle {
		c.began, c.known, c.part.known = now, false, false
	}
	c.askedAt = now
	for from, until := range c.waiting {
		if now.Sub(until) > maxPlaceDelay {
			delete(c.waiting, from)
		}
	}
	for ticket, t := range c.taken {
		if now.Sub(t.at) > maxTaken {
			delete(c.taken, ticket)
		}
	}
	c.rejectedAt = slices.DeleteFunc(c.rejectedAt, func(at clock.Instant) bool { return now.Sub(at) >= rejectionSpan })
	if c.slots == 0 {
		c.slots = r.Report.Slots
	}
}

// state returns the state of the count with a number of free places.
func (c *placeCount) state(free int, first bool, survives int, now clock.Instant) CountState {
	switch {
	case len(c.rejectedAt) >= int(math.Ceil(stopPart*float64(survives))):
		return CountStopped
	case !c.part.known:
		return CountClosed
	case c.keepsToPart(now) && c.drained(now) && now.Sub(c.reportedAt) >= noticeFor:
		return CountApart // the parts of all counts have room together, whatever else is known
	case !c.known:
		return CountClosed
	case free <= 0:
		return CountFull
	case c.keepsToPart(now):
		return CountApart
	case first && now.Sub(c.began) >= carefulFor, c.alone(now):
		return CountSure
	default:
		return CountCareful
	}
}

// alone reports whether reports have shown for a while that nobody else sends to the endpoint.
func (c *placeCount) alone(now clock.Instant) bool {
	return !c.reportedAt.IsZero() && now.Sub(c.reportedAt) < aloneFor && now.Sub(c.began) >= aloneFor && now.Sub(c.foreignAt) >= aloneFor
}

// occupied returns how many requests are taken to be at the endpoint.
func (c *placeCount) occupied() int {
	n := len(c.taken) + c.others
	if c.reportedAt.IsZero() {
		return n
	}
	return min(n, c.reported+c.takenSince(c.reportedAt.Add(-travelTime))+c.gaveUp)
}

// takenSince returns how many of the places that are not returned were taken after a time.
func (c *placeCount) takenSince(at clock.Instant) int {
	n := 0
	for _, t := range c.taken {
		if t.at.After(at) {
			n++
		}
	}
	return n
}

// roomFor returns how many requests the endpoint takes.
func (c *placeCount) roomFor(slots int, now clock.Instant) int {
	if slots <= 0 {
		slots = defaultRoom
	}
	return int(min(float64(c.slotsOr(slots)), c.room+roomGrowth*now.Sub(c.roomAt).Seconds()))
}

// slotsOr returns the endpoint's slots, or a number if it has not reported them.
func (c *placeCount) slotsOr(unknown int) int {
	if c.slots > 0 {
		return c.slots
	}
	return unknown
}

// mayProbe reports whether a request may be sent to find out whether there is room.
func (c *placeCount) mayProbe(survives int, now clock.Instant) bool {
	_, running := c.taken[c.probe]
	pause := min(clock.Seconds(1/(probePart*float64(survives))), maxProbePause)
	if c.keepsToPart(now) {
		var due bool
		if pause, due = c.probesApart(pause, now); !due {
			return false
		}
	}
	switch {
	case !c.part.known:
		return false
	case running && !c.reportedAt.After(c.probedAt) && now.Sub(c.probedAt) < maxProbePause:
		return false // it has not found out yet
	case c.known && now.Sub(c.reportedAt) < reportLife:
		return false // reports tell
	}
	return c.probedAt.IsZero() || now.Sub(c.probedAt) >= pause
}

// giveBack records how the request with a ticket fares, with the report of its response.
func (c *placeCount) giveBack(ticket int64, end PlaceEnd, report PlaceReport, now clock.Instant) {
	t, ok := c.taken[ticket]
	if !ok {
		return // it was taken before this count began, or too long ago
	}
	if end != PlaceRunning {
		delete(c.taken, ticket)
	}
	switch end {
	case PlaceFreed:
		c.noteLasted(now.Sub(t.at))
	case PlaceGivenUp:
		c.others++
		c.gaveUp++
	case PlaceRejected:
		c.rejectedAt = append(c.rejectedAt, now)
		c.learnRoom(report, now)
	case PlaceRunning, PlaceNotSent:
	}
	c.observe(report, end == PlaceFreed, now.Add(-report.Age))
	c.known = c.known || end == PlaceFreed || end == PlaceRunning // also of an endpoint that reports no load
}

// lastsWeight is the weight of one request in the smoothed time for which places are taken.
const lastsWeight = 0.1

// noteLasted records for how long a place was taken.
func (c *placeCount) noteLasted(d time.Duration) {
	c.lasts = smooth(c.lasts, d)
}

// smooth returns a smoothed duration after a further value; it is 0 before the first.
func smooth(before, d time.Duration) time.Duration {
	if before == 0 {
		return d
	}
	return before + time.Duration(lastsWeight*float64(d-before))
}

// retryDelay returns when a host that got no place should ask again: when as many places as hosts wait
// have come free.
func (c *placeCount) retryDelay(from string, b PlaceBasis, now clock.Instant) time.Duration {
	if b.State == CountStopped {
		return max(minPlaceDelay, rejectionSpan-now.Sub(c.rejectedAt[0]))
	}
	if _, waits := c.waiting[from]; !waits {
		c.waiting[from] = now
	}
	delay := time.Duration(float64(len(c.waiting)) * float64(c.lasts) / float64(max(1, b.Occupied)))
	delay = min(max(delay, minPlaceDelay), maxPlaceDelay)
	c.waiting[from] = now.Add(delay)
	return delay
}

// learnRoom records how much an endpoint had when it rejected a request. With most slots free it did not
// lack room.
func (c *placeCount) learnRoom(r PlaceReport, now clock.Instant) {
	if r.Occupied < r.Slots && float64(r.Occupied) >= lackOfRoom*float64(r.Slots) {
		c.room, c.roomAt = float64(max(1, r.Occupied)), now
	}
}

// observeAged records a report of the host that asks, if it is fresh.
func (c *placeCount) observeAged(r PlaceReport, now clock.Instant) {
	if r.Age <= maxReportAge {
		c.observe(r, true, now.Add(-r.Age))
	}
}

// observe records a report that was made at a time. The others are no fewer than the reported requests
// that are not ours, and no more than those that can't be ours; within these bounds the count stays as
// it is. The report may count the request that has just ended.
func (c *placeCount) observe(r PlaceReport, mayCountEnded bool, at clock.Instant) {
	if r.Slots == 0 || !at.After(c.reportedAt) {
		return
	}
	c.reported, c.reportedAt, c.slots, c.gaveUp = r.Occupied, at, r.Slots, 0
	c.drawRounding()
	arrived := len(c.taken) - c.takenSince(at.Add(-travelTime))
	mostOthers := max(0, r.Occupied-arrived)
	leastOthers := max(0, r.Occupied-len(c.taken))
	if mayCountEnded {
		leastOthers = max(0, leastOthers-1)
	}
	if leastOthers > 0 {
		c.foreignAt = at
	}
	if !c.known {
		c.known, c.others = true, mostOthers
		return
	}
	c.others = min(max(c.others, leastOthers), mostOthers)
}
