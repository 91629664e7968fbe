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
	// fill is the part of their slots that endpoints are to have in use at the usual peak:
	// tokens come more slowly the more requests run together, and a prompt that is read holds
	// up all beside it.
	fill = 0.2
	// spotFill is the same where spot endpoints do most of the work. They cost a part, and bear
	// what comes together: a data hall that is lost, those of the others that are cold and have
	// no prompts, and a burst.
	spotFill = 0.1
	// floorPart of the endpoints that the work needs are ordinary ones; alone they have three
	// times the usual load.
	floorPart = 1.0 / 3
	// forgets is the time in which half of a peak is forgotten: several waves of the work.
	forgets = 30 * time.Second
	// lowersAfter is how long fewer endpoints must be enough before fewer are ordered, and
	// lowersBy the least part of them that is let go: each that goes takes prompts with it.
	lowersAfter = 4 * time.Second
	lowersBy    = 0.15
	// learnsFor is how long a planner must have seen work before it lets endpoints go: one that
	// has just begun, as after all hosts were killed, knows of little.
	learnsFor = 8 * time.Second
	// dryFor is how long a lot is not ordered more of after none were to be had.
	dryFor = 5 * time.Second
)

// Planner remembers what was ordered; not for use at once.
type Planner struct {
	began   clock.Instant // when it first saw work
	peak    float64
	peakAt  clock.Instant
	ordered map[Pool]int
	lower   map[Pool]clock.Instant // since when fewer are enough
	dry     map[Pool]clock.Instant // until when no more are to be had
	old     map[string]int         // ordinary endpoints of the version in force, by data hall, during an upgrade
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner() *Planner {
	return &Planner{ordered: map[Pool]int{}, lower: map[Pool]clock.Instant{}, dry: map[Pool]clock.Instant{}, old: map[string]int{}}
}

// Orders lists what is to be ordered now.
func (p *Planner) Orders(now clock.Instant, s State) []Order {
	p.remember(now, s.Running)
	want := p.whole(s).want(p.peak)
	var orders []Order
	for _, l := range slices.SortedFunc(maps.Keys(want), Pool.compare) {
		if count, due := p.due(now, l, want[l], s.Serving[l.Hall].of(l)); due {
			orders = append(orders, Order{Pool: l, Count: count})
		}
	}
	return orders
}

// whole returns a state in which, during an upgrade, endpoints of the version in force that are down
// for a moment count as there: an order that was lowered by them would cost the new version as many
// when they are back.
func (p *Planner) whole(s State) State {
	if !s.Upgrading {
		clear(p.old)
		return s
	}
	stocks := map[string]EndpointCounts{}
	for hall, stock := range s.Serving {
		p.old[hall] = max(p.old[hall], stock.Ordinary)
		stock.Ordinary = p.old[hall]
		stocks[hall] = stock
	}
	s.Serving = stocks
	return s
}

// RecordAccepted takes in that the platform has taken an order.
func (p *Planner) RecordAccepted(o Order) {
	p.ordered[o.Pool] = o.Count
	delete(p.lower, o.Pool)
}

// RecordUnavailable takes in that there are no more of a lot to be had.
func (p *Planner) RecordUnavailable(o Order, now clock.Instant) { p.dry[o.Pool] = now.Add(dryFor) }

// Peak is the most that ran at once, as it is remembered.
func (p *Planner) Peak() float64 { return p.peak }

func (p *Planner) remember(now clock.Instant, running float64) {
	if !p.peakAt.IsZero() {
		p.peak *= math.Exp2(-now.Sub(p.peakAt).Seconds() / forgets.Seconds())
	}
	p.peak, p.peakAt = max(p.peak, running), now
	if p.began.IsZero() && running > 0 {
		p.began = now
	}
}

// due returns what is to be ordered of a lot, if anything: at once if more are wanted, and after a
// while if far fewer are. What was ordered and does not serve, as after an upgrade whose old
// endpoints have gone, is not wanted any more at once: nothing is let go by that.
func (p *Planner) due(now clock.Instant, l Pool, want, serving int) (count int, due bool) {
	have, known := p.ordered[l]
	if !known {
		have = serving
	}
	if want > have {
		delete(p.lower, l)
		return want, !now.Before(p.dry[l])
	}
	if have-want < max(1, int(math.Ceil(lowersBy*float64(have)))) {
		delete(p.lower, l)
		return 0, false
	}
	if serving < have {
		return max(want, serving), true
	}
	since, ok := p.lower[l]
	if !ok {
		p.lower[l] = now
		return 0, false
	}
	return want, now.Sub(since) >= lowersAfter && now.Sub(p.began) >= learnsFor
}

// want is how many endpoints there are to be in each lot if so many requests run at once.
func (s State) want(running float64) map[Pool]int {
	halls := s.halls()
	want := map[Pool]int{}
	if len(halls) == 0 || running <= 0 || s.Slots <= 0 {
		return want
	}
	needed := math.Ceil(running / (fill * float64(s.Slots)))
	for _, h := range halls {
		switch {
		case s.Upgrading:
			s.beside(want, h, s.each(needed))
		case s.Scaling.hasSpot():
			s.mixed(want, h, needed, math.Ceil(running/(spotFill*float64(s.Slots))))
		default:
			want[Pool{Hall: h}] = min(max(s.each(needed), s.Scaling.Least), s.Scaling.Most)
		}
	}
	return want
}

// each is how many endpoints a data hall is to have, so that all but one have what is needed.
func (s State) each(needed float64) int {
	return int(math.Ceil(needed / float64(max(len(s.halls())-1, 1))))
}

// mixed plans for a data hall with a floor of ordinary endpoints, for what is needed of these, and spot
// ones beside them, for all that is needed where they do the work.
func (s State) mixed(want map[Pool]int, hall string, needed, all float64) {
	halls := float64(len(s.halls()))
	floor, serving := math.Ceil(floorPart*needed/halls), 0
	for _, stock := range s.Serving {
		serving += stock.Spot
	}
	// Until enough spot endpoints serve, ordinary ones do.
	missing := max(0, all-float64(serving)-floor*halls)
	ordinary := min(max(int(floor+math.Ceil(missing/halls)), s.Scaling.Least), s.Scaling.Most)
	want[Pool{Hall: hall}] = ordinary
	want[Pool{Hall: hall, Spot: true}] = min(max(0, s.each(all)-int(floor)), s.Scaling.Most-ordinary)
}

// beside plans for a data hall in which an upgrade is under way. What an order is lowered by is
// taken from the endpoints that came last, so those of the version in force are all kept, and of
// the new ones as many as the work needs once it is moved to them. Before any of them serve,
// orders are not lowered.
func (s State) beside(want map[Pool]int, hall string, each int) {
	stock := s.Serving[hall]
	if stock.Newer > 0 || each > stock.Ordinary {
		want[Pool{Hall: hall}] = min(max(stock.Ordinary, each)+min(stock.Newer, each), s.Scaling.Most)
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
func (p *Planner) AcceptedOrders() map[Pool]int { return maps.Clone(p.ordered) }
