package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxClasses bounds the classes in one message.
	maxClasses = 1024
	// maxCount bounds the counters in one message.
	maxCount = math.MaxInt32
)

// Report is what a host tells an owner of a service.
type Report struct {
	Host       string
	Service    string
	Demand     map[Class]float64 // seconds of work per second that are asked for
	Admitted   float64           // seconds of work per second that were admitted since the last report
	Arrivals   int               // at endpoints since the last report
	Rejections int               // of these, by endpoints
	Occupancy  float64           // mean of what responses reported since the last report; negative if none did
	Responses  int               // that reported an occupancy
	PressedFor time.Duration     // for how long the service is pressed for the host at least
	// Factor is the capacity factor of the last reply, so that a new owner need not learn it again; 0 if
	// there was none.
	Factor float64
}

// Reply is the answer of an owner.
type Reply struct {
	Fractions map[Class]float64 // admitted of each class; an absent one is admitted whole
	// Undecided means that the owner has too few reports yet; the latest fractions stay in force until
	// they expire. Otherwise a new owner would let everything in at first.
	Undecided bool
	Factor    float64 // of the capacity
}

// Check returns an error if the report can't be right.
func (r Report) Check() error {
	switch {
	case r.Host == "" || r.Service == "":
		return errors.New("report without host or service")
	case len(r.Demand) > maxClasses:
		return tooManyClasses(len(r.Demand))
	case !amount(r.Admitted) || !amount(r.Factor):
		return errors.Errorf("admitted work of %v, factor of %v", r.Admitted, r.Factor)
	case !finite(r.Occupancy):
		return errors.Errorf("occupancy of %v", r.Occupancy)
	case r.Arrivals < 0 || r.Rejections < 0 || r.Responses < 0 || r.Rejections > r.Arrivals:
		return errors.Errorf("%d arrivals, %d rejections, %d responses", r.Arrivals, r.Rejections, r.Responses)
	case r.PressedFor < 0 || r.PressedFor > maxPressedFor:
		return errors.Errorf("pressed for %s", r.PressedFor)
	}
	for c, d := range r.Demand {
		if !amount(d) {
			return errors.Errorf("demand of %v for workspace %q", d, c.Workspace)
		}
	}
	return nil
}

// maxPressedFor bounds the time that a report is taken to announce more reports.
const maxPressedFor = 10 * time.Second

// Check returns an error if the reply can't be right.
func (r Reply) Check() error {
	if len(r.Fractions) > maxClasses {
		return tooManyClasses(len(r.Fractions))
	}
	if !amount(r.Factor) {
		return errors.Errorf("factor of %v", r.Factor)
	}
	for c, f := range r.Fractions {
		if !(f >= 0 && f <= 1) {
			return errors.Errorf("fraction of %v for workspace %q", f, c.Workspace)
		}
	}
	return nil
}

func tooManyClasses(n int) error {
	return errors.Errorf("message with %d classes, at most %d are allowed", n, maxClasses)
}

// amount reports whether v is finite and not negative.
func amount(v float64) bool { return finite(v) && v >= 0 }

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// bounded returns a report with the classes of the highest demand, as many as one message may carry.
func (r Report) bounded() Report {
	r.Arrivals = min(r.Arrivals, maxCount)
	r.Rejections = min(r.Rejections, maxCount)
	r.Responses = min(r.Responses, maxCount)
	if len(r.Demand) <= maxClasses {
		return r
	}
	classes := slices.SortedFunc(maps.Keys(r.Demand), func(a, b Class) int {
		return cmp.Or(cmp.Compare(r.Demand[b], r.Demand[a]), compareClasses(a, b))
	})
	kept := make(map[Class]float64, maxClasses)
	for _, c := range classes[:maxClasses] {
		kept[c] = r.Demand[c]
	}
	r.Demand = kept
	return r
}

// replyOf returns the reply for an allotment, with the classes of the lowest fractions if there are more
// than one message may carry.
func replyOf(a Allotment) Reply {
	cut := a.Cut()
	if len(cut) > maxClasses {
		cut = slices.SortedStableFunc(slices.Values(cut), func(x, y Class) int { return cmp.Compare(a.Fraction(x), a.Fraction(y)) })[:maxClasses]
	}
	reply := Reply{Fractions: make(map[Class]float64, len(cut))}
	for _, c := range cut {
		reply.Fractions[c] = a.Fraction(c)
	}
	return reply
}
