package gateway

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// limitLines bounds the lines about limits that change, or can't be read, to one in a while.
const limitLines = time.Second

// sometimes has one of many lines written.
func sometimes() *rate.Sometimes { return &rate.Sometimes{Interval: limitLines} }

// within is how long the request may wait for endpoints that are at their limits: until its caller
// leaves, or the answer could not come in time.
func (x *exchange) within() time.Duration {
	if x.affinity(x.model) != 0 && x.first == 0 {
		return x.useful()
	}
	return max(x.left()-x.route.Objective, 1)
}

// hearLimit takes in what the head of an answer says of its endpoint's limit. An answer that the
// endpoint has not sealed may lack what the endpoint would say, and one that another endpoint gave
// says nothing of this one.
func (a *attempt) hearLimit() {
	l, endpoint := a.said.Limit, a.hold.Endpoint.ID
	if a.answer.StatusCode == http.StatusMisdirectedRequest || (!l.Named && l.Unread == "" && !a.said.Sealed) {
		return
	}
	g := a.x.g
	if l.Unread != "" {
		g.unread.Do(func() {
			g.Logger.Warn("limit of an endpoint can't be read", "endpoint", endpoint, "text", l.Unread)
		})
	}
	before, after := g.Fleet.ObserveLimit(endpoint, l, a.sentAt)
	switch {
	case before == 0 && after > 0:
		g.Logger.Info("endpoint names a limit", "id", a.x.ask.ID, "endpoint", endpoint, "per_second", after)
	case before > 0 && after == 0:
		g.Logger.Info("endpoint names no limit any more", "id", a.x.ask.ID, "endpoint", endpoint, "before", before)
	case before != after:
		g.changed.Do(func() {
			g.Logger.Info("endpoint names another limit", "id", a.x.ask.ID, "endpoint", endpoint, "per_second", after, "before", before)
		})
	}
}
