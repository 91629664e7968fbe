package fleet

import (
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/recent"
)

// Parameters of the estimate of reading times.
const (
	// prefillSamples answers tell how long an engine takes; some are enough, and the
	// oldest ones count as much as the newest.
	prefillSamples = 32
	// idleQuantile of the answers is taken for an engine that does nothing else:
	// what is above it was spent waiting.
	idleQuantile = 0.2
	shortPrompt  = 1000 // prompts of fewer tokens tell the time that any answer takes
	// maxIdleQueue and freePart of a prompt's own time are the longest expected waits with
	// which an answer tells how long reading takes: under a load even the fastest answers
	// waited, and the larger models would be taken for slow long after it.
	maxIdleQueue      = 30 * time.Millisecond
	maxIdleQueueShare = 0.25
	// minSamples such answers stand for themselves; until then the median of the
	// others does, with the prior as its least.
	minSamples      = 4
	inexactQuantile = 0.5
	// Priors, which stand until the first answers: what a short prompt takes, and the
	// reading of a token.
	priorBase     = 60 * time.Millisecond
	priorPerToken = 10 * time.Microsecond
)

// prefillModel estimates how long an engine that does nothing else takes until the
// head of an answer, for one model.
type prefillModel struct {
	short    *recent.Values // seconds
	exact    *recent.Values // seconds for each token, of prompts whose shared parts were known to be kept
	inexact  *recent.Values // the same, of others: some may have been kept unknown to this host
	base     time.Duration
	perToken float64 // seconds
}

// priorSamples is how many answers the prior of the base counts as: a first answer
// that waited would otherwise stand for the time that every answer takes.
const priorSamples = 4

func newPrefillModel() *prefillModel {
	r := &prefillModel{
		short: recent.New(prefillSamples), exact: recent.New(prefillSamples), inexact: recent.New(prefillSamples),
		base: priorBase, perToken: priorPerToken.Seconds(),
	}
	for range priorSamples {
		r.short.Add(priorBase.Seconds())
	}
	return r
}

// add takes in an answer's head. Only answers of which all tokens are sure to have been
// read tell for long: after a restart a host knows of nothing that is kept, and would take
// warm prompts for engines that read in no time.
func (r *prefillModel) add(h HeadReport) {
	if !r.unqueued(h) && r.hasSamples(h.PrefillTokens) {
		return
	}
	tokens, sure, took := h.PrefillTokens, h.Exact, h.Took
	if tokens < shortPrompt {
		r.short.Add(max(took.Seconds()-float64(tokens)*r.perToken, 0))
		r.base = clock.Seconds(r.short.Quantile(idleQuantile))
		return
	}
	perToken := max(took-r.base, 0).Seconds() / float64(tokens)
	if sure {
		r.exact.Add(perToken)
	} else {
		r.inexact.Add(perToken)
	}
	if r.exact.Seen() >= minSamples {
		r.perToken = r.exact.Quantile(idleQuantile)
		return
	}
	r.perToken = max(r.inexact.Quantile(inexactQuantile), priorPerToken.Seconds())
}

// unqueued reports whether an answer most likely waited for no other: none was expected, and
// none waited when it began.
func (r *prefillModel) unqueued(h HeadReport) bool {
	return h.Load.Waiting == 0 && h.Queue <= max(maxIdleQueue, time.Duration(maxIdleQueueShare*float64(r.prefillTime(h.PrefillTokens))))
}

// hasSamples reports whether answers have told how long prompts of a length take.
func (r *prefillModel) hasSamples(tokens int) bool {
	if tokens < shortPrompt {
		return r.short.Seen() >= priorSamples+minSamples
	}
	return r.exact.Seen() >= minSamples || r.inexact.Seen() >= minSamples
}

// prefillTime returns the time that prefillTime take to be read.
func (r *prefillModel) prefillTime(n int) time.Duration {
	return clock.Seconds(float64(n) * r.perToken)
}

// headTime returns the time until an answer's headTime when n tokens have to be read.
func (r *prefillModel) headTime(n int) time.Duration { return r.base + r.prefillTime(n) }

// modelKey is a model of a service.
type modelKey struct{ service, model string }

// prefillModelOf returns the estimate of reading times for a model.
func (f *Fleet) prefillModelOf(service, model string) *prefillModel {
	name := modelKey{service, model}
	r, ok := f.prefillModels[name]
	if !ok {
		r = newPrefillModel()
		f.prefillModels[name] = r
	}
	return r
}
