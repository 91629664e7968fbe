package upgrade

import (
	"math"
	"slices"
)

// A version is weighed by the part of its answers that it fails besides what its endpoints
// fail for reasons of their own. Of that the endpoints of the other versions tell: each has
// a rate of failures, drawn from a distribution that is the same for all versions. So a
// version that fails half of its answers is seen beside endpoints that fail 0.45 of theirs,
// where no version can fail more than twice as often; and a few endpoints that fail all
// they get, of many that are well, are no fault of the version's.

// endpointRates are the parts of failures that an endpoint may show for reasons of its own.
var endpointRates = [...]float64{0.002, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.98}

// excessRates are those that a version may fail besides; the first ones are chance.
var excessRates = [...]float64{0, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.95}

// logProbabilities are the logarithms of a failure and of a good answer.
type logProbabilities struct{ bad, good float64 }

// logProbabilityTable are those of an endpoint's rate beside a version's part.
var logProbabilityTable = func() (table [len(excessRates)][len(endpointRates)]logProbabilities) {
	for i, excess := range excessRates {
		for j, endpointRate := range endpointRates {
			good := (1 - endpointRate) * (1 - excess)
			table[i][j] = logProbabilities{math.Log(1 - good), math.Log(good)}
		}
	}
	return table
}()

// Parameters of the fit.
const (
	fitRounds = 25 // after which the weights change by less than the answers' noise
	// priorEndpoints is how many endpoints of any rate are taken to have been seen besides those
	// that were: the chance that a version's endpoints fail as no other one did. With more, bad
	// versions of few endpoints are found later; with less, good ones are called bad more often.
	priorEndpoints = 0.3
)

// likelihoods are how likely some answers are at each of rates.
type likelihoods [len(endpointRates)]float64

// likelihoodsOf returns those of a tally's answers, in their order, if its version fails one of
// parts besides.
func likelihoodsOf(t Tally, excessIndex int) likelihoods {
	c := likelihoods{}
	for i, l := range logProbabilityTable[excessIndex] {
		c[i] = math.Exp(float64(t.bad())*l.bad + float64(t.good())*l.good)
	}
	return c
}

// mixture is how endpoints fail for reasons of their own: a weight for each of rates.
type mixture [len(endpointRates)]float64

// fitMixture fits the distribution that makes endpoints' answers most likely (Laird,
// "Nonparametric maximum likelihood estimation of a mixing distribution", 1978).
func fitMixture(endpoints Tallies) mixture {
	m := mixture{}
	for i := range m {
		m[i] = 1.0 / float64(len(m))
	}
	var groups []tallyGroup
	for t, times := range endpoints.countByTally() {
		groups = append(groups, tallyGroup{float64(times) / float64(len(endpoints)), likelihoodsOf(t, 0)})
	}
	for range fitRounds {
		m = m.refit(groups)
	}
	for i := range m {
		m[i] = (m[i]*float64(len(endpoints)) + priorEndpoints/float64(len(m))) / (float64(len(endpoints)) + priorEndpoints)
	}
	return m
}

// tallyGroup is a part of the endpoints whose answers are alike, and how likely those are.
type tallyGroup struct {
	fraction    float64
	likelihoods likelihoods
}

// refit returns the weights after one more round of the fit.
func (m mixture) refit(groups []tallyGroup) mixture {
	next := mixture{}
	for _, g := range groups {
		scale := g.fraction / max(m.likelihood(g.likelihoods), minLikelihood)
		for i := range m {
			next[i] += m[i] * g.likelihoods[i] * scale
		}
	}
	return next
}

// likelihood is the chance likelihood answers likelihood an endpoint drawn from the mixture.
func (m mixture) likelihood(c likelihoods) float64 {
	sum := 0.0
	for i := range m {
		sum += m[i] * c[i]
	}
	return sum
}

// bestFraction is the part of endpoints that tell what the service's endpoints fail when they are
// well: the best ones of those seen.
const bestFraction = 0.01

// ofBest returns the mixture as if all endpoints were as ofBest as the best ones.
func (m mixture) ofBest() mixture {
	sum := 0.0
	for i, weight := range m {
		if sum += weight; sum >= bestFraction {
			best := mixture{}
			best[i] = 1
			return best
		}
	}
	return m
}

// minLikelihood keeps a chance's logarithm finite.
const minLikelihood = 1e-300

// excessFit tells how likely a version's answers are, as a logarithm, for each of parts.
type excessFit struct {
	logLikelihoods  [len(excessRates)]float64
	expectedFailing [len(excessRates)]float64 // endpoints that fail some answers, if the version fails the part
	observedFailing float64                   // endpoints that did
}

// fitExcess weighs a version's answers against those of the other versions' endpoints. Of
// its unseen answers it is taken that none failed, and that each was another endpoint's.
func fitExcess(target, others Tallies, assumedGood int) excessFit {
	return fitMixture(others).fitExcess(target, assumedGood)
}

// fitExcess weighs a version's answers, whose endpoints are drawn from the mixture.
func (m mixture) fitExcess(target Tallies, assumedGood int) excessFit {
	countByTally := target.countByTally()
	e := excessFit{observedFailing: float64(target.failing())}
	for i, rate := range excessRates {
		e.logLikelihoods[i] = float64(assumedGood) * math.Log1p(-rate)
		for t, times := range countByTally {
			e.logLikelihoods[i] += float64(times) * math.Log(max(m.likelihood(likelihoodsOf(t, i)), minLikelihood))
			e.expectedFailing[i] += float64(times) * (1 - math.Pow(1-rate, float64(t.all())))
		}
	}
	return e
}

// baseline is the greatest likelihood among parts that are chance, up to a most.
func (e excessFit) baseline(maxRate float64) float64 {
	highest := math.Inf(-1)
	for i, rate := range excessRates {
		if rate <= maxRate {
			highest = max(highest, e.logLikelihoods[i])
		}
	}
	return highest
}

// mostLikely is the place in parts of the mostLikely.
func (e excessFit) mostLikely() int {
	best := 0
	for i, l := range e.logLikelihoods {
		if l > e.logLikelihoods[best] {
			best = i
		}
	}
	return best
}

// logRatioAny is how much likelier it is that the version fails a part besides than that it is
// chance; 0 if it is not.
func (e excessFit) logRatioAny(baselineRate float64) float64 {
	return e.logLikelihoods[e.mostLikely()] - e.baseline(baselineRate)
}

// Bounds of what is a bad version.
const (
	minBadExcess = 0.1 // of its answers at least, besides what its endpoints do
	// minBadSpread is the part of the endpoints that failures show on, of those that would show
	// some if the version failed the likeliest part: some endpoints that fail for reasons
	// of their own, as no endpoint of the other versions does, are no bad version.
	minBadSpread = 0.6
)

// logRatioBad is any if the part is that of a logRatioBad version, and the failures lie as it would spread
// them; else 0.
func (e excessFit) logRatioBad(baselineRate float64) float64 {
	best := e.mostLikely()
	if excessRates[best] < minBadExcess || e.observedFailing < minBadSpread*e.expectedFailing[best] {
		return 0
	}
	return e.logRatioAny(baselineRate)
}

// logRatioGood is how much likelier it is that the version fails nothing beyond chance than that
// it is bad.
func (e excessFit) logRatioGood(baselineRate float64) float64 {
	return e.baseline(baselineRate) - e.logLikelihoodOf(minBadExcess)
}

// logLikelihoodOf is the likelihood of one of parts.
func (e excessFit) logLikelihoodOf(rate float64) float64 {
	return e.logLikelihoods[slices.Index(excessRates[:], rate)]
}
