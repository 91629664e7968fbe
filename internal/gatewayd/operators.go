package gatewayd

import (
	"maps"
	"slices"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/route"
	"quaybarrow/internal/store"
	"quaybarrow/internal/upgrade"
	"quaybarrow/platform"
)

// operators takes in what operators declare and order.
type operators struct {
	holder   *route.Holder
	fleet    *fleet.Fleet
	upgrades *upgrade.Tracker
	logger   *log.Logger
	halls    map[string]bool // that are evacuated, by the rows
}

// Reset implements follow.Replica.
func (o *operators) Reset(rows []store.Row, _ bool) {
	halls := map[string]bool{}
	for _, row := range rows {
		if hall, ok := platform.EvacuatedHall(row.Key); ok {
			halls[hall] = true
			continue
		}
		o.apply(row)
	}
	o.evacuate(halls)
}

// Change implements follow.Replica.
func (o *operators) Change(changes []store.Change, _ bool) {
	for _, c := range changes {
		hall, ok := platform.EvacuatedHall(c.Key)
		switch {
		case ok:
			halls := map[string]bool{hall: true}
			maps.Copy(halls, o.halls)
			if c.Deleted {
				delete(halls, hall)
			}
			o.evacuate(halls)
		case !c.Deleted:
			o.apply(c.Row)
		}
	}
}

// Confirm implements follow.Replica.
func (o *operators) Confirm() { o.holder.Confirm() }

// evacuate takes in which data halls are evacuated.
func (o *operators) evacuate(halls map[string]bool) {
	if maps.Equal(halls, o.halls) {
		return
	}
	now := slices.Sorted(maps.Keys(halls))
	o.fleet.Evacuate(now)
	o.logger.Info("data halls evacuated", "halls", now, "before", slices.Sorted(maps.Keys(o.halls)))
	o.halls = halls
}

func (o *operators) apply(row store.Row) {
	switch {
	case row.Key == platform.KeyDeclaration:
		o.declare(row)
	case platform.IsUpgradeOrder(row.Key):
		order, err := platform.DecodeUpgradeOrder(row)
		if err != nil {
			o.logger.Error("order can't be read", "row", row.Key, "row_version", row.Version, "error", err)
			return
		}
		o.upgrades.Order(order)
	}
}

func (o *operators) declare(row store.Row) {
	d, err := platform.DecodeDeclaration(row.Value)
	if err != nil {
		o.logger.Error("configuration can't be read; the old one stays in force", "row_version", row.Version, "error", err)
		return
	}
	if o.holder.Apply(route.NewTable(d)) {
		o.logger.Info("configuration in force", "config", d.Version, "row_version", row.Version, "routes", len(d.Routes),
			"services", len(d.Services), "workspaces", len(d.Workspaces))
	}
}
