// Package choose picks the version that answers a request. It is pure: all it
// reads is in its input, and it changes nothing.
//
// # Usage
//
//	decision, err := choose.Pick(choose.Input{Candidates: candidates, ...})
//
// A request that names a model gets the newest version in service, or the one
// in roll-out when there is a credit for it. A request that names a task class
// gets the cheapest version, or the cheapest mix of two, whose lower bound on
// quality meets the target; a small, bounded part explores cheaper versions
// that might.
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

// Reason says why a version was picked.
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

// exploreShare bounds the part of requests that explore.
const exploreShare = 0.02

// Input is everything a choice depends on.
type Input struct {
	Candidates []config.Candidate // all that the workspace allows for the request
	Workspace  string
	Class      string  // task class; empty when a model was named
	Target     float64 // of the class
	Estimates  estimate.Table
	// Ready reports whether some endpoint serves a version.
	Ready func(declare.Ref) bool
	// Credit reports whether this host has a credit for a version in roll-out.
	Credit func(declare.Ref) bool
	Stale  bool          // the configuration's freshness is past its bound
	Proven time.Duration // how long a version must have served when stale
	Now    time.Time
	Random float64 // from [0,1)
}

// Decision is a choice.
type Decision struct {
	Candidate config.Candidate
	Reason    Reason
	Canary    bool // a credit is to be spent
}

// maxOptions bounds the versions that are weighed; it keeps the choice free of
// allocations.
const maxOptions = 32

// option is a usable version with what is known of it.
type option struct {
	index   int // in Candidates
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

// pickNewest takes the last usable version; a canary only if it has a credit.
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

// usableOptions fills in the usable versions.
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

// inputPerOutput is how many prompt tokens a usual request has per token of its
// answer, for comparing costs.
const inputPerOutput = 3

// Cost is a version's price for comparing, per token of the answer.
func Cost(v declare.Version) float64 {
	return float64(v.OutputCost) + inputPerOutput*float64(v.InputCost)
}

// selectOption weighs single versions and mixes of two.
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

// rescale spreads the part of the random number that exploration left over.
func rescale(random float64) float64 {
	return math.Max(random-exploreShare, 0) / (1 - exploreShare)
}

func (in Input) decisionFor(o option, reason Reason) Decision {
	c := in.Candidates[o.index]
	return Decision{Candidate: c, Reason: reason, Canary: c.Version.State == declare.StateCanary}
}

// explorable finds the cheapest version that is cheaper than what is used and
// might meet the target for all that is known; -1 if there is none.
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

// cheapestMix finds two versions and the share of the cheaper one such that the
// mix's lower bound meets the target at a lower cost than the single version.
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
			// No mix is cheaper than the one that the means alone would allow.
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

// bisectionSteps is how finely a mix's share is found.
const bisectionSteps = 10

// largestShare finds the largest share of the first version with which the mix's
// lower bound meets the target. Without any of the first it does.
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

// Cascade returns the usable versions of a class to ask one after the other:
// the cheapest first, then the cheapest that meets the target by itself.
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
