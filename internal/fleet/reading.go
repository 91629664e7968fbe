package fleet

import (
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/recent"
)

// Parameters of the estimate of reading times.
const (
	// readingKept answers tell how long an engine takes; some are enough, and the
	// oldest ones count as much as the newest.
	readingKept = 32
	// readingQuantile of the answers is taken for an engine that does nothing else:
	// what is above it was spent waiting.
	readingQuantile = 0.2
	readingShort    = 1000 // prompts of fewer tokens tell the time that any answer takes
	// freeQueue and freePart of a prompt's own time are the longest expected waits with
	// which an answer tells how long reading takes: under a load even the fastest answers
	// waited, and the larger models would be taken for slow long after it.
	freeQueue = 30 * time.Millisecond
	freePart  = 0.25
	// readingSure such answers stand for themselves; until then the median of the
	// others does, with the prior as its least.
	readingSure     = 4
	guessedQuantile = 0.5
	// Priors, which stand until the first answers: what a short prompt takes, and the
	// reading of a token.
	readingBase     = 60 * time.Millisecond
	readingPerToken = 10 * time.Microsecond
)

// reading estimates how long an engine that does nothing else takes until the
// head of an answer, for one model.
type reading struct {
	short    *recent.Values // seconds
	long     *recent.Values // seconds for each token, of prompts whose shared parts were known to be kept
	guessed  *recent.Values // the same, of others: some may have been kept unknown to this host
	base     time.Duration
	perToken float64 // seconds
}

// readingPriors is how many answers the prior of the base counts as: a first answer
// that waited would otherwise stand for the time that every answer takes.
const readingPriors = 4

func newReading() *reading {
	r := &reading{
		short: recent.New(readingKept), long: recent.New(readingKept), guessed: recent.New(readingKept),
		base: readingBase, perToken: readingPerToken.Seconds(),
	}
	for range readingPriors {
		r.short.Add(readingBase.Seconds())
	}
	return r
}

// add takes in an answer's head. Only answers of which all tokens are sure to have been
// read tell for long: after a restart a host knows of nothing that is kept, and would take
// warm prompts for engines that read in no time.
func (r *reading) add(h HeadReport) {
	if !r.free(h) && r.known(h.PrefillTokens) {
		return
	}
	tokens, sure, took := h.PrefillTokens, h.Exact, h.Took
	if tokens < readingShort {
		r.short.Add(max(took.Seconds()-float64(tokens)*r.perToken, 0))
		r.base = clock.Seconds(r.short.Quantile(readingQuantile))
		return
	}
	perToken := max(took-r.base, 0).Seconds() / float64(tokens)
	if sure {
		r.long.Add(perToken)
	} else {
		r.guessed.Add(perToken)
	}
	if r.long.Seen() >= readingSure {
		r.perToken = r.long.Quantile(readingQuantile)
		return
	}
	r.perToken = max(r.guessed.Quantile(guessedQuantile), readingPerToken.Seconds())
}

// free reports whether an answer most likely waited for no other: none was expected, and
// none waited when it began.
func (r *reading) free(h HeadReport) bool {
	return h.Load.Waiting == 0 && h.Queue <= max(freeQueue, time.Duration(freePart*float64(r.tokens(h.PrefillTokens))))
}

// known reports whether answers have told how long prompts of a length take.
func (r *reading) known(tokens int) bool {
	if tokens < readingShort {
		return r.short.Seen() >= readingPriors+readingSure
	}
	return r.long.Seen() >= readingSure || r.guessed.Seen() >= readingSure
}

// tokens returns the time that tokens take to be read.
func (r *reading) tokens(n int) time.Duration { return clock.Seconds(float64(n) * r.perToken) }

// head returns the time until an answer's head when n tokens have to be read.
func (r *reading) head(n int) time.Duration { return r.base + r.tokens(n) }

// serves is a model of a service.
type serves struct{ service, model string }

// readingOf returns the estimate of reading times for a model.
func (f *Fleet) readingOf(service, model string) *reading {
	name := serves{service, model}
	r, ok := f.readings[name]
	if !ok {
		r = newReading()
		f.readings[name] = r
	}
	return r
}
