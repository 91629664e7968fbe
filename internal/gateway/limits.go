package gateway

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// limitLogInterval is the minimum interval between log lines about limits that change, and between
// those about limits that can't be parsed.
const limitLogInterval = time.Second

// unreachedLogInterval is the minimum interval between log lines about endpoints that are not reached: a
// host without any way to endpoints would write thousands.
const unreachedLogInterval = 50 * time.Millisecond

// newLogSampler returns a sampler that passes at most one log line per limitLogInterval.
func newLogSampler() *rate.Sometimes { return &rate.Sometimes{Interval: limitLogInterval} }

// maxLimitWait returns how long the request may wait for endpoints that are at their limits: until
// its caller disconnects, or the response could not arrive in time.
func (x *exchange) maxLimitWait() time.Duration {
	if x.affinityKey(x.model) != 0 && x.headerDelay == 0 {
		return x.usefulTime()
	}
	return max(x.timeLeft()-x.route.Objective, 1)
}

// recordLimit records what a response header says about its endpoint's limit. A response without
// the endpoint's seal may lack a limit that the endpoint would announce, and a response that another
// endpoint gave says nothing about this one.
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
	before, after := g.Fleet.ObserveLimit(endpoint, l, a.sentAt)
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

// recordBrittle records whether a response says that its service is brittle. A response that the
// endpoint neither sealed nor sent to reject the request does not tell.
func (a *attempt) recordBrittle() {
	b := a.header.Brittle
	if a.response.StatusCode == http.StatusMisdirectedRequest || (!b.Named && !a.header.Sealed && !a.header.NotRun) {
		return
	}
	g := a.x.g
	before, after := g.Fleet.ObserveBrittle(a.hold.Endpoint.ID, b, a.sentAt)
	switch {
	case before == 0 && after > 0:
		g.Logger.Info("endpoints of a service are brittle", "id", a.x.header.ID, "endpoint", a.hold.Endpoint.ID, "service", a.x.service, "rejections_per_second", after)
	case before > 0 && after == 0:
		g.Logger.Info("endpoints of a service are brittle no more", "id", a.x.header.ID, "endpoint", a.hold.Endpoint.ID, "service", a.x.service)
	}
}
