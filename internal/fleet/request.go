package fleet

import (
	"time"

	"quaybarrow/internal/prefill"
)

// Request describes what an attempt needs of an endpoint.
type Request struct {
	Service      string
	Hall         string            // of the host that asks; empty means this host's
	Allowed      func(string) bool // reports whether a version may be used; nil allows any
	Focus        Focus             // on some of the endpoints that may be used
	Avoid        []string          // IDs of endpoints that were already tried
	Key          uint64            // requests with the same key share a prompt prefix; 0 if there is no prompt
	Model        string
	Tokens       int           // of the prompt
	SharedTokens int           // tokens of the prompt that other requests with the key have too
	Parts        []Part        // of the prompt, in order; nil if only the key is known
	CacheTokens  int           // tokens in the prefix cache of an engine of the service; 0 if not known
	Objective    time.Duration // time in which the response should begin
	Urgency      int           // at endpoints, the lowest first; -1 if not stated
	// Order is the order among requests that wait for endpoints, the lowest first; 0 if it follows the
	// urgency.
	Order int
	// Slack is the time left until the response should begin, and Remaining the time left until the
	// caller has no more use for it. If both are 0, the request is sent in any case.
	Slack, Remaining time.Duration
	MayHaveStarted   bool          // it may be sent behind all others, but does not wait and is not refused
	Waited           time.Duration // time since its caller sent it
	Turn             int64         // its turn among waiting requests; 0 if it has none
	Regions          []string      // whose endpoints may be used; nil allows all
	// MaxLimitWait is how long the request may wait for endpoints whose limits are used up; 0 means
	// no wait.
	MaxLimitWait time.Duration
	// Budget bounds the prompts that an endpoint holds unread when it gets the request.
	Budget prefill.Budget
	// ForOther means that another host asked for advice on the request.
	ForOther bool
	// Unadvised means that other hosts choose at the same time without knowing of this request.
	Unadvised bool
}

// parts returns the parts of the prompt, or a single part that stands for all that is shared.
func (r Request) parts() []Part {
	if r.Parts != nil || r.Key == 0 {
		return r.Parts
	}
	return []Part{{ID: r.Key, Tokens: r.SharedTokens}}
}

// orderFor returns the order of a request that has an urgency of its own among those that wait.
func (r Request) orderFor(urgency int) int {
	if r.Order > 0 {
		return r.Order
	}
	return rank(urgency)
}
