package upgrade

import (
	"math/bits"
	"time"

	"quaybarrow/internal/recent"
)

// Pace is a measure of how fast an answer was produced.
type Pace interface{ duration() time.Duration }

// ResponseTime is the time from sending a request to the last byte of its answer.
type ResponseTime time.Duration

func (w ResponseTime) duration() time.Duration { return time.Duration(w) }

// ShortestGap is the shortest time between two events of a stream. Prompts that the engine processes
// and occupied slots lengthen most gaps but leave some unchanged, whereas a slow version lengthens
// all of them.
type ShortestGap time.Duration

func (s ShortestGap) duration() time.Duration { return time.Duration(s) }

// Parameters of the classification of slow answers.
const (
	referenceSize     = 48 // answers of the other versions kept as reference, for each load band
	minReferencePaces = 4  // of these, before answers are classified
	// An answer is slow if its pace exceeds a factor times a quantile of the reference. The
	// quantile of gaps is low because prompt processing lengthens many gaps. The factors lie
	// between the spread of good answers and the paces of versions that are four times as slow on
	// half of their requests.
	responseTimeQuantile, responseTimeFactor = 0.5, 2.2
	gapQuantile, gapFactor                   = 0.1, 1.8
	// loadBands is the number of bands of the requests running at an endpoint, which are powers of
	// two from minLoad on. Paces are compared within a band: with 100 running requests instead of
	// 10, good gaps are twice as long, and a new version's endpoints have far fewer requests than
	// the others' at first.
	loadBands = 6
	minLoad   = 4
)

// loadBand returns the band of a number of requests.
func loadBand(requests int) int {
	return min(bits.Len(uint(max(requests, 0)/minLoad)), loadBands-1)
}

// paceKey identifies answers whose paces are comparable. A larger model takes up to ten times as
// long per token. With models mixed, the tenth of a version's streams that came from the smallest
// model set the reference for all, and in three of ten runs of four test days a good version was
// rolled back because a larger part of its streams came from the largest model.
type paceKey struct{ service, route, model string }

// paceReference keeps the latest paces, in seconds, of versions not on trial, by load band.
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

// slow reports whether an answer took clearly longer than the reference at its load, or at the
// nearest load with a reference, at most two bands away; known is false if there is none.
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
