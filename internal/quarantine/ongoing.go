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
	tracker     *Tracker
	request     func() Request
	parts       func() []Part
	endpoint    string // the endpoint instance
	began       clock.Instant
	receivedFor atomic.Int64 // ns from began until the latest data arrived
	livedFor    atomic.Int64 // the same in ns, of which each pause counts maxCountedPause at most
	clearedFor  int64        // receivedFor when its parts were last checked; used by the reader of the data only
}

// DataArrived notes that more of the response has arrived. The evidence is the time for which the
// endpoint has been seen at work, not the time that has passed: a host that was frozen or suspended
// learns of crashes before it has read that its own connection ended with one of them, and would
// release the request on all hosts.
func (o *OngoingResponse) DataArrived(now clock.Instant) {
	received := int64(now.Sub(o.began))
	pause := received - o.receivedFor.Swap(received)
	o.livedFor.Add(min(pause, int64(maxCountedPause)))
	if o.Lived() && o.tracker.partsWanted.Load() && received-o.clearedFor >= int64(clearInterval) {
		o.clearedFor = received
		o.tracker.answerLived(o)
	}
}

// BeginResponse notes that a response to a request has begun at an endpoint instance; the caller must
// call EndResponse once it has ended. The parts are those of the request, which costs more to compute;
// nil for a request without.
func (t *Tracker) BeginResponse(endpoint string, request func() Request, parts func() []Part) *OngoingResponse {
	o := &OngoingResponse{tracker: t, request: request, parts: parts, endpoint: endpoint, began: clock.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ongoing[o] = struct{}{}
	return o
}

// EndResponse notes that a response has ended, and whether it did so whole and successfully.
func (t *Tracker) EndResponse(o *OngoingResponse, whole bool) {
	if whole && o.parts != nil {
		t.answered.note(o.parts(), t.clock.Now())
	}
	var answered Request
	if whole && t.HasEvidence() {
		answered = o.request()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ongoing, o)
	t.answerEnded(o, answered)
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
		f := o.request().Fingerprint
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
		if o.request().Fingerprint == f {
			n++
		}
	}
	return n
}
