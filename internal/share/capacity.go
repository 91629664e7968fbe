package share

// Bounds of the capacity estimate. Each applies to one step, which is taken every exchangeInterval, and
// less often where few requests arrive.
const (
	// minFactor and maxFactor bound the factor: a value beyond them points to wrong estimates of work.
	minFactor = 0.1
	maxFactor = 10
	// freeOccupancy is the mean occupancy below which endpoints have room for sure.
	freeOccupancy = 0.75
	// tolerableRejections is the fraction of arrivals that may be rejected without consequence.
	tolerableRejections = 0.02
	// servedMargin is the part of the served work that is taken as capacity after rejections.
	servedMargin = 0.95
	// effectiveMargin is by how much the admitted work may exceed the capacity if hosts have applied
	// the latest fractions.
	effectiveMargin = 1.1
	// minAvailable is the part of the capacity that is available at least.
	minAvailable = 0.6
	// occupancySmoothing is the weight of the latest observation of the occupancy.
	occupancySmoothing = 0.5
)

// bounds are the mean occupancies between which the factor stays, and how much it changes beyond them.
type bounds struct {
	grow float64 // below it, the factor grows
	full float64 // above it, the factor shrinks

	// Changes of the factor in one step.
	growth     float64
	fastGrowth float64 // while endpoints have room for sure
	shrinkage  float64
	// maxShrinkage bounds one step, since the measured work of one step may be wrong.
	maxShrinkage float64
}

var (
	// engineBounds change the factor little, since engines show the effect of a step only as their long
	// requests end.
	engineBounds = bounds{grow: 0.9, full: 1, growth: 1.02, fastGrowth: 1.05, shrinkage: 0.97, maxShrinkage: 0.95}
	// plainBounds allow some waiting requests: with few slots, random arrivals make some wait long
	// before all slots are busy, for less than the time of one request. With the bounds of engines, a
	// service at 0.75 of its capacity would refuse requests that could all begin in time.
	plainBounds = bounds{grow: 1.5, full: 2, growth: 1.05, fastGrowth: 1.25, shrinkage: 0.9, maxShrinkage: 0.5}
)

// boundsOf returns the bounds for the endpoints of a service.
func boundsOf(s Supply) bounds {
	if s.Parallel > 1 {
		return plainBounds
	}
	return engineBounds
}

// Observation is what hosts have reported in one step.
type Observation struct {
	Supply     float64 // seconds of work per second at a factor of 1
	Demand     float64 // seconds of work per second that are asked for
	Admitted   float64 // seconds of work per second that were admitted
	Arrivals   int     // at endpoints
	Rejections int     // of these, by endpoints
	Occupancy  float64 // mean of what responses reported; negative if none did
}

// rejected returns the fraction of arrivals that were rejected.
func (o Observation) rejected() float64 {
	if o.Arrivals == 0 {
		return 0
	}
	return min(float64(o.Rejections)/float64(o.Arrivals), 1)
}

// Capacity estimates how much work the endpoints of a service do, relative to what their number and slots
// promise. It is immutable.
type Capacity struct {
	factor    float64
	bounds    bounds
	occupancy float64 // smoothed; negative if unknown
	cutting   bool    // whether work beyond the capacity is refused
}

// NewCapacity returns the estimate before any observation.
func NewCapacity() Capacity { return Capacity{factor: 1, bounds: engineBounds, occupancy: -1} }

// WithSupply returns the estimate for other endpoints.
func (c Capacity) WithSupply(s Supply) Capacity {
	c.bounds = boundsOf(s)
	return c
}

// Factor returns the ratio of the capacity to the supply.
func (c Capacity) Factor() float64 { return c.factor }

// Cutting reports whether work beyond the capacity is refused.
func (c Capacity) Cutting() bool { return c.cutting }

// Of returns the capacity for a supply.
func (c Capacity) Of(supply float64) float64 { return c.factor * supply }

// Available returns the capacity that is left for new requests: less than Of while more requests wait than
// should, so that the queues become shorter. Without it, queues that filled before hosts knew of the load
// would stay full, since the capacity itself is estimated rightly.
func (c Capacity) Available(supply float64) float64 {
	if c.occupancy <= c.bounds.full {
		return c.Of(supply)
	}
	return c.Of(supply) * max(c.bounds.full/c.occupancy, minAvailable)
}

// WithObservation returns the estimate after one more step. Refusals begin only when endpoints have no
// room for sure: they reject requests, or their mean occupancy is at least freeOccupancy. Until then a
// higher demand is taken as proof of a higher capacity. Once there are refusals, free room raises the
// factor in steps: if everything was admitted at once, queues would be full before the next report.
func (c Capacity) WithObservation(o Observation) Capacity {
	if !(o.Supply > 0) {
		return c.withCutting(false)
	}
	c = c.withOccupancy(o.Occupancy)
	if !c.cutting && c.free(o) {
		return c.WithFactor(max(c.factor, min(o.Demand/o.Supply, c.factor*c.bounds.fastGrowth))).withGrowthTo1(o)
	}
	c = c.WithFactor(c.factorAfter(o))
	return c.withCutting(o.Demand > c.Of(o.Supply))
}

// WithoutObservations returns the estimate for a service that was not observed for a while: only the factor
// stays.
func (c Capacity) WithoutObservations() Capacity {
	return Capacity{factor: c.factor, bounds: c.bounds, occupancy: -1}
}

// free reports whether endpoints have room for sure.
func (c Capacity) free(o Observation) bool {
	return c.occupancy < freeOccupancy && o.rejected() <= tolerableRejections
}

// factorAfter returns the factor after an observation.
func (c Capacity) factorAfter(o Observation) float64 {
	capacity := c.Of(o.Supply)
	switch {
	case o.rejected() > tolerableRejections:
		// Endpoints that reject requests are full: what they served is their capacity. What was
		// admitted by older fractions does not count against the estimate.
		served := o.Admitted * (1 - o.rejected()) * servedMargin / o.Supply
		return max(min(c.factor, served), c.factor*c.bounds.maxShrinkage)
	case c.occupancy > c.bounds.full:
		if o.Admitted > capacity*effectiveMargin {
			return c.factor
		}
		return c.factor * c.bounds.shrinkage
	case o.Rejections > 0 || c.occupancy >= c.bounds.grow:
		return c.factor
	case o.Demand <= capacity:
		return c.withGrowthTo1(o).factor
	case c.occupancy < freeOccupancy:
		return c.factor * c.bounds.fastGrowth
	default:
		return c.factor * c.bounds.growth
	}
}

// withGrowthTo1 returns an estimate whose factor returns to 1 while it does not matter.
func (c Capacity) withGrowthTo1(o Observation) Capacity {
	if c.factor >= 1 || o.Rejections > 0 || c.occupancy >= c.bounds.grow {
		return c
	}
	return c.WithFactor(min(c.factor*c.bounds.growth, 1))
}

// WithFactor returns the estimate with another factor, kept within its bounds.
func (c Capacity) WithFactor(f float64) Capacity {
	c.factor = min(max(f, minFactor), maxFactor)
	return c
}

func (c Capacity) withCutting(cutting bool) Capacity {
	c.cutting = cutting
	return c
}

func (c Capacity) withOccupancy(o float64) Capacity {
	switch {
	case o < 0:
		// Responses without a report leave the last value.
	case c.occupancy < 0:
		c.occupancy = o
	default:
		c.occupancy += occupancySmoothing * (o - c.occupancy)
	}
	return c
}
