package upgrade

import (
	"math"
	"slices"
)

// A version is judged by its excess failure rate: the fraction of its answers that fail beyond
// those that its endpoints fail for reasons of their own. The endpoints of the other versions show
// what endpoints fail: each endpoint has a failure rate drawn from a distribution that is the same
// for all versions. This detects a version that fails half of its answers beside endpoints that
// fail 0.45 of theirs, where no version can fail more than twice as often; and it does not blame a
// version for a few endpoints that fail everything among many healthy ones.

// endpointRates are the candidate failure rates of an endpoint, apart from its version's.
var endpointRates = [...]float64{0.002, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.98}

// excessRates are the candidate excess failure rates of a version. The lowest ones count as chance.
var excessRates = [...]float64{0, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.95}

// logProbabilities are the log probabilities of a bad and of a good answer.
type logProbabilities struct{ bad, good float64 }

// logProbabilityTable is indexed by the version's excess rate and the endpoint's own rate.
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
	fitRounds = 25 // beyond these the weights change by less than the noise of the answers
	// priorEndpoints is the weight of a uniform prior over endpointRates, in endpoints. It allows
	// for a version whose endpoints fail at rates that no other endpoint shows. A higher value
	// delays the detection of bad versions with few endpoints; a lower one raises the number of
	// good versions called bad.
	priorEndpoints = 0.3
)

// likelihoods are the likelihoods of some answers for each of endpointRates.
type likelihoods [len(endpointRates)]float64

// likelihoodsOf returns the likelihoods of a tally's answers, in their order, if the version has
// the given one of excessRates.
func likelihoodsOf(t Tally, excessIndex int) likelihoods {
	c := likelihoods{}
	for i, l := range logProbabilityTable[excessIndex] {
		c[i] = math.Exp(float64(t.bad())*l.bad + float64(t.good())*l.good)
	}
	return c
}

// mixture is the distribution of endpoints' own failure rates: a weight for each of endpointRates.
type mixture [len(endpointRates)]float64

// fitMixture fits the distribution that maximizes the likelihood of the endpoints' answers (Laird,
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

// tallyGroup is the fraction of endpoints that share a tally, and the likelihoods of that tally.
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

// likelihood returns the likelihood of the answers of an endpoint drawn from the mixture.
func (m mixture) likelihood(c likelihoods) float64 {
	sum := 0.0
	for i := range m {
		sum += m[i] * c[i]
	}
	return sum
}

// bestFraction is the fraction of endpoints, those with the lowest failure rates, that represents
// the service's healthy endpoints.
const bestFraction = 0.01

// ofBest returns the mixture in which every endpoint has the failure rate of the best ones.
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

// minLikelihood keeps the logarithm of a likelihood finite.
const minLikelihood = 1e-300

// excessFit holds the log likelihood of a version's answers for each of excessRates.
type excessFit struct {
	logLikelihoods  [len(excessRates)]float64
	expectedFailing [len(excessRates)]float64 // endpoints with failures, if the version has that excess rate
	observedFailing float64                   // endpoints with failures
}

// fitExcess fits a version's answers against those of the other versions' endpoints. The answers
// assumed good are taken to come from as many further endpoints.
func fitExcess(target, others Tallies, assumedGood int) excessFit {
	return fitMixture(others).fitExcess(target, assumedGood)
}

// fitExcess fits the answers of a version whose endpoints are drawn from the mixture.
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

// baseline returns the highest log likelihood among excess rates up to maxRate, which count as
// chance.
func (e excessFit) baseline(maxRate float64) float64 {
	highest := math.Inf(-1)
	for i, rate := range excessRates {
		if rate <= maxRate {
			highest = max(highest, e.logLikelihoods[i])
		}
	}
	return highest
}

// mostLikely returns the index of the most likely of excessRates.
func (e excessFit) mostLikely() int {
	best := 0
	for i, l := range e.logLikelihoods {
		if l > e.logLikelihoods[best] {
			best = i
		}
	}
	return best
}

// logRatioAny returns the log likelihood ratio of the most likely excess rate to chance; 0 if
// chance is the most likely.
func (e excessFit) logRatioAny(baselineRate float64) float64 {
	return e.logLikelihoods[e.mostLikely()] - e.baseline(baselineRate)
}

// Thresholds of a bad version.
const (
	minBadExcess = 0.1 // least excess failure rate of a bad version
	// minBadSpread is the fraction of the endpoints expected to show failures at the most likely
	// excess rate that must show some. Otherwise a few endpoints that fail for reasons of their
	// own, as no endpoint of the other versions does, would count as a bad version.
	minBadSpread = 0.6
)

// logRatioBad returns logRatioAny if the most likely excess rate is that of a bad version and the
// failures are spread over the endpoints accordingly; otherwise 0.
func (e excessFit) logRatioBad(baselineRate float64) float64 {
	best := e.mostLikely()
	if excessRates[best] < minBadExcess || e.observedFailing < minBadSpread*e.expectedFailing[best] {
		return 0
	}
	return e.logRatioAny(baselineRate)
}

// logRatioGood returns the log likelihood ratio of a version without excess failures beyond chance
// to one with the least excess rate of a bad version.
func (e excessFit) logRatioGood(baselineRate float64) float64 {
	return e.baseline(baselineRate) - e.logLikelihoodOf(minBadExcess)
}

// logLikelihoodOf returns the log likelihood of an excess rate, which must be one of excessRates.
func (e excessFit) logLikelihoodOf(rate float64) float64 {
	return e.logLikelihoods[slices.Index(excessRates[:], rate)]
}
