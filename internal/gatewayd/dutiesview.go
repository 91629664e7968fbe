package gatewayd

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"quaybarrow/internal/duty"
)

// PathDuties is the path at a host's control address that shows whether the host holds the duties
// that one host performs for all, and which endpoints it has ordered.
const PathDuties = "/duties"

// DutiesView is the operators' view of the duties, as one host knows them.
type DutiesView struct {
	Host   string             `json:"host"`
	Holds  bool               `json:"holds"`
	Orders []duty.ActiveOrder `json:"orders"` // in force, sorted by service, data hall and kind
	// CostPerMinute is the cost of the ordered endpoints per minute, in the unit of the declared
	// prices, which are per second.
	CostPerMinute float64 `json:"cost_a_minute"`
}

// serveDuties answers with the DutiesView.
func (h *Host) serveDuties(w http.ResponseWriter, _ *http.Request) {
	view := DutiesView{Host: h.Settings.Host}
	view.Orders, view.Holds = h.Duties.Orders()
	slices.SortFunc(view.Orders, func(a, b duty.ActiveOrder) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Hall, b.Hall), cmp.Compare(spotOrder(a), spotOrder(b)))
	})
	if t := h.Holder.Table(); t != nil {
		for _, o := range view.Orders {
			s, _ := t.Service(o.Service)
			view.CostPerMinute += s.Scaling.Cost(o.Hall, o.Spot) * float64(o.Count) * secondsPerMinute
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(view); err != nil {
		h.Logger.Debug("writing the duties view failed", "error", err)
	}
}

const secondsPerMinute = 60

// spotOrder is the sort key that puts ordinary endpoints before spot ones.
func spotOrder(s duty.ActiveOrder) int {
	if s.Spot {
		return 1
	}
	return 0
}
