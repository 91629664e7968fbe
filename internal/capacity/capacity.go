// Package capacity decides how many endpoints of a service are ordered in each data hall.
//
// # Usage
//
//	p := capacity.NewPlanner()
//	orders := p.Orders(now, capacity.State{Scaling: s, Slots: 64, Running: 180, Stocks: stocks})
//	... send each, then ...
//	p.Ordered(order) // or p.Refused(order, now)
//
// Load that it answers: work that comes in waves and bursts, endpoints that take seconds to start,
// cheap ones (spot) that may be taken away a data hall at a time, and data halls that are lost or
// evacuated. Enough endpoints serve that the work fits without those of any one data hall; most
// are spot endpoints, over a floor of ordinary ones that keeps serving, slower, if all spot
// endpoints go. Nothing here sends messages or reads a clock.
package capacity

import (
	"maps"
	"math"
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// Scaling is what operators declare of the number of a service's endpoints.
type Scaling struct {
	Least, Most int           // in each data hall, ordinary and spot ones together
	Boot        time.Duration // until a new one serves
	// SpotPrice is what a spot endpoint costs, as a part of an ordinary one; 0 where there
	// are none.
	SpotPrice float64
	Prices    map[string]float64 // of a second of an endpoint, by data hall
}

// Enabled reports whether operators let endpoints be ordered.
func (s Scaling) Enabled() bool { return s.Most > 0 }

// Cost is what a second of an endpoint costs.
func (s Scaling) Cost(hall string, spot bool) float64 {
	if spot {
		return s.Prices[hall] * s.SpotPrice
	}
	return s.Prices[hall]
}

// EndpointCounts is how many endpoints of a service serve in a data hall.
type EndpointCounts struct {
	Ordinary, Spot int
	Newer          int // ordinary ones that an upgrade brings in
}

// State is what is known of a service as it is planned for.
type State struct {
	Scaling       Scaling
	Slots         int                       // requests that an endpoint runs at once
	Running       float64                   // requests at endpoints or on their way there, over all hosts
	Serving       map[string]EndpointCounts // by data hall, for all that the service runs in
	ExcludedHalls []string                  // data halls that get nothing for now
	// Upgrading tells that an upgrade is under way: the endpoints that it brings in are counted
	// among the ordinary ones of an order.
	Upgrading bool
}

// Pool is the endpoints of one kind in a data hall, which are ordered together.
type Pool struct {
	Hall string
	Spot bool
}

// Order says how many endpoints there are to be in a lot.
type Order struct {
	Pool
	Count int
}

// Parameters of the plan.
const (
	// targetUtilization is the part of their slots that endpoints are to have in use at the usual peak:
	// tokens come more slowly the more requests run together, and a prompt that is read holds
	// up all beside it.
	targetUtilization = 0.2
	// spotTargetUtilization is the same where spot endpoints do most of the work. They cost a part, and bear
	// what comes together: a data hall that is lost, those of the others that are cold and have
	// no prompts, and a burst.
	spotTargetUtilization = 0.1
	// ordinaryPart of the endpoints that the work needs are ordinary ones; alone they have three
	// times the usual load.
	ordinaryPart = 1.0 / 3
	// peakHalfLife is the time in which half of a peak is forgotten: several waves of the work.
	peakHalfLife = 30 * time.Second
	// lowerDelay is how long fewer endpoints must be enough before fewer are ordered, and
	// lowersBy the least part of them that is let go: each that goes takes prompts with it.
	lowerDelay   = 4 * time.Second
	minLowerPart = 0.15
	// warmup is how long a planner must have seen work before it lets endpoints go: one that
	// has just begun, as after all hosts were killed, knows of little.
	warmup = 8 * time.Second
	// unavailableDuration is how long a lot is not ordered more of after none were to be had.
	unavailableDuration = 5 * time.Second
)

// Planner remembers what was ordered; not for use at once.
type Planner struct {
	firstWorkAt      clock.Instant // when it first saw work
	peak             float64
	peakAt           clock.Instant
	accepted         map[Pool]int
	lowerSince       map[Pool]clock.Instant // since when fewer are enough
	unavailableUntil map[Pool]clock.Instant // until when no more are to be had
	oldVersion       map[string]int         // ordinary endpoints of the version in force, by data hall, during an upgrade
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner() *Planner {
	return &Planner{accepted: map[Pool]int{}, lowerSince: map[Pool]clock.Instant{}, unavailableUntil: map[Pool]clock.Instant{}, oldVersion: map[string]int{}}
}

// Orders lists what is to be ordered now.
func (p *Planner) Orders(now clock.Instant, s State) []Order {
	p.recordRunning(now, s.Running)
	desired := p.countOldVersion(s).desired(p.peak)
	var orders []Order
	for _, l := range slices.SortedFunc(maps.Keys(desired), Pool.compare) {
		if count, due := p.due(now, l, desired[l], s.Serving[l.Hall].of(l)); due {
			orders = append(orders, Order{Pool: l, Count: count})
		}
	}
	return orders
}

// countOldVersion returns a state in which, during an upgrade, endpoints of the version in force that are down
// for a moment count as there: an order that was lowered by them would cost the new version as many
// when they are back.
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

// RecordAccepted takes in that the platform has taken an order.
func (p *Planner) RecordAccepted(o Order) {
	p.accepted[o.Pool] = o.Count
	delete(p.lowerSince, o.Pool)
}

// RecordUnavailable takes in that there are no more of a lot to be had.
func (p *Planner) RecordUnavailable(o Order, now clock.Instant) {
	p.unavailableUntil[o.Pool] = now.Add(unavailableDuration)
}

// Peak is the most that ran at once, as it is remembered.
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

// due returns what is to be ordered of a lot, if anything: at once if more are wanted, and after a
// while if far fewer are. What was ordered and does not serve, as after an upgrade whose old
// endpoints have gone, is not wanted any more at once: nothing is let go by that.
func (p *Planner) due(now clock.Instant, l Pool, desired, serving int) (count int, due bool) {
	accepted, known := p.accepted[l]
	if !known {
		accepted = serving
	}
	if desired > accepted {
		delete(p.lowerSince, l)
		return desired, !now.Before(p.unavailableUntil[l])
	}
	if accepted-desired < max(1, int(math.Ceil(minLowerPart*float64(accepted)))) {
		delete(p.lowerSince, l)
		return 0, false
	}
	if serving < accepted {
		return max(desired, serving), true
	}
	since, ok := p.lowerSince[l]
	if !ok {
		p.lowerSince[l] = now
		return 0, false
	}
	return desired, now.Sub(since) >= lowerDelay && now.Sub(p.firstWorkAt) >= warmup
}

// desired is how many endpoints there are to be in each lot if so many requests run at once.
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

// perHall is how many endpoints a data hall is to have, so that all but one have what is needed.
func (s State) perHall(needed float64) int {
	return int(math.Ceil(needed / float64(max(len(s.halls())-1, 1))))
}

// planSpot plans for a data hall with a floor of ordinary endpoints, for what is needed of these, and spot
// ones beside them, for all that is needed where they do the work.
func (s State) planSpot(desired map[Pool]int, hall string, ordinaryNeeded, spotNeeded float64) {
	halls := float64(len(s.halls()))
	floor, spotServing := math.Ceil(ordinaryPart*ordinaryNeeded/halls), 0
	for _, counts := range s.Serving {
		spotServing += counts.Spot
	}
	// Until enough spot endpoints serve, ordinary ones do.
	missing := max(0, spotNeeded-float64(spotServing)-floor*halls)
	ordinary := min(max(int(floor+math.Ceil(missing/halls)), s.Scaling.Least), s.Scaling.Most)
	desired[Pool{Hall: hall}] = ordinary
	desired[Pool{Hall: hall, Spot: true}] = min(max(0, s.perHall(spotNeeded)-int(floor)), s.Scaling.Most-ordinary)
}

// planUpgrade plans for a data hall in which an upgrade is under way. What an order is lowered by is
// taken from the endpoints that came last, so those of the version in force are all kept, and of
// the new ones as many as the work needs once it is moved to them. Before any of them serve,
// orders are not lowered.
func (s State) planUpgrade(desired map[Pool]int, hall string, perHall int) {
	counts := s.Serving[hall]
	if counts.Newer > 0 || perHall > counts.Ordinary {
		desired[Pool{Hall: hall}] = min(max(counts.Ordinary, perHall)+min(counts.Newer, perHall), s.Scaling.Most)
	}
}

// hasSpot reports whether there are spot endpoints that are worth their loss.
func (s Scaling) hasSpot() bool { return s.SpotPrice > 0 && s.SpotPrice < 1 }

// halls are the data halls that may take requests, in order.
func (s State) halls() []string {
	var halls []string
	for _, h := range slices.Sorted(maps.Keys(s.Serving)) {
		if !slices.Contains(s.ExcludedHalls, h) {
			halls = append(halls, h)
		}
	}
	return halls
}

// of is how many of a lot serve.
func (s EndpointCounts) of(l Pool) int {
	if l.Spot {
		return s.Spot
	}
	return s.Ordinary + s.Newer
}

// compare orders lots: more spot endpoints are asked for first.
func (l Pool) compare(o Pool) int {
	switch {
	case l.Spot != o.Spot && l.Spot:
		return -1
	case l.Spot != o.Spot:
		return 1
	case l.Hall < o.Hall:
		return -1
	case l.Hall > o.Hall:
		return 1
	default:
		return 0
	}
}

// AcceptedOrders is what was ordered, by lot.
func (p *Planner) AcceptedOrders() map[Pool]int { return maps.Clone(p.accepted) }
