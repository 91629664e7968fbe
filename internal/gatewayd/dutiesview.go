package gatewayd

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"quaybarrow/internal/duty"
)

// PathDuties is where a host tells at its control address whether it does what one host does for
// all, and what it has ordered.
const PathDuties = "/duties"

// DutiesView is what a host knows of the duties, for operators.
type DutiesView struct {
	Host   string             `json:"host"`
	Holds  bool               `json:"holds"`
	Orders []duty.ActiveOrder `json:"orders"` // in force, by service, data hall and kind
	// CostAMinute is what the ordered endpoints cost, in prices of a second as they are declared.
	CostAMinute float64 `json:"cost_a_minute"`
}

// viewDuties answers with what the host does for all.
func (h *Host) viewDuties(w http.ResponseWriter, _ *http.Request) {
	view := DutiesView{Host: h.Settings.Host}
	view.Orders, view.Holds = h.Duties.Orders()
	slices.SortFunc(view.Orders, func(a, b duty.ActiveOrder) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Hall, b.Hall), cmp.Compare(kindOf(a), kindOf(b)))
	})
	if t := h.Holder.Table(); t != nil {
		for _, o := range view.Orders {
			s, _ := t.Service(o.Service)
			view.CostAMinute += s.Scaling.Cost(o.Hall, o.Spot) * float64(o.Count) * secondsAMinute
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(view); err != nil {
		h.Logger.Debug("view of duties not written", "error", err)
	}
}

const secondsAMinute = 60

// kindOf sorts ordinary endpoints before spot ones.
func kindOf(s duty.ActiveOrder) int {
	if s.Spot {
		return 1
	}
	return 0
}
