// Package choose picks the model version that answers a request. Its functions are pure: they read
// only their input and change nothing.
//
// # Usage
//
//	decision, err := choose.Pick(choose.Input{Candidates: candidates, ...})
//
// A request that names a model gets the newest version in service, or the one in roll-out (the
// canary) if this host has a credit for it. A request that names a task class gets the cheapest
// version, or the cheapest mix of two versions, whose lower confidence bound on quality meets the
// target. A small, bounded share of requests explores cheaper versions that might meet it.
package choose

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/estimate"
)

// ErrNoVersion means that no version may take the request.
var ErrNoVersion = errors.New("no version is in service for this request")

// Reason tells why a version was picked.
type Reason string

// Reasons.
const (
	ReasonNewest   Reason = "newest in service"
	ReasonCanary   Reason = "roll-out credit"
	ReasonNamed    Reason = "named by the caller"
	ReasonCheapest Reason = "cheapest that meets the target"
	ReasonMix      Reason = "part of the cheapest mix that meets the target"
	ReasonExplore  Reason = "exploration"
	ReasonBest     Reason = "best known; none meets the target"
)

// exploreShare bounds the share of requests that explore.
const exploreShare = 0.02

// Input is everything a choice depends on.
type Input struct {
	Candidates []config.Candidate // all versions that the workspace allows for the request
	Workspace  string
	Class      string  // task class; empty when a model was named
	Target     float64 // quality target of the task class
	Estimates  estimate.Table
	// Ready reports whether some endpoint serves a version.
	Ready func(declare.Ref) bool
	// Credit reports whether this host has a credit for a version in roll-out.
	Credit func(declare.Ref) bool
	Stale  bool          // the configuration is older than its freshness bound
	Proven time.Duration // how long a version must have been in service to be used while Stale
	Now    time.Time
	Random float64 // uniform in [0,1)
}

// Decision is the chosen version.
type Decision struct {
	Candidate config.Candidate
	Reason    Reason
	Canary    bool // the version is in roll-out, and a credit has to be spent
}

// maxOptions bounds the versions that are compared; a fixed bound keeps Pick free of allocations.
const maxOptions = 32

// option is a usable version with its cost and estimated quality.
type option struct {
	index   int // index in Candidates
	cost    float64
	lower   float64
	upper   float64
	quality estimate.Interval
}

// Usable reports whether a version may take new work that is not pinned to it.
func (in Input) Usable(c config.Candidate) bool {
	switch c.Version.State {
	case declare.StateServing:
		return !in.Stale || in.Now.Sub(c.Since) >= in.Proven
	case declare.StateCanary:
		return !in.Stale && in.Credit != nil && in.Credit(c.Ref)
	default:
		return false
	}
}

// Pick chooses a version.
func Pick(in Input) (Decision, error) {
	if in.Class == "" {
		return pickNewest(in)
	}
	var options [maxOptions]option
	count := in.usableOptions(&options)
	if count == 0 {
		return Decision{}, ErrNoVersion
	}
	return in.selectOption(options[:count]), nil
}

// pickNewest returns the last usable candidate; a canary only if this host has a credit for it.
func pickNewest(in Input) (Decision, error) {
	for i := len(in.Candidates) - 1; i >= 0; i-- {
		c := in.Candidates[i]
		if !in.Usable(c) || in.Ready != nil && !in.Ready(c.Ref) {
			continue
		}
		if c.Version.State == declare.StateCanary {
			return Decision{Candidate: c, Reason: ReasonCanary, Canary: true}, nil
		}
		return Decision{Candidate: c, Reason: ReasonNewest}, nil
	}
	return Decision{}, ErrNoVersion
}

// usableOptions fills options with the usable versions and returns their number.
func (in Input) usableOptions(options *[maxOptions]option) int {
	count := 0
	for i, c := range in.Candidates {
		if count == maxOptions {
			break
		}
		if !in.Usable(c) || in.Ready != nil && !in.Ready(c.Ref) {
			continue
		}
		score := in.Estimates.Score(estimate.Key{Workspace: in.Workspace, Class: in.Class, Version: c.Ref})
		options[count] = option{
			index: i, cost: Cost(c.Version),
			lower: score.Lower(c.Version.Quality), upper: score.Upper(c.Version.Quality),
			quality: score.Interval(c.Version.Quality),
		}
		count++
	}
	return count
}

// inputPerOutput is the typical number of prompt tokens per answer token, for comparing costs.
const inputPerOutput = 3

