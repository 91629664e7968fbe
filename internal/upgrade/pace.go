package upgrade

import (
	"math/bits"
	"time"

	"quaybarrow/internal/recent"
)

// Pace is how fast an answer came.
type Pace interface{ duration() time.Duration }

// ResponseTime is the time from the sending of a request to the last byte of its answer.
type ResponseTime time.Duration

func (w ResponseTime) duration() time.Duration { return time.Duration(w) }

// ShortestGap is the shortest pause between events of a stream. Prompts that an engine
// reads and places that are taken lengthen most pauses, but leave some as they are; a
// slow version lengthens all.
type ShortestGap time.Duration

func (s ShortestGap) duration() time.Duration { return time.Duration(s) }

// Parameters of slow answers.
const (
	referenceSize     = 48 // answers of the other versions, for each load, that the reference is taken from
	minReferencePaces = 4  // of them before they say anything
	// An answer is slow if it took more than a factor times a quantile of the
	// reference. The quantile of pauses is low, for many are lengthened by prompts
	// that are read meanwhile; factors lie between the spread of good answers and
	// what versions show that are four times as slow on half of their requests.
	responseTimeQuantile, responseTimeFactor = 0.5, 2.2
	gapQuantile, gapFactor                   = 0.1, 1.8
	// loadBands tell loads apart in powers of two of the requests at an endpoint,
	// from loadLeast on: with 100 running instead of 10 good pauses are twice as
	// long, and a new version's endpoints have far fewer than the others' at first.
	loadBands = 6
	minLoad   = 4
)

// loadBand is the band of a number of requests.
func loadBand(requests int) int {
	return min(bits.Len(uint(max(requests, 0)/minLoad)), loadBands-1)
}

// paceKey names answers whose paces can be compared. A larger model makes a token in up to
// ten times the time: with models mixed, the tenth of a version's streams that were the
// smallest model's set the reference for all, and on three plays in ten of four days a good
// version was rolled back whose streams were the largest model's more often than others.
type paceKey struct{ service, route, model string }

// paceReference keeps the last paceReference of answers that are taken for usual, in seconds, by load.
type paceReference struct{ bands [loadBands]*recent.Values }

func newPaceReference() *paceReference {
	p := &paceReference{}
	for i := range p.bands {
		p.bands[i] = recent.New(referenceSize)
	}
	return p
}

func (p *paceReference) add(requests int, pace Pace) {
	p.bands[loadBand(requests)].Add(pace.duration().Seconds())
}

// slow reports whether an answer took clearly longer than usual at its load, or at
// the nearest one that was seen, two bands away at most; known is false while none was.
func (p *paceReference) slow(requests int, pace Pace) (slow, known bool) {
	quantile, factor := responseTimeQuantile, responseTimeFactor
	if _, ok := pace.(ShortestGap); ok {
		quantile, factor = gapQuantile, gapFactor
	}
	band := loadBand(requests)
	for _, i := range []int{band, band - 1, band + 1, band - 2, band + 2} {
		if i >= 0 && i < loadBands && p.bands[i].Seen() >= minReferencePaces {
			return pace.duration().Seconds() > factor*p.bands[i].Quantile(quantile), true
		}
	}
	return false, false
}
