package quarantine

import (
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
)

// outlastsBy is how much longer than at any of its crashes a request's answer has to have
// come elsewhere to show that it crashes nothing: twice as long and this.
const outlastsBy = 50 * time.Millisecond

// OngoingResponse is a request whose answer has begun.
type OngoingResponse struct {
	request func() Fingerprint
	began   clock.Instant
	lasted  atomic.Int64 // ns from then until the last of it came
}

// DataArrived notes that more of the answer has come. What counts is how long the endpoint has been
// seen at work: a host that was frozen or suspended hears of crashes before it has read that its
// own connection ended with one of them, and would let the request out for all hosts.
func (o *OngoingResponse) DataArrived(now clock.Instant) { o.lasted.Store(int64(now.Sub(o.began))) }

// BeginResponse notes that a request's answer has begun; End is to be called once it has ended.
func (b *Tracker) BeginResponse(request func() Fingerprint) *OngoingResponse {
	o := &OngoingResponse{request: request, began: clock.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ongoing[o] = struct{}{}
	return o
}

// EndResponse notes that a request's answer has ended, however it did.
func (b *Tracker) EndResponse(o *OngoingResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ongoing, o)
}

// outlast clears requests of which an answer goes on elsewhere for longer than endpoints took to
// crash under them. What is asked often runs at all endpoints, so also at those that crash.
func (b *Tracker) outlast() {
	v := b.seen()
	longest := map[Fingerprint]time.Duration{}
	for f, n := range v.counts {
		if n >= leftAt {
			longest[f] = 0
		}
	}
	if len(longest) == 0 {
		return
	}
	for _, c := range v.Crashes {
		for f, run := range c.Under {
			if _, suspected := longest[f]; suspected {
				longest[f] = max(longest[f], run.ResponseLasted)
			}
		}
	}
	for o := range b.ongoing {
		f := o.request()
		l, suspected := longest[f]
		if suspected && time.Duration(o.lasted.Load()) > 2*l+outlastsBy {
			b.finish(f, b.clock.Now(), "an answer to it goes on elsewhere")
		}
	}
}

// copies counts the answers to a request that are under way.
func (b *Tracker) copies(f Fingerprint) int {
	n := 0
	for o := range b.ongoing {
		if o.request() == f {
			n++
		}
	}
	return n
}
