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

// rates are the parts of failures that an endpoint may show for reasons of its own.
var rates = [...]float64{0.002, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.98}

// parts are those that a version may fail besides; the first ones are chance.
var parts = [...]float64{0, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.95}

// logs are the logarithms of a failure and of a good answer.
type logs struct{ bad, good float64 }

// logsOf are those of an endpoint's rate beside a version's part.
var logsOf = func() (table [len(parts)][len(rates)]logs) {
	for i, part := range parts {
		for j, rate := range rates {
			good := (1 - rate) * (1 - part)
			table[i][j] = logs{math.Log(1 - good), math.Log(good)}
		}
	}
	return table
}()

// Parameters of the fit.
const (
	fitRounds = 25 // after which the weights change by less than the answers' noise
	// strangers is how many endpoints of any rate are taken to have been seen besides those
	// that were: the chance that a version's endpoints fail as no other one did. With more, bad
	// versions of few endpoints are found later; with less, good ones are called bad more often.
	strangers = 0.3
)

// chances are how likely some answers are at each of rates.
type chances [len(rates)]float64

// chancesOf returns those of a tally's answers, in their order, if its version fails one of
// parts besides.
func chancesOf(t Tally, part int) chances {
	c := chances{}
	for i, l := range logsOf[part] {
		c[i] = math.Exp(float64(t.bad())*l.bad + float64(t.good())*l.good)
	}
	return c
}

// mixture is how endpoints fail for reasons of their own: a weight for each of rates.
type mixture [len(rates)]float64

// newMixture fits the distribution that makes endpoints' answers most likely (Laird,
// "Nonparametric maximum likelihood estimation of a mixing distribution", 1978).
func newMixture(endpoints Tallies) mixture {
	m := mixture{}
	for i := range m {
		m[i] = 1.0 / float64(len(m))
	}
	var seen []group
	for t, times := range endpoints.alike() {
		seen = append(seen, group{float64(times) / float64(len(endpoints)), chancesOf(t, 0)})
	}
	for range fitRounds {
		m = m.fitted(seen)
	}
	for i := range m {
		m[i] = (m[i]*float64(len(endpoints)) + strangers/float64(len(m))) / (float64(len(endpoints)) + strangers)
	}
	return m
}

// group is a part of the endpoints whose answers are alike, and how likely those are.
type group struct {
	part    float64
	chances chances
}

// fitted returns the weights after one more round of the fit.
func (m mixture) fitted(seen []group) mixture {
	next := mixture{}
	for _, g := range seen {
		scale := g.part / max(m.of(g.chances), leastChance)
		for i := range m {
			next[i] += m[i] * g.chances[i] * scale
		}
	}
	return next
}

// of is the chance of answers of an endpoint drawn from the mixture.
func (m mixture) of(c chances) float64 {
	sum := 0.0
	for i := range m {
		sum += m[i] * c[i]
	}
	return sum
}

// wellPart is the part of endpoints that tell what the service's endpoints fail when they are
// well: the best ones of those seen.
const wellPart = 0.01

// well returns the mixture as if all endpoints were as well as the best ones.
func (m mixture) well() mixture {
	sum := 0.0
	for i, weight := range m {
		if sum += weight; sum >= wellPart {
			best := mixture{}
			best[i] = 1
			return best
		}
	}
	return m
}

// leastChance keeps a chance's logarithm finite.
const leastChance = 1e-300

// excess tells how likely a version's answers are, as a logarithm, for each of parts.
type excess struct {
	logs   [len(parts)]float64
	spread [len(parts)]float64 // endpoints that fail some answers, if the version fails the part
	shown  float64             // endpoints that did
}

// newExcess weighs a version's answers against those of the other versions' endpoints. Of
// its unseen answers it is taken that none failed, and that each was another endpoint's.
func newExcess(target, others Tallies, unseen int) excess {
	return newMixture(others).excess(target, unseen)
}

// excess weighs a version's answers, whose endpoints are drawn from the mixture.
func (m mixture) excess(target Tallies, unseen int) excess {
	alike := target.alike()
	e := excess{shown: float64(target.failing())}
	for i, part := range parts {
		e.logs[i] = float64(unseen) * math.Log1p(-part)
		for t, times := range alike {
			e.logs[i] += float64(times) * math.Log(max(m.of(chancesOf(t, i)), leastChance))
			e.spread[i] += float64(times) * (1 - math.Pow(1-part, float64(t.all())))
		}
	}
	return e
}

// usual is the greatest likelihood among parts that are chance, up to a most.
func (e excess) usual(most float64) float64 {
	greatest := math.Inf(-1)
	for i, part := range parts {
		if part <= most {
			greatest = max(greatest, e.logs[i])
		}
	}
	return greatest
}

// likeliest is the place in parts of the likeliest.
func (e excess) likeliest() int {
	at := 0
	for i, l := range e.logs {
		if l > e.logs[at] {
			at = i
		}
	}
	return at
}

// any is how much likelier it is that the version fails a part besides than that it is
// chance; 0 if it is not.
func (e excess) any(usual float64) float64 { return e.logs[e.likeliest()] - e.usual(usual) }

// Bounds of what is a bad version.
const (
	badPart = 0.1 // of its answers at least, besides what its endpoints do
	// badSpread is the part of the endpoints that failures show on, of those that would show
	// some if the version failed the likeliest part: some endpoints that fail for reasons
	// of their own, as no endpoint of the other versions does, are no bad version.
	badSpread = 0.6
)

// bad is any if the part is that of a bad version, and the failures lie as it would spread
// them; else 0.
func (e excess) bad(usual float64) float64 {
	at := e.likeliest()
	if parts[at] < badPart || e.shown < badSpread*e.spread[at] {
		return 0
	}
	return e.any(usual)
}

// good is how much likelier it is that the version fails nothing beyond chance than that
// it is bad.
func (e excess) good(usual float64) float64 { return e.usual(usual) - e.at(badPart) }

// at is the likelihood of one of parts.
func (e excess) at(part float64) float64 {
	return e.logs[slices.Index(parts[:], part)]
}
