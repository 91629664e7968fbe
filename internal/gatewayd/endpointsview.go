package gatewayd

import (
	"encoding/json"
	"net/http"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
)

// PathEndpoints is the path at a host's control address that shows the state of the endpoints.
const PathEndpoints = "/endpoints"

// EndpointsView is the operators' view of the endpoints, as one host knows them.
type EndpointsView struct {
	Host      string          `json:"host"`
	Evacuated []EvacuatedView `json:"evacuated"`
	Endpoints []EndpointView  `json:"endpoints"`
}

// EvacuatedView is an evacuated data hall.
type EvacuatedView struct {
	Hall  string    `json:"hall"`
	Since time.Time `json:"since"` // when this host learned of it
}

// EndpointView is the state of an endpoint, as one host knows it.
type EndpointView struct {
	ID        string     `json:"id"`
	Service   string     `json:"service"`
	Hall      string     `json:"hall"`
	Version   string     `json:"version"`
	Ready     bool       `json:"ready"` // not draining and not ejected
	Draining  bool       `json:"draining"`
	Evacuated bool       `json:"evacuated"`
	ColdMs    int64      `json:"cold_ms"`              // remaining time for which the host treats it as cold
	ColdSince *time.Time `json:"cold_since,omitempty"` // nil if it is warm
	InFlight  int        `json:"flying"`               // this host's requests there
	// Limit is the rate limit that the endpoint announces for all hosts together, in requests per second;
	// 0 if it announces none. Available is how many requests this host may send now, and Unmet how many
	// recently found none available.
	Limit        float64 `json:"limit"`
	LimitSinceMs int64   `json:"limit_since_ms"` // time since this host learned of it
	Available    int     `json:"in_hand"`
	Unmet        int     `json:"wanted"`
	// LeavingSince is when the endpoint said in a response that it leaves. Of the pause that it asked this
	// host for, PauseMs is what is left. NoticeSource tells how this host learned of it, and NoticeRequest
	// the request whose response said so.
	LeavingSince  *time.Time `json:"leaving_since,omitempty"`
	PausedSince   *time.Time `json:"paused_since,omitempty"`
	PauseMs       int64      `json:"pause_ms,omitempty"`
	NoticeSource  string     `json:"notice_source,omitempty"`
	NoticeRequest string     `json:"notice_request,omitempty"`
}

// serveEndpoints answers with the EndpointsView.
func (h *Host) serveEndpoints(w http.ResponseWriter, _ *http.Request) {
	view := EndpointsView{Host: h.Settings.Host, Evacuated: []EvacuatedView{}, Endpoints: []EndpointView{}}
	for _, e := range h.Fleet.Evacuations() {
		view.Evacuated = append(view.Evacuated, EvacuatedView{Hall: e.Hall, Since: e.Since.Time()})
	}
	for _, s := range h.Fleet.View() {
		view.Endpoints = append(view.Endpoints, endpointView(s))
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(view); err != nil {
		h.Logger.Debug("writing the endpoints view failed", "error", err)
	}
}

func endpointView(s fleet.Status) EndpointView {
	v := EndpointView{
		ID: s.ID, Service: s.Service, Hall: s.Hall, Version: s.Version, Ready: s.Ready, Draining: s.Draining,
		Evacuated: s.Evacuated, ColdMs: s.ColdFor.Milliseconds(), InFlight: s.InFlight,
		Limit: s.Limit.Rate, LimitSinceMs: s.Limit.Since.Milliseconds(), Available: s.Limit.Available, Unmet: s.Limit.Unmet,
	}
	v.ColdSince = timeOrNil(s.ColdSince)
	v.LeavingSince, v.PausedSince, v.PauseMs = timeOrNil(s.Notices.LeavingSince), timeOrNil(s.Notices.PausedSince), s.Notices.PausedFor.Milliseconds()
	v.NoticeSource, v.NoticeRequest = string(s.Notices.Source.By), s.Notices.Source.Request
	return v
}

// timeOrNil converts an instant, the zero one to nil.
func timeOrNil(at clock.Instant) *time.Time {
	if at.IsZero() {
		return nil
	}
	t := at.Time()
	return &t
}
