package gateway

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// limitLogInterval bounds the lines about limits that change, or can't be read, to one in a while.
const limitLogInterval = time.Second

// newLogSampler has one of many lines written.
func newLogSampler() *rate.Sometimes { return &rate.Sometimes{Interval: limitLogInterval} }

// maxLimitWait is how long the request may wait for endpoints that are at their limits: until its caller
// leaves, or the answer could not come in time.
func (x *exchange) maxLimitWait() time.Duration {
	if x.affinityKey(x.model) != 0 && x.headerDelay == 0 {
		return x.usefulTime()
	}
	return max(x.timeLeft()-x.route.Objective, 1)
}

// recordLimit takes in what the head of an answer says of its endpoint's limit. An answer that the
// endpoint has not sealed may lack what the endpoint would say, and one that another endpoint gave
// says nothing of this one.
func (a *attempt) recordLimit() {
	l, endpoint := a.header.Limit, a.hold.Endpoint.ID
	if a.response.StatusCode == http.StatusMisdirectedRequest || (!l.Named && l.Unread == "" && !a.header.Sealed) {
		return
	}
	g := a.x.g
	if l.Unread != "" {
		g.unreadableLimitLog.Do(func() {
			g.Logger.Warn("limit of an endpoint can't be read", "endpoint", endpoint, "text", l.Unread)
		})
	}
	before, after := g.Fleet.HearLimit(endpoint, l, a.sentAt)
	switch {
	case before == 0 && after > 0:
		g.Logger.Info("endpoint names a limit", "id", a.x.header.ID, "endpoint", endpoint, "per_second", after)
	case before > 0 && after == 0:
		g.Logger.Info("endpoint names no limit any more", "id", a.x.header.ID, "endpoint", endpoint, "before", before)
	case before != after:
		g.changedLimitLog.Do(func() {
			g.Logger.Info("endpoint names another limit", "id", a.x.header.ID, "endpoint", endpoint, "per_second", after, "before", before)
		})
	}
}
