package fleet

import (
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/recent"
)

// Parameters of the estimate of prefill times.
const (
	// prefillSamples responses are kept for an estimate; a few are enough, and the oldest ones
	// count as much as the newest.
	prefillSamples = 32
	// idleQuantile is the quantile of the responses that is assumed for an idle engine: time above
	// it was spent waiting.
	idleQuantile = 0.2
	shortPrompt  = 1000 // responses to prompts of fewer tokens show the base time of every response
	// maxIdleQueue and maxIdleQueueShare, a share of the prompt's own prefill time, are the longest
	// expected waits with which a response counts for the estimate: under load even the fastest
	// responses waited, and the larger models would be estimated as slow long after the load.
	maxIdleQueue      = 30 * time.Millisecond
	maxIdleQueueShare = 0.25
	// minSamples exact samples suffice for an estimate; with fewer, the median of the inexact ones is
	// used, and at least the prior.
	minSamples      = 4
	inexactQuantile = 0.5
	// Priors that apply until the first responses: the time of a short prompt, and the prefill of a
	// token.
	priorBase     = 60 * time.Millisecond
	priorPerToken = 10 * time.Microsecond
)

// prefillModel estimates the time until the response head at an engine that runs nothing else, for
// one model.
type prefillModel struct {
	short    *recent.Values // seconds
	exact    *recent.Values // seconds per token, of prompts whose shared parts were known to be cached
	inexact  *recent.Values // seconds per token, of other prompts: unknown to this host, parts may have been cached
	base     time.Duration
	perToken float64 // seconds
}

// priorSamples is how many samples the prior of the base counts as: otherwise a first response that
// waited would be used as the base time of every response.
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

// add adds a response head. Only responses of which all tokens are sure to have been prefilled
// count as exact: after a restart a host does not know what is cached, and cached prompts would
// make engines look infinitely fast.
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

// unqueued reports whether a response most likely waited for no other request: no wait was
// expected, and no request waited when it began.
func (r *prefillModel) unqueued(h HeadReport) bool {
	return h.Load.Waiting == 0 && h.Queue <= max(maxIdleQueue, time.Duration(maxIdleQueueShare*float64(r.prefillTime(h.PrefillTokens))))
}

// hasSamples reports whether there are enough responses for prompts of a length.
func (r *prefillModel) hasSamples(tokens int) bool {
	if tokens < shortPrompt {
		return r.short.Seen() >= priorSamples+minSamples
	}
	return r.exact.Seen() >= minSamples || r.inexact.Seen() >= minSamples
}

// prefillTime returns the prefill time of n tokens.
func (r *prefillModel) prefillTime(n int) time.Duration {
	return clock.Seconds(float64(n) * r.perToken)
}

// headTime returns the time until the response head if n tokens have to be prefilled.
func (r *prefillModel) headTime(n int) time.Duration { return r.base + r.prefillTime(n) }

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// prefillModelOf returns the estimate of prefill times of a model.
func (f *Fleet) prefillModelOf(service, model string) *prefillModel {
	name := modelKey{service, model}
	r, ok := f.prefillModels[name]
	if !ok {
		r = newPrefillModel()
		f.prefillModels[name] = r
	}
	return r
}
