package share

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// guaranteedPart is the part of capacity / demand that a workspace gets of what it asks for at
	// least, so that a workspace that is always large is not starved in a general overload.
	guaranteedPart = 1.0 / 3
	// reservedPart is the part of a workspace's capacity that each of its less urgent classes keeps
	// if it has demand.
	reservedPart = 0.1
)

// Allotment is a division of capacity among classes. It is immutable; the zero value admits all.
type Allotment struct {
	capacity, demand, level float64
	fractions               map[Class]float64 // below 1
	cut                     []Class
}

// Allot divides capacity, in seconds of work per second, by what classes ask for. While total demand is
// within capacity, or no capacity is known (it is not positive or not finite), all is admitted.
// Otherwise capacity is divided among workspaces by weighted max-min fairness, with guaranteedPart as the
// least. Within a workspace, more urgent classes come first. A weight that is not positive counts as 1.
func Allot(capacity float64, demand map[Class]float64, weight func(workspace string) float64) Allotment {
	claims := claimsOf(demand, weight)
	total := 0.0
	for _, c := range claims {
		total += c.demand
	}
	a := Allotment{capacity: capacity, demand: total}
	if !(capacity > 0) || math.IsInf(capacity, 1) || total <= capacity {
		return a
	}
	for i := range claims {
		claims[i].least = claims[i].demand * capacity / total * guaranteedPart
	}
	a.level = level(capacity, claims)
	a.fractions = map[Class]float64{}
	for _, c := range claims {
		c.divide(c.at(a.level), a.fractions)
	}
	a.cut = slices.SortedFunc(maps.Keys(a.fractions), compareClasses)
	return a
}

// Fraction returns the fraction of a class's work that is admitted, from 0 to 1.
func (a Allotment) Fraction(c Class) float64 {
	if f, ok := a.fractions[c]; ok {
		return f
	}
	return 1
}

// Level returns the seconds of work per second that a workspace gets at most for each unit of its weight,
// unless guaranteedPart of its demand is more; 0 if nothing is cut.
func (a Allotment) Level() float64 { return a.level }

// Capacity returns the capacity that was divided.
func (a Allotment) Capacity() float64 { return a.capacity }

// Demand returns the total demand.
func (a Allotment) Demand() float64 { return a.demand }

// Cut returns the classes of which a part is refused, in order of workspace and urgency. The caller must
// not change it.
func (a Allotment) Cut() []Class { return a.cut }

// maxDescribed bounds the classes that one log line names.
const maxDescribed = 20

// describeCut returns the classes cut for a log line, with their fractions.
func (a Allotment) describeCut() []string {
	var names []string
	for _, c := range a.cut[:min(len(a.cut), maxDescribed)] {
		names = append(names, fmt.Sprintf("%s/%d=%.2f", c.Workspace, c.Urgency, a.Fraction(c)))
	}
	return names
}

// claim is what one workspace asks for.
type claim struct {
	weight  float64
	demand  float64
	least   float64
	classes []classDemand // the most urgent one first
}

// classDemand is the work per second that one class asks for.
type classDemand struct {
	Class
	demand float64
}

// claimsOf returns the claims of all workspaces with demand. The order is that of their names, so that
// sums do not depend on the order of a map.
func claimsOf(demand map[Class]float64, weight func(workspace string) float64) []claim {
	var claims []claim
	for i, c := range slices.SortedFunc(maps.Keys(demand), compareClasses) {
		d := demand[c]
		if !(d > 0) {
			continue
		}
		last := len(claims) - 1
		if i == 0 || last < 0 || claims[last].classes[0].Workspace != c.Workspace {
			claims = append(claims, claim{weight: weightOf(c.Workspace, weight)})
			last++
		}
		claims[last].demand += d
		claims[last].classes = append(claims[last].classes, classDemand{c, d})
	}
	return claims
}

func weightOf(workspace string, weight func(string) float64) float64 {
	if weight == nil {
		return 1
	}
	if w := weight(workspace); w > 0 && !math.IsInf(w, 1) {
		return w
	}
	return 1
}

func compareClasses(a, b Class) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Urgency, b.Urgency))
}

// at returns the workspace's part of the capacity at a level.
func (c claim) at(level float64) float64 { return min(c.demand, max(c.least, level*c.weight)) }

// level returns the level at which the parts of all workspaces add up to the capacity. The demand exceeds
// the capacity. The sum is a piecewise linear function of the level, which bends where a workspace's part
// begins to exceed its least part and where it reaches its demand.
func level(capacity float64, claims []claim) float64 {
	type bend struct{ level, slope float64 }
	var bends []bend
	sum := 0.0
	for _, c := range claims {
		sum += c.least
		bends = append(bends, bend{c.least / c.weight, c.weight}, bend{c.demand / c.weight, -c.weight})
	}
	slices.SortFunc(bends, func(a, b bend) int { return cmp.Compare(a.level, b.level) })
	at, slope := 0.0, 0.0
	for _, b := range bends {
		if next := sum + slope*(b.level-at); next >= capacity {
			break
		} else {
			sum = next
		}
		at = b.level
		slope += b.slope
	}
	if slope <= 0 {
		return at
	}
	return at + (capacity-sum)/slope
}

// divide divides the workspace's part among its classes and records fractions below 1.
func (c claim) divide(part float64, fractions map[Class]float64) {
	if part >= c.demand {
		return
	}
	// More classes than tenths share the part equally at least.
	reserved := part * min(reservedPart, 1/float64(len(c.classes)))
	later := 0.0
	for _, k := range c.classes[1:] {
		later += min(k.demand, reserved)
	}
	left := part
	for i, k := range c.classes {
		if i > 0 {
			later -= min(k.demand, reserved)
		}
		given := min(k.demand, max(left-later, 0))
		left -= given
		if given < k.demand {
			fractions[k.Class] = given / k.demand
		}
	}
}
