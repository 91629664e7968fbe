// Package capacity plans how many endpoints of a service to order in each data hall.
//
// # Usage
//
//	p := capacity.NewPlanner()
//	orders := p.Orders(now, capacity.State{Scaling: s, Slots: 64, Running: 180, Serving: counts})
//	... send each, then ...
//	p.RecordAccepted(order) // or p.RecordUnavailable(order, now)
//
// A plan allows for load in waves and bursts, endpoints that take seconds to start, cheap (spot)
// endpoints that may be reclaimed one data hall at a time, and data halls that are lost or
// evacuated. Enough endpoints serve that the remaining ones can carry the load if any one data hall
// is lost. Most are spot endpoints, above a minimum of ordinary ones that keeps serving, more
// slowly, if all spot endpoints are lost. The package sends no messages and reads no clock.
package capacity

import (
	"maps"
	"math"
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// Scaling is the operators' declaration for the number of a service's endpoints.
type Scaling struct {
	Least, Most int           // bounds for each data hall, for ordinary and spot endpoints together
	Boot        time.Duration // time until a new endpoint serves
	// SpotPrice is the price of a spot endpoint as a fraction of that of an ordinary one; 0 if
	// there are no spot endpoints.
	SpotPrice float64
	Prices    map[string]float64 // price of an ordinary endpoint for a second, by data hall
}

// Enabled reports whether operators allow endpoints to be ordered.
func (s Scaling) Enabled() bool { return s.Most > 0 }

// Cost returns the price of an endpoint for a second.
func (s Scaling) Cost(hall string, spot bool) float64 {
	if spot {
		return s.Prices[hall] * s.SpotPrice
	}
	return s.Prices[hall]
}

// EndpointCounts counts the endpoints of a service that serve in a data hall.
type EndpointCounts struct {
	Ordinary, Spot int
	Newer          int // ordinary endpoints of the version that an upgrade introduces
}

// State is the input of a plan for a service.
type State struct {
	Scaling       Scaling
	Slots         int                       // requests that an endpoint runs concurrently
	Running       float64                   // requests at endpoints or on their way there, from all hosts
	Serving       map[string]EndpointCounts // counts by data hall, for all data halls that the service runs in
	ExcludedHalls []string                  // data halls that get no requests for now
	// Upgrading reports whether an upgrade is in progress. The endpoints that it introduces count
	// as ordinary ones in an order.
	Upgrading bool
}

// Pool identifies the endpoints of one kind in a data hall, which are ordered together.
type Pool struct {
	Hall string
	Spot bool
}

// Order sets the number of endpoints that a pool should have.
type Order struct {
	Pool
	Count int
}

// Parameters of the plan.
const (
	// targetUtilization is the part of the endpoints' slots that should be in use at the usual
	// peak. It is low because tokens come more slowly the more requests an endpoint runs, and
	// the processing of a prompt delays all other requests of the endpoint.
	targetUtilization = 0.2
	// spotTargetUtilization is the same where spot endpoints do most of the work. They cost a
	// fraction of ordinary ones, and have to bear several events at once: the loss of a data
	// hall, cold endpoints without cached prompts in the others, and a burst.
	spotTargetUtilization = 0.1
	// ordinaryPart is the part of the needed endpoints that are ordinary ones even where there are
	// spot endpoints. Alone they have three times the usual load.
	ordinaryPart = 1.0 / 3
	// peakHalfLife is the half-life of the remembered peak. It spans several waves of load.
	peakHalfLife = 30 * time.Second
	// lowerDelay is how long fewer endpoints must suffice before fewer are ordered, and
	// minLowerPart the smallest part of a pool that is released: each released endpoint loses its
	// cached prompts.
	lowerDelay   = 4 * time.Second
	minLowerPart = 0.15
	// warmup is how long a planner must have seen load before it releases endpoints. A new
	// planner, for instance after all hosts were killed, has seen only part of the load.
	warmup = 8 * time.Second
	// unavailableDuration is how long no more endpoints of a pool are ordered after the platform
	// had none available.
	unavailableDuration = 5 * time.Second
)

// Planner plans for one service and remembers the accepted orders and the peak load. It is not safe
// for concurrent use.
type Planner struct {
	firstWorkAt      clock.Instant // when it first saw load
	peak             float64
	peakAt           clock.Instant
	accepted         map[Pool]int
	lowerSince       map[Pool]clock.Instant // since when fewer endpoints suffice
	unavailableUntil map[Pool]clock.Instant // until when no more endpoints are ordered
	oldVersion       map[string]int         // most ordinary endpoints of the version in force seen during an upgrade, by data hall
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner() *Planner {
	return &Planner{accepted: map[Pool]int{}, lowerSince: map[Pool]clock.Instant{}, unavailableUntil: map[Pool]clock.Instant{}, oldVersion: map[string]int{}}
}

// Orders returns the orders to send now.
func (p *Planner) Orders(now clock.Instant, s State) []Order {
	p.recordRunning(now, s.Running)
	desired := p.countOldVersion(s).desired(p.peak)
	var orders []Order
	for _, pool := range slices.SortedFunc(maps.Keys(desired), Pool.compare) {
		if count, due := p.due(now, pool, desired[pool], s.Serving[pool.Hall].count(pool)); due {
			orders = append(orders, Order{Pool: pool, Count: count})
		}
	}
	return orders
}

// countOldVersion returns a state in which, during an upgrade, endpoints of the version in force
// that are down for a moment still count as serving. If they lowered an order, the new version would
// lose as many endpoints once they were back.
func (p *Planner) countOldVersion(s State) State {
	if !s.Upgrading {
		clear(p.oldVersion)
		return s
	}
	serving := map[string]EndpointCounts{}
	for hall, counts := range s.Serving {
		p.oldVersion[hall] = max(p.oldVersion[hall], counts.Ordinary)
		counts.Ordinary = p.oldVersion[hall]
		serving[hall] = counts
	}
	s.Serving = serving
	return s
}

// RecordAccepted records that the platform accepted an order.
func (p *Planner) RecordAccepted(o Order) {
	p.accepted[o.Pool] = o.Count
	delete(p.lowerSince, o.Pool)
}

// RecordUnavailable records that the platform has no more endpoints for the pool of an order.
func (p *Planner) RecordUnavailable(o Order, now clock.Instant) {
	p.unavailableUntil[o.Pool] = now.Add(unavailableDuration)
}

// Peak returns the decaying maximum of concurrently running requests.
func (p *Planner) Peak() float64 { return p.peak }

func (p *Planner) recordRunning(now clock.Instant, running float64) {
	if !p.peakAt.IsZero() {
		p.peak *= math.Exp2(-now.Sub(p.peakAt).Seconds() / peakHalfLife.Seconds())
	}
	p.peak, p.peakAt = max(p.peak, running), now
	if p.firstWorkAt.IsZero() && running > 0 {
		p.firstWorkAt = now
	}
}

// due returns the count to order for a pool, if an order is due: at once if more endpoints are
// desired, and after a delay if far fewer are. Ordered endpoints that don't serve, for instance after
// an upgrade whose old endpoints are gone, are dropped from the order at once, since that releases
// no endpoint.
func (p *Planner) due(now clock.Instant, pool Pool, desired, serving int) (count int, due bool) {
	accepted, known := p.accepted[pool]
	if !known {
		accepted = serving
	}
	if desired > accepted {
		delete(p.lowerSince, pool)
		return desired, !now.Before(p.unavailableUntil[pool])
	}
	if accepted-desired < max(1, int(math.Ceil(minLowerPart*float64(accepted)))) {
		delete(p.lowerSince, pool)
		return 0, false
	}
	if serving < accepted {
		return max(desired, serving), true
	}
	since, ok := p.lowerSince[pool]
	if !ok {
		p.lowerSince[pool] = now
		return 0, false
	}
	return desired, now.Sub(since) >= lowerDelay && now.Sub(p.firstWorkAt) >= warmup
}

// desired returns the number of endpoints that each pool should have for a number of running requests.
func (s State) desired(running float64) map[Pool]int {
	halls := s.halls()
	desired := map[Pool]int{}
	if len(halls) == 0 || running <= 0 || s.Slots <= 0 {
		return desired
	}
	needed := math.Ceil(running / (targetUtilization * float64(s.Slots)))
	for _, h := range halls {
		switch {
		case s.Upgrading:
			s.planUpgrade(desired, h, s.perHall(needed))
		case s.Scaling.hasSpot():
			s.planSpot(desired, h, needed, math.Ceil(running/(spotTargetUtilization*float64(s.Slots))))
		default:
			desired[Pool{Hall: h}] = min(max(s.perHall(needed), s.Scaling.Least), s.Scaling.Most)
		}
	}
	return desired
}

// perHall returns the number of endpoints per data hall with which all data halls but one have the
// needed number together.
func (s State) perHall(needed float64) int {
	return int(math.Ceil(needed / float64(max(len(s.halls())-1, 1))))
}

// planSpot plans a data hall with spot endpoints: a minimum of ordinary ones, which follows from
// ordinaryNeeded, and spot ones up to spotNeeded, the number needed where they do most of the work.
func (s State) planSpot(desired map[Pool]int, hall string, ordinaryNeeded, spotNeeded float64) {
	halls := float64(len(s.halls()))
	floor, spotServing := math.Ceil(ordinaryPart*ordinaryNeeded/halls), 0
	for _, counts := range s.Serving {
		spotServing += counts.Spot
	}
	// Ordinary endpoints stand in for spot endpoints that don't serve yet.
	missing := max(0, spotNeeded-float64(spotServing)-floor*halls)
	ordinary := min(max(int(floor+math.Ceil(missing/halls)), s.Scaling.Least), s.Scaling.Most)
	desired[Pool{Hall: hall}] = ordinary
	desired[Pool{Hall: hall, Spot: true}] = min(max(0, s.perHall(spotNeeded)-int(floor)), s.Scaling.Most-ordinary)
}

// planUpgrade plans a data hall during an upgrade. A lowered order removes the newest endpoints, so
// the plan keeps all endpoints of the version in force, and as many of the new version as the load
// needs once it is moved to them. Orders are not lowered before any endpoint of the new version
// serves.
func (s State) planUpgrade(desired map[Pool]int, hall string, perHall int) {
	counts := s.Serving[hall]
	if counts.Newer > 0 || perHall > counts.Ordinary {
		desired[Pool{Hall: hall}] = min(max(counts.Ordinary, perHall)+min(counts.Newer, perHall), s.Scaling.Most)
	}
}

// hasSpot reports whether there are spot endpoints and they are cheap enough to make up for their
// losses.
func (s Scaling) hasSpot() bool { return s.SpotPrice > 0 && s.SpotPrice < 1 }

// halls returns the data halls that may take requests, sorted by name.
func (s State) halls() []string {
	var halls []string
	for _, h := range slices.Sorted(maps.Keys(s.Serving)) {
		if !slices.Contains(s.ExcludedHalls, h) {
			halls = append(halls, h)
		}
	}
	return halls
}

// count returns the number of endpoints of a pool that serve.
func (c EndpointCounts) count(pool Pool) int {
	if pool.Spot {
		return c.Spot
	}
	return c.Ordinary + c.Newer
}

// compare sorts pools so that spot endpoints are ordered before ordinary ones.
func (p Pool) compare(o Pool) int {
	switch {
	case p.Spot != o.Spot && p.Spot:
		return -1
	case p.Spot != o.Spot:
		return 1
	case p.Hall < o.Hall:
		return -1
	case p.Hall > o.Hall:
		return 1
	default:
		return 0
	}
}

// AcceptedOrders returns the counts of the orders that the platform accepted, by pool.
func (p *Planner) AcceptedOrders() map[Pool]int { return maps.Clone(p.accepted) }
