package share

import (
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

const (
	// reportValidity is how long a report counts.
	reportValidity = time.Second
	// divisionInterval is how long a division is used for further reports.
	divisionInterval = 50 * time.Millisecond
	// observationValidity is how long observations count in the capacity. It is longer than maxStep and
	// the pause that a lost report makes.
	observationValidity = 2 * time.Second
	// absenceTime is how long a host whose reports stopped although it had announced more counts as
	// one that reports to another owner, or has died.
	absenceTime = 10 * time.Second
	// minArrivals and maxStep bound the steps of the capacity while work is refused: the fewer requests
	// arrive, the longer it takes until endpoints show the effect of a step.
	minArrivals = 100
	maxStep     = 800 * time.Millisecond
	// logInterval is the least time between two log lines on a service.
	logInterval = time.Second
)

// heldReport is the newest report of a host.
type heldReport struct {
	Report
	at clock.Instant
}

// valid reports whether the report counts.
func (h heldReport) valid(now clock.Instant) bool { return now.Sub(h.at) <= reportValidity }

// missing reports whether the host should report but does not.
func (h heldReport) missing(now clock.Instant) bool {
	return !h.valid(now) && h.PressedFor > reportValidity && now.Sub(h.at) <= absenceTime
}

// setting is what a division depends on apart from the reports.
type setting struct {
	supply Supply
	weight func(workspace string) float64
	// share returns the part of the supply that is divided, given how many hosts report and how many
	// should but do not.
	share func(reporting, missing int) float64
}

// owner divides the capacity of one service by the reports of hosts. It is not safe for concurrent use.
type owner struct {
	reports   map[string]heldReport // newest, by host
	capacity  Capacity
	allotment Allotment
	dividedAt clock.Instant
	undecided bool // nothing has been observed for the time of a step yet

	// Counters since the last step of the capacity.
	steppedAt  clock.Instant
	arrivals   int
	rejections int
	occupancy  float64 // sum
	responses  int     // number of occupancies in the sum

	loggedAt  clock.Instant
	loggedCut []Class
}

func newOwner() *owner {
	return &owner{reports: map[string]heldReport{}, capacity: NewCapacity(), undecided: true}
}

// record takes a report in.
func (o *owner) record(r Report, now clock.Instant) {
	o.reports[r.Host] = heldReport{r, now}
	if o.undecided && r.Factor > 0 {
		o.capacity = o.capacity.WithFactor(r.Factor)
	}
	o.arrivals += r.Arrivals
	o.rejections += r.Rejections
	if r.Occupancy >= 0 {
		o.occupancy += r.Occupancy * float64(r.Responses)
		o.responses += r.Responses
	}
}

// divide returns the reply to hosts, and whether the allotment was made anew.
func (o *owner) divide(now clock.Instant, current setting) (Reply, bool) {
	if !o.dividedAt.IsZero() && now.Sub(o.dividedAt) < divisionInterval {
		return o.reply(), false
	}
	o.dividedAt = now
	o.capacity = o.capacity.WithSupply(current.supply)
	demand, observation := o.observe(now, current)
	o.step(now, observation)
	o.allotment = Allotment{demand: observation.Demand, capacity: o.capacity.Of(observation.Supply)}
	if o.capacity.Cutting() {
		o.allotment = Allot(o.capacity.Available(observation.Supply), demand, current.weight)
	}
	return o.reply(), true
}

// reply returns the reply to hosts.
func (o *owner) reply() Reply {
	r := replyOf(o.allotment)
	r.Undecided = o.undecided
	r.Factor = o.capacity.Factor()
	return r
}

// observe returns the demand of all hosts and what the reports say of endpoints. It forgets old reports.
func (o *owner) observe(now clock.Instant, s setting) (map[Class]float64, Observation) {
	demand, observation := map[Class]float64{}, Observation{Arrivals: o.arrivals, Rejections: o.rejections, Occupancy: -1}
	reporting, missing := 0, 0
	for name, h := range o.reports {
		switch {
		case h.missing(now):
			missing++
		case !h.valid(now):
			delete(o.reports, name)
		default:
			reporting++
			observation.Admitted += h.Admitted
			for c, d := range h.Demand {
				demand[c] += d
				observation.Demand += d
			}
		}
	}
	observation.Supply = s.supply.work() * s.share(reporting, missing)
	if o.responses > 0 {
		observation.Occupancy = o.occupancy / float64(o.responses)
	}
	return demand, observation
}

// step adjusts the capacity to what was observed since the last step.
func (o *owner) step(now clock.Instant, observation Observation) {
	pause := now.Sub(o.steppedAt)
	switch {
	case o.steppedAt.IsZero() || pause > observationValidity:
		// What was observed before a pause says nothing of now; the factor stays a good guess.
		o.capacity = o.capacity.WithoutObservations()
		o.undecided = true
	case pause < exchangeInterval, o.capacity.Cutting() && o.arrivals < minArrivals && pause < maxStep:
		return
	default:
		o.capacity = o.capacity.WithObservation(observation)
		o.undecided = false
	}
	o.steppedAt = now
	o.arrivals, o.rejections, o.occupancy, o.responses = 0, 0, 0, 0
}

// logDue reports whether the classes cut have changed since the last log line and a line may be written.
// It records that it is.
func (o *owner) logDue(now clock.Instant) bool {
	if slices.Equal(o.loggedCut, o.allotment.Cut()) || !o.loggedAt.IsZero() && now.Sub(o.loggedAt) < logInterval {
		return false
	}
	o.loggedAt = now
	o.loggedCut = o.allotment.Cut()
	return true
}
