package fleet

import (
	"slices"
	"time"
)

// Parameters of the estimate of reading times.
const (
	// readingKept answers tell how long an engine takes; some are enough, and the
	// oldest ones count as much as the newest.
	readingKept = 32
	// readingQuantile of the answers is taken for an engine that does nothing else:
	// what is above it was spent waiting. Of prompts whose kept parts are known, the
	// lowest tenth and quarter differ by 5 to 20 parts in 100, the median by half
	// under load.
	readingQuantile = 0.2
	readingShort    = 1000 // prompts of fewer tokens tell the time that any answer takes
	// readingSure such answers stand for themselves; until then the median of the
	// others does, with the prior as its least.
	readingSure     = 4
	guessedQuantile = 0.5
	// Priors: an engine answers a short prompt in some 60 ms and reads about a
	// hundred tokens in a millisecond, as measured on two users' calm days. They stand
	// until the first answer.
	readingBase     = 60 * time.Millisecond
	readingPerToken = 10 * time.Microsecond
)

// reading estimates how long an engine that does nothing else takes until the
// head of an answer, for one model.
type reading struct {
	short    samples // seconds
	long     samples // seconds for each token, of prompts whose shared parts were known to be kept
	guessed  samples // the same, of others: some may have been kept unknown to this host
	base     time.Duration
	perToken float64 // seconds
}

// readingPriors is how many answers the prior of the base counts as: a first answer
// that waited would otherwise stand for the time that every answer takes.
const readingPriors = 4

func newReading() *reading {
	r := &reading{base: readingBase, perToken: readingPerToken.Seconds()}
	for range readingPriors {
		r.short.add(readingBase.Seconds())
	}
	return r
}

// add takes in an answer's head, when tokens were read; sure tells that no part of
// them can have been kept. After a restart a host knows of nothing that is kept, and
// would take warm prompts for engines that read in no time.
func (r *reading) add(tokens int, sure bool, took time.Duration) {
	if tokens < readingShort {
		r.short.add(max(took.Seconds()-float64(tokens)*r.perToken, 0))
		r.base = seconds(r.short.quantile(readingQuantile))
		return
	}
	perToken := max(took-r.base, 0).Seconds() / float64(tokens)
	if sure {
		r.long.add(perToken)
	} else {
		r.guessed.add(perToken)
	}
	if r.long.n >= readingSure {
		r.perToken = r.long.quantile(readingQuantile)
		return
	}
	r.perToken = max(r.guessed.quantile(guessedQuantile), readingPerToken.Seconds())
}

// tokens returns the time that tokens take to be read.
func (r *reading) tokens(n int) time.Duration { return seconds(float64(n) * r.perToken) }

// head returns the time until an answer's head when n tokens have to be read.
func (r *reading) head(n int) time.Duration { return r.base + r.tokens(n) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// samples are the last values of a measure.
type samples struct {
	kept [readingKept]float64
	n    int // seen in all
}

func (s *samples) add(v float64) {
	s.kept[s.n%readingKept] = v
	s.n++
}

// quantile returns a quantile of the values, the least one while there are few; 0
// without any.
func (s *samples) quantile(q float64) float64 {
	if s.n == 0 {
		return 0
	}
	sorted := s.kept
	seen := sorted[:min(s.n, readingKept)]
	slices.Sort(seen)
	return seen[int(q*float64(len(seen)))]
}
