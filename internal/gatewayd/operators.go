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

// operatorTable applies the rows of the operators' table: the configuration, upgrade orders and evacuations.
type operatorTable struct {
	holder    *route.Holder
	fleet     *fleet.Fleet
	upgrades  *upgrade.Tracker
	logger    *log.Logger
	evacuated map[string]bool // evacuated data halls, as the rows list them
}

// Reset implements follow.Replica.
func (o *operatorTable) Reset(rows []store.Row, _ bool) {
	halls := map[string]bool{}
	for _, row := range rows {
		if hall, ok := platform.EvacuatedHall(row.Key); ok {
			halls[hall] = true
			continue
		}
		o.apply(row)
	}
	o.setEvacuated(halls)
	o.upgrades.OrdersRead()
}

// Change implements follow.Replica.
func (o *operatorTable) Change(changes []store.Change, _ bool) {
	for _, c := range changes {
		hall, ok := platform.EvacuatedHall(c.Key)
		switch {
		case ok:
			halls := map[string]bool{hall: true}
			maps.Copy(halls, o.evacuated)
			if c.Deleted {
				delete(halls, hall)
			}
			o.setEvacuated(halls)
		case !c.Deleted:
			o.apply(c.Row)
		}
	}
}

// Confirm implements follow.Replica.
func (o *operatorTable) Confirm() { o.holder.Confirm() }

// setEvacuated replaces the set of evacuated data halls.
func (o *operatorTable) setEvacuated(halls map[string]bool) {
	if maps.Equal(halls, o.evacuated) {
		return
	}
	sorted := slices.Sorted(maps.Keys(halls))
	o.fleet.Evacuate(sorted)
	o.logger.Info("data halls evacuated", "halls", sorted, "before", slices.Sorted(maps.Keys(o.evacuated)))
	o.evacuated = halls
}

func (o *operatorTable) apply(row store.Row) {
	switch {
	case row.Key == platform.KeyDeclaration:
		o.applyDeclaration(row)
	case platform.IsUpgradeOrder(row.Key):
		order, err := platform.DecodeUpgradeOrder(row)
		if err != nil {
			o.logger.Error("order can't be read", "row", row.Key, "row_version", row.Version, "error", err)
			return
		}
		o.upgrades.Order(order)
	}
}

func (o *operatorTable) applyDeclaration(row store.Row) {
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
