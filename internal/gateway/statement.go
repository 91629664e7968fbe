package gateway

import (
	"net/http"
	"sync"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/reach"
)

// recordStatement records what a response to a request that was sent at a time says about its endpoint. A
// response that another endpoint gave, because it has the address now, says nothing about this one.
func (a *attempt) recordStatement(response *http.Response, header ResponseHeader, sentAt clock.Instant) {
	g, s := a.x.g, header.Statement
	g.logUnknownFields(response.Header, a.hold.Endpoint.ID)
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	a.x.reportLoad(response.StatusCode, header)
	if !turnsAway(response.StatusCode) {
		s.Pause = fleet.Pause{}
	}
	a.logUnreadable(s)
	c := g.Fleet.Observe(a.hold.Endpoint.ID, s, fleet.Origin{Request: a.x.header.ID, Sent: sentAt, Sealed: header.Sealed, NotRun: header.NotRun})
	a.logLimit(c)
	a.logBrittle(c)
	if host := a.conn.RelayedBy(); host != "" && g.Relays != nil && (s.Leaving || s.Pause.For > 0) {
		g.Relays.Tell(host, reach.Notice{Endpoint: a.hold.Endpoint.ID, Request: a.x.header.ID, Leaving: s.Leaving, Pause: s.Pause.For})
	}
}

// turnsAway reports whether an endpoint that answers with a status turns the request away, so that it may
// state for how long it wants no other.
func turnsAway(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// turnedAway reports whether the endpoint turned the request away and wants a pause. That is no failure,
// though only NotRun says for sure that the request did not run.
func (a *attempt) turnedAway() bool {
	return turnsAway(a.response.StatusCode) && a.header.Pause.For > 0
}

// outcome returns the outcome of an attempt with a complete response.
func (a *attempt) outcome() fleet.Outcome {
	switch {
	case a.turnedAway():
		return fleet.OutcomeRefused
	case a.response.StatusCode >= http.StatusInternalServerError:
		return fleet.OutcomeFailed
	default:
		return fleet.OutcomeGood
	}
}

// logUnreadable logs the parts of a statement that can't be parsed.
func (a *attempt) logUnreadable(s fleet.Statement) {
	g, endpoint := a.x.g, a.hold.Endpoint.ID
	if s.Limit.Unread != "" {
		g.unreadableLimitLog.Do(func() {
			g.Logger.Warn("limit of an endpoint can't be read", "endpoint", endpoint, "text", s.Limit.Unread)
		})
	}
	if s.Pause.Unread != "" {
		g.unreadablePauseLog.Do(func() {
			g.Logger.Warn("pause that an endpoint asks for can't be read", "endpoint", endpoint, "text", s.Pause.Unread)
		})
	}
}

// logLimit logs a limit that has begun, ended or changed.
func (a *attempt) logLimit(c fleet.Change) {
	g, endpoint, before, after := a.x.g, a.hold.Endpoint.ID, c.LimitBefore, c.LimitAfter
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

// logBrittle logs that a service has become brittle, or is so no more.
func (a *attempt) logBrittle(c fleet.Change) {
	g, endpoint, before, after := a.x.g, a.hold.Endpoint.ID, c.BrittleBefore, c.BrittleAfter
	switch {
	case before == 0 && after > 0:
		g.Logger.Info("endpoints of a service are brittle", "id", a.x.header.ID, "endpoint", endpoint, "service", a.x.service, "rejections_per_second", after)
	case before > 0 && after == 0:
		g.Logger.Info("endpoints of a service are brittle no more", "id", a.x.header.ID, "endpoint", endpoint, "service", a.x.service)
	}
}

// maxUnknownFields bounds how many names of unknown fields are logged.
const maxUnknownFields = 32

// unknownFields holds the names of response fields that were logged because the codec does not know
// them.
type unknownFields struct {
	mu     sync.Mutex // guards logged
	logged map[string]bool
}

// add reports whether a name is new and within the bound.
func (u *unknownFields) add(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.logged[name] || len(u.logged) >= maxUnknownFields {
		return false
	}
	if u.logged == nil {
		u.logged = map[string]bool{}
	}
	u.logged[name] = true
	return true
}

// logUnknownFields logs the names of fields that the codec does not know when they first come: endpoints
// may say something that this version does not heed.
func (g *Gateway) logUnknownFields(h http.Header, endpoint string) {
	for name := range g.Codec.UnknownFields(h) {
		if g.unknownFields.add(name) {
			g.Logger.Warn("endpoints send a field that this version does not know", "field", name, "endpoint", endpoint)
		}
	}
}
