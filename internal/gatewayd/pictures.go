package gatewayd

import (
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
	upgrades *upgrade.Tracker
	logger   *log.Logger
}

// Reset implements follow.Picture.
func (o *operators) Reset(rows []store.Row, _ bool) {
	for _, row := range rows {
		o.apply(row)
	}
}

// Change implements follow.Picture.
func (o *operators) Change(changes []store.Change, _ bool) {
	for _, c := range changes {
		if !c.Deleted {
			o.apply(c.Row)
		}
	}
}

// Confirm implements follow.Picture.
func (o *operators) Confirm() { o.holder.Confirm() }

func (o *operators) apply(row store.Row) {
	switch {
	case row.Key == platform.KeyDeclaration:
		o.declare(row)
	case platform.IsOrder(row.Key):
		order, err := platform.DecodeOrder(row)
		if err != nil {
			o.logger.Error("order can't be read", "row", row.Key, "error", err)
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

// endpoints takes in the endpoints' entries.
type endpoints struct {
	fleet    *fleet.Fleet
	upgrades *upgrade.Tracker
	logger   *log.Logger
}

// Reset implements follow.Picture.
func (e *endpoints) Reset(rows []store.Row, away bool) {
	var list []fleet.Endpoint
	services := map[string]bool{}
	for _, row := range rows {
		decoded, ok := e.decode(row)
		if !ok {
			continue
		}
		list = append(list, decoded)
		services[decoded.Service] = true
	}
	e.fleet.Reset(list, away)
	e.settle(services)
	e.logger.Info("endpoints read", "count", len(list), "store_was_away", away)
}

// Change implements follow.Picture.
func (e *endpoints) Change(changes []store.Change, away bool) {
	services := map[string]bool{}
	for _, c := range changes {
		e.change(c, away, services)
	}
	e.settle(services)
}

func (e *endpoints) change(c store.Change, away bool, services map[string]bool) {
	old, known := e.fleet.Listed(c.Key)
	if c.Deleted {
		if !known {
			return
		}
		if away {
			e.fleet.Lapse(c.Key)
		} else {
			e.fleet.Remove(c.Key)
		}
		services[old.Service] = true
		e.logger.Info("endpoint gone", "endpoint", c.Key, "service", old.Service, "store_was_away", away, "row_version", c.Version)
		return
	}
	decoded, ok := e.decode(c.Row)
	if !ok {
		return
	}
	e.fleet.Put(decoded)
	services[decoded.Service] = true
	if !known || old.Draining != decoded.Draining {
		e.logger.Info("endpoint listed", "endpoint", c.Key, "service", decoded.Service, "version", decoded.Version,
			"hall", decoded.Hall, "draining", decoded.Draining, "row_version", c.Version)
	}
}

// Confirm implements follow.Picture.
func (e *endpoints) Confirm() {}

func (e *endpoints) decode(row store.Row) (fleet.Endpoint, bool) {
	decoded, err := platform.DecodeEndpoint(row)
	if err != nil {
		e.logger.Error("entry of an endpoint can't be read", "row", row.Key, "error", err)
		return fleet.Endpoint{}, false
	}
	return decoded, true
}

// settle tells the upgrades which versions the services have.
func (e *endpoints) settle(services map[string]bool) {
	for name := range services {
		e.upgrades.Settle(name, e.fleet.Versions(name))
	}
}
