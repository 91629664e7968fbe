package gatewayd

import (
	"encoding/json"
	"net/http"
	"time"

	"quaybarrow/internal/fleet"
)

// PathEndpoints is where a host tells at its control address what it knows of endpoints.
const PathEndpoints = "/endpoints"

// EndpointsView is what a host knows of endpoints, for operators.
type EndpointsView struct {
	Host      string          `json:"host"`
	Evacuated []EvacuatedView `json:"evacuated"`
	Endpoints []EndpointView  `json:"endpoints"`
}

// EvacuatedView is an evacuated data hall.
type EvacuatedView struct {
	Hall  string    `json:"hall"`
	Since time.Time `json:"since"` // when this host heard of it
}

// EndpointView is an endpoint as a host knows it.
type EndpointView struct {
	ID        string     `json:"id"`
	Service   string     `json:"service"`
	Hall      string     `json:"hall"`
	Version   string     `json:"version"`
	Ready     bool       `json:"ready"` // not draining and not ejected
	Draining  bool       `json:"draining"`
	Evacuated bool       `json:"evacuated"`
	ColdMs    int64      `json:"cold_ms"`              // for how much longer it is taken to be cold
	ColdSince *time.Time `json:"cold_since,omitempty"` // since when; nil if it is warm
	Flying    int        `json:"flying"`               // this host's requests there
	// Limit is how many requests a second it takes from all hosts, by its own word; 0 if it names
	// none. InHand of them this host may send now, and Wanted have lately found none in hand.
	Limit        float64 `json:"limit"`
	LimitSinceMs int64   `json:"limit_since_ms"` // for how long this host has known it
	InHand       int     `json:"in_hand"`
	Wanted       int     `json:"wanted"`
}

// viewEndpoints answers with what the host knows of endpoints.
func (h *Host) viewEndpoints(w http.ResponseWriter, _ *http.Request) {
	view := EndpointsView{Host: h.Settings.Host, Evacuated: []EvacuatedView{}, Endpoints: []EndpointView{}}
	for _, e := range h.Fleet.Evacuations() {
		view.Evacuated = append(view.Evacuated, EvacuatedView{Hall: e.Hall, Since: e.Since.Time()})
	}
	for _, s := range h.Fleet.View() {
		view.Endpoints = append(view.Endpoints, endpointView(s))
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(view); err != nil {
		h.Logger.Debug("view of endpoints not written", "error", err)
	}
}

func endpointView(s fleet.Status) EndpointView {
	v := EndpointView{
		ID: s.ID, Service: s.Service, Hall: s.Hall, Version: s.Version, Ready: s.Ready, Draining: s.Draining,
		Evacuated: s.Evacuated, ColdMs: s.ColdFor.Milliseconds(), Flying: s.InFlight,
		Limit: s.Limit.Rate, LimitSinceMs: s.Limit.Since.Milliseconds(), InHand: s.Limit.Available, Wanted: s.Limit.Unmet,
	}
	if !s.ColdSince.IsZero() {
		since := s.ColdSince.Time()
		v.ColdSince = &since
	}
	return v
}
