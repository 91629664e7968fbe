package fleet

import (
	"time"

	"quaybarrow/internal/clock"
)

// Bounds of a slow start. Many hosts may have been asked for a pause in the same moment.
const (
	firstWindow = 1  // requests without a response at an endpoint just after its pause
	lastWindow  = 32 // the largest one; after it nothing is bounded
	// headPatience is how long a response may take before another request is tried all the same.
	headPatience = time.Second
)

// slowStart bounds the requests of this host that wait for their response to begin at an endpoint after
// a pause. The window doubles with each response that begins. The zero value bounds nothing.
type slowStart struct {
	window  int // 0 for no bound
	waiting int
	triedAt clock.Instant // when the latest of them was sent
}

func newSlowStart() slowStart { return slowStart{window: firstWindow} }

// limits reports whether there is a bound.
func (s slowStart) limits() bool { return s.window > 0 }

// full reports whether the endpoint should get no further request now.
func (s slowStart) full(now clock.Instant) bool {
	return s.limits() && s.waiting >= s.window && now.Sub(s.triedAt) < headPatience
}

// sent returns the slow start after a request was sent.
func (s slowStart) sent(now clock.Instant) slowStart {
	s.waiting++
	s.triedAt = now
	return s
}

// ended returns the slow start after a request's response has begun, or has not.
func (s slowStart) ended(begun bool) slowStart {
	s.waiting = max(s.waiting-1, 0)
	if !begun || !s.limits() {
		return s
	}
	if s.window *= 2; s.window > lastWindow {
		return slowStart{}
	}
	return s
}

// inSlowStart reports whether a request of this host should rather go elsewhere than to an endpoint whose
// pause has ended: others wait there, or the request has been tried before and may have no attempt left.
func (m *member) inSlowStart(req Request, now clock.Instant) bool {
	if req.ForOther || m.notices == nil {
		return false
	}
	s := m.notices.slowStart
	return s.full(now) || (s.limits() && len(req.Avoid) > 0)
}

// countSlowStart counts a request that is sent to an endpoint after its pause, and reports whether it
// was counted; the caller holds mu.
func (m *member) countSlowStart(now clock.Instant) bool {
	if m.notices == nil || !m.notices.slowStart.limits() {
		return false
	}
	m.notices.slowStart = m.notices.slowStart.sent(now)
	return true
}

// endSlowStart ends the count of a hold's request, once; the fleet is locked.
func (h *Hold) endSlowStart(begun bool) {
	if !h.slowStart {
		return
	}
	h.slowStart = false
	if n := h.member.notices; n != nil {
		n.slowStart = n.slowStart.ended(begun)
	}
}