// Cost returns a version's price per answer token, for comparison with other versions.
func Cost(v declare.Version) float64 {
	return float64(v.OutputCost) + inputPerOutput*float64(v.InputCost)
}

// selectOption picks a single version or one of a mix of two.
func (in Input) selectOption(options []option) Decision {
	cheapest, best := -1, 0
	for i, o := range options {
		if o.lower >= in.Target && (cheapest < 0 || o.cost < options[cheapest].cost) {
			cheapest = i
		}
		if o.lower > options[best].lower {
			best = i
		}
	}
	if cheapest < 0 {
		return in.decisionFor(options[best], ReasonBest)
	}
	if i := explorable(options, options[cheapest].cost, in.Target); i >= 0 && in.Random < exploreShare {
		return in.decisionFor(options[i], ReasonExplore)
	}
	cheap, expensive, share := cheapestMix(options, cheapest, in.Target)
	if cheap < 0 {
		return in.decisionFor(options[cheapest], ReasonCheapest)
	}
	if rescale(in.Random) < share {
		return in.decisionFor(options[cheap], ReasonMix)
	}
	return in.decisionFor(options[expensive], ReasonMix)
}

// rescale maps the random numbers that are left over by exploration back to [0,1).
func rescale(random float64) float64 {
	return math.Max(random-exploreShare, 0) / (1 - exploreShare)
}

func (in Input) decisionFor(o option, reason Reason) Decision {
	c := in.Candidates[o.index]
	return Decision{Candidate: c, Reason: reason, Canary: c.Version.State == declare.StateCanary}
}

// explorable returns the index of the cheapest version that costs less than maxCost and whose quality
// may meet the target as far as the estimate tells, but is not known to; -1 if there is none.
func explorable(options []option, maxCost, target float64) int {
	found := -1
	for i, o := range options {
		if o.cost >= maxCost || o.upper < target || o.lower >= target {
			continue
		}
		if found < 0 || o.cost < options[found].cost {
			found = i
		}
	}
	return found
}

// cheapestMix finds two versions and the share of the cheaper one such that the mix's lower bound
// meets the target at a lower cost than the single version; the indexes are -1 if there are none.
func cheapestMix(options []option, single int, target float64) (cheap, expensive int, share float64) {
	cheap, expensive = -1, -1
	lowestCost := options[single].cost
	for i, a := range options {
		if a.lower >= target || a.cost >= options[single].cost {
			continue
		}
		for j, b := range options {
			if b.lower <= target {
				continue
			}
			// No mix of the two is cheaper than the one that meets the target by their means alone.
			maxShare := min((b.quality.Mean-target)/(b.quality.Mean-a.quality.Mean), 1)
			if maxShare > 0 && maxShare*a.cost+(1-maxShare)*b.cost >= lowestCost {
				continue
			}
			part := largestShare(a.quality, b.quality, target)
			if cost := part*a.cost + (1-part)*b.cost; part > 0 && cost < lowestCost {
				lowestCost, cheap, expensive, share = cost, i, j, part
			}
		}
	}
	return cheap, expensive, share
}

// bisectionSteps is the number of bisection steps that determine the share of a mix.
const bisectionSteps = 10

// largestShare returns the largest share of the first version with which the mix's lower bound meets
// the target. The second version alone must meet it.
func largestShare(first, second estimate.Interval, target float64) float64 {
	low, high := 0.0, 1.0
	for range bisectionSteps {
		middle := (low + high) / 2
		if estimate.MixLower(first, second, middle) >= target {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Cascade returns the usable versions of a class to ask one after the other: the cheapest first, then
// the cheapest that meets the target by itself, or the one with the highest lower bound if none does.
func Cascade(in Input) (first, second Decision, err error) {
	var options [maxOptions]option
	count := in.usableOptions(&options)
	if count == 0 {
		return Decision{}, Decision{}, ErrNoVersion
	}
	cheapest, sufficient := 0, -1
	best := 0
	for i, o := range options[:count] {
		if o.cost < options[cheapest].cost {
			cheapest = i
		}
		if o.lower >= in.Target && (sufficient < 0 || o.cost < options[sufficient].cost) {
			sufficient = i
		}
		if o.lower > options[best].lower {
			best = i
		}
	}
	if sufficient < 0 {
		sufficient = best
	}
	return in.decisionFor(options[cheapest], ReasonCheapest), in.decisionFor(options[sufficient], ReasonBest), nil
}
