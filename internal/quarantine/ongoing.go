package quarantine

import (
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
)

// clearMargin is how much longer than at any of its crashes a request's answer has to have
// come elsewhere to show that it crashes nothing: twice as long and this.
const clearMargin = 50 * time.Millisecond

// OngoingResponse is a request whose answer has begun.
type OngoingResponse struct {
	request     func() Fingerprint
	began       clock.Instant
	receivedFor atomic.Int64 // ns from then until the last of it came
}

// DataArrived notes that more of the answer has come. What counts is how long the endpoint has been
// seen at work: a host that was frozen or suspended hears of crashes before it has read that its
// own connection ended with one of them, and would let the request out for all hosts.
func (o *OngoingResponse) DataArrived(now clock.Instant) {
	o.receivedFor.Store(int64(now.Sub(o.began)))
}

// BeginResponse notes that a request's answer has begun; End is to be called once it has ended.
func (t *Tracker) BeginResponse(request func() Fingerprint) *OngoingResponse {
	o := &OngoingResponse{request: request, began: clock.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ongoing[o] = struct{}{}
	return o
}

// EndResponse notes that a request's answer has ended, however it did.
func (t *Tracker) EndResponse(o *OngoingResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ongoing, o)
}

// clearOutlasting clears requests of which an answer goes on elsewhere for longer than endpoints took to
// crash under them. What is asked often runs at all endpoints, so also at those that crash.
func (t *Tracker) clearOutlasting() {
	v := t.view()
	longest := map[Fingerprint]time.Duration{}
	for f, n := range v.crashCounts {
		if n >= callerRetryMoments {
			longest[f] = 0
		}
	}
	if len(longest) == 0 {
		return
	}
	for _, c := range v.Crashes {
		for f, run := range c.Runs {
			if _, suspected := longest[f]; suspected {
				longest[f] = max(longest[f], run.ResponseLasted)
			}
		}
	}
	for o := range t.ongoing {
		f := o.request()
		longestRun, suspected := longest[f]
		if suspected && time.Duration(o.receivedFor.Load()) > 2*longestRun+clearMargin {
			t.clearRequest(f, t.clock.Now(), "an answer to it goes on elsewhere")
		}
	}
}

// countOngoing counts the answers to a request that are under way.
func (t *Tracker) countOngoing(f Fingerprint) int {
	n := 0
	for o := range t.ongoing {
		if o.request() == f {
			n++
		}
	}
	return n
}
