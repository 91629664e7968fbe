package ratelimit

import (
	"math/rand/v2"
	"time"

	"quaybarrow/internal/clock"
)

// Parameters of counts that miss hosts.
const (
	// rejoinFor is how long a count keeps to its part after all hosts answer again: until then their
	// requests may be counted by others.
	rejoinFor = 1200 * time.Millisecond
	// noticeFor is the time in which all counts miss each other's hosts.
	noticeFor = 500 * time.Millisecond
	// drainFactor times the usual time of a request is the time in which most of what was given out has ended.
	drainFactor = 1.5
	// nobodyElseFor is how long reports must have shown no requests of others before hosts that are missed
	// are taken to send nothing.
	nobodyElseFor = time.Second
)

// contact tells which of the hosts that have slots or places of an endpoint answer this host.
type contact struct {
	missed   map[string]bool // names of those that do not answer, of any endpoint
	lost     map[string]bool // those of them that have slots and may be alive
	slots    int             // that belong to this host, to those that answer and to dead ones
	preceded bool            // a host that precedes this one in the endpoint's order answers, and should count
	after    int             // how many hosts without slots precede this one
	hosts    int             // how many there are
}

// slotPart is the part of an endpoint's slots that a count may give out while hosts are missed.
type slotPart struct {
	known     bool            // the hosts with slots have been asked since the count began
	contact   contact         // when hosts were last missed
	lost      map[string]bool // names of the hosts that were last lost
	lostSince clock.Instant   // when the latest of them was
	lostAt    clock.Instant   // zero if none has been lost
	smallAt   clock.Instant   // when the hosts that answered last had no more slots than in contact
	rounding  float64         // from 0 to 1; drawn for each report
}

// slotsOfRank returns how many of an endpoint's slots belong to the host of a rank, from 0, in its order.
func slotsOfRank(rank, slots, hosts int) int {
	n := slots / hosts
	if rank < slots%hosts {
		n++
	}
	return n
}

// noteContact records which hosts answer, and reports whether the count begins to miss some. Slots of a host
// that answers again are this count's after a while only, as another may still count its requests.
func (c *placeCount) noteContact(n contact, now clock.Instant) (begins bool) {
	c.part.known = true
	for ticket, t := range c.taken {
		if n.missed[t.from] {
			c.giveBack(ticket, PlaceGivenUp, PlaceReport{}, now) // the host can't tell how the request fares
		}
	}
	if len(n.lost) == 0 {
		return false
	}
	begins = !c.missesHosts(now)
	for name := range n.lost {
		if begins || !c.part.lost[name] {
			c.part.lostSince = now
		}
	}
	c.part.lost, c.part.lostAt = n.lost, now
	if begins || n.slots <= c.part.contact.slots || now.Sub(c.part.smallAt) >= rejoinFor {
		c.part.contact, c.part.smallAt = n, now
	}
	return begins
}

// missesHosts reports whether hosts are missed, or were until a moment ago.
func (c *placeCount) missesHosts(now clock.Instant) bool {
	return !c.part.lostAt.IsZero() && now.Sub(c.part.lostAt) < rejoinFor
}

// keepsToPart reports whether hosts that are missed may send to the endpoint. If they live, reports show their
// requests once all counts have come down to their parts.
func (c *placeCount) keepsToPart(now clock.Instant) bool {
	if !c.missesHosts(now) {
		return false
	}
	drained := now.Sub(c.part.lostSince) - c.drainTime()
	nobodyElse := c.alone(now) && now.Sub(c.foreignAt) >= nobodyElseFor && drained >= nobodyElseFor
	return !nobodyElse
}

// drainTime is the time after hosts were missed in which all counts have come down to their parts.
func (c *placeCount) drainTime() time.Duration {
	if c.lasts == 0 {
		return carefulFor
	}
	return noticeFor + time.Duration(drainFactor*float64(c.lasts))
}

// drained reports whether all counts have come down to their parts.
func (c *placeCount) drained(now clock.Instant) bool {
	return now.Sub(c.part.lostSince) >= c.drainTime()
}

// own returns how many of the requests at the endpoint may be this count's.
func (c *placeCount) own() int { return min(len(c.taken), c.occupied()) }

// ofPart reports whether another place may be given of this count's part of the slots. While others may
// hold more than their parts, only its part of what a report shows free is given.
func (c *placeCount) ofPart(free, room int, now clock.Instant) bool {
	if c.own() >= c.part.contact.slots {
		return false
	}
	if c.drained(now) || c.othersHoldLittle(now) {
		return true
	}
	unanswered := c.takenSince(c.reportedAt.Add(-travelTime))
	part := float64(c.part.contact.slots) / float64(room)
	return float64(unanswered+1) <= part*float64(free+unanswered)+c.part.rounding
}

// othersHoldLittle reports whether all others, who know that they miss hosts, hold no more than this count may.
func (c *placeCount) othersHoldLittle(now clock.Instant) bool {
	arrived := len(c.taken) - c.takenSince(c.reportedAt.Add(-travelTime))
	return now.Sub(c.part.lostSince) >= noticeFor && c.reported-arrived <= c.part.contact.slots
}

// probesApart returns the time between two probes while hosts are missed that have all the slots, and whether one
// is due: they may have left the slots, and no report comes. All hosts may be in this state, so each has its turn by
// its rank.
func (c *placeCount) probesApart(pause time.Duration, now clock.Instant) (time.Duration, bool) {
	n := c.part.contact
	turn := c.drainTime() + nobodyElseFor + time.Duration(n.after)*pause
	return time.Duration(n.hosts) * pause, n.slots == 0 && !n.preceded && now.Sub(c.part.lostSince) >= turn
}

// drawRounding draws by what the part of a new report's free slots is rounded.
func (c *placeCount) drawRounding() {
	c.part.rounding = rand.Float64() //nolint:gosec // no secret
}
