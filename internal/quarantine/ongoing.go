package quarantine

import (
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
)

// clearMargin determines how long a response to a request must have been arriving elsewhere to show
// that the request does not crash endpoints: twice as long as at any of its crashes, plus this.
const clearMargin = 50 * time.Millisecond

// OngoingResponse is a response that has begun to arrive.
type OngoingResponse struct {
	request     func() Fingerprint
	began       clock.Instant
	receivedFor atomic.Int64 // ns from began until the latest data arrived
}

// DataArrived notes that more of the response has arrived. The evidence is the time for which the
// endpoint has been seen at work, not the time that has passed: a host that was frozen or suspended
// learns of crashes before it has read that its own connection ended with one of them, and would
// release the request on all hosts.
func (o *OngoingResponse) DataArrived(now clock.Instant) {
	o.receivedFor.Store(int64(now.Sub(o.began)))
}

// BeginResponse notes that a response to a request has begun; the caller must call EndResponse once
// it has ended.
func (t *Tracker) BeginResponse(request func() Fingerprint) *OngoingResponse {
	o := &OngoingResponse{request: request, began: clock.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ongoing[o] = struct{}{}
	return o
}

// EndResponse notes that a response has ended, whether it succeeded or not.
func (t *Tracker) EndResponse(o *OngoingResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ongoing, o)
}

// clearOutlasting clears requests that have an ongoing response which has run for longer than
// endpoints took to crash under them. A request that is sent often runs at all endpoints, so also at
// those that crash for another reason.
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
			t.clearRequest(f, t.clock.Now(), "an answer to it is still arriving elsewhere")
		}
	}
}

// countOngoing returns the number of responses to a request that are in progress.
func (t *Tracker) countOngoing(f Fingerprint) int {
	n := 0
	for o := range t.ongoing {
		if o.request() == f {
			n++
		}
	}
	return n
}
