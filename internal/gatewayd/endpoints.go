package gatewayd

import (
	"context"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/store"
	"quaybarrow/internal/upgrade"
	"quaybarrow/platform"
)

// errNoHall tells that an entry names a data hall that nobody has.
var errNoHall = errors.New("the data hall is not known")

// endpoints takes in the endpoints' entries.
type endpoints struct {
	fleet      *fleet.Fleet
	pool       *conn.Pool
	quarantine *quarantine.Tracker
	upgrades   *upgrade.Tracker
	halls      map[string]string // all that there are; empty if that is not known
	logger     *log.Logger
}

// Reset implements follow.Picture.
func (e *endpoints) Reset(rows []store.Row, away bool) {
	var list []fleet.Endpoint
	services := map[string]bool{}
	for _, row := range rows {
		decoded, err := e.decode(row)
		if err != nil {
			e.strange(row, err, services)
			continue
		}
		list = append(list, decoded)
		services[decoded.Service] = true
	}
	e.fleet.Reset(list, away)
	e.settle(services)
	e.logger.Info("endpoints read", "count", len(list), "rows", len(rows), "store_was_away", away)
}

// Change implements follow.Picture.
func (e *endpoints) Change(changes []store.Change, away bool) {
	services := map[string]bool{}
	for _, c := range changes {
		e.change(c, away, services)
	}
	e.settle(services)
}

// Confirm implements follow.Picture.
func (e *endpoints) Confirm() {}

func (e *endpoints) change(c store.Change, away bool, services map[string]bool) {
	if c.Deleted {
		e.gone(c, away, services)
		return
	}
	decoded, err := e.decode(c.Row)
	if err != nil {
		e.strange(c.Row, err, services)
		return
	}
	old, known := e.fleet.Listed(c.Key)
	again := e.fleet.Put(decoded)
	services[decoded.Service] = true
	e.quarantine.EndpointListed(decoded.ID, decoded.Address)
	if again {
		// A request that is sent on a connection to the start before may run nowhere.
		e.pool.CloseIdle(old.Address)
	}
	if !known || again || old.Draining != decoded.Draining || old.Cold != decoded.Cold {
		e.logger.Info("endpoint listed", "endpoint", decoded.ID, "service", decoded.Service, "version", decoded.Version, "hall", decoded.Hall,
			"draining", decoded.Draining, "cold_ms", decoded.Cold.Milliseconds(), "again", again, "row_version", c.Version)
	}
}

func (e *endpoints) gone(c store.Change, away bool, services map[string]bool) {
	old, known := e.fleet.Listed(c.Key)
	if !known {
		return
	}
	if away {
		e.fleet.Lapse(c.Key)
	} else {
		e.fleet.Remove(c.Key)
		if !old.Draining {
			go e.quarantine.EndpointGone(context.Background(), old.ID)
		}
	}
	services[old.Service] = true
	e.logger.Info("endpoint gone", "endpoint", old.ID, "service", old.Service, "store_was_away", away, "row_version", c.Version)
}

func (e *endpoints) decode(row store.Row) (fleet.Endpoint, error) {
	decoded, err := platform.DecodeEndpoint(row)
	if err != nil {
		return fleet.Endpoint{}, err
	}
	if _, ok := e.halls[decoded.Hall]; !ok && len(e.halls) > 0 {
		return fleet.Endpoint{}, errors.WithMessagef(errNoHall, "hall %s", decoded.Hall)
	}
	return decoded, nil
}

// strange takes in an entry that names no endpoint to use. One that stood there before is
// gone at once: others than the endpoint write there, and nobody knows who answers at its
// address.
func (e *endpoints) strange(row store.Row, err error, services map[string]bool) {
	if old, known := e.fleet.Listed(row.Key); known {
		services[old.Service] = true
		e.fleet.Remove(row.Key)
	}
	e.logger.Error("entry names no endpoint to use", "row", row.Key, "row_version", row.Version, "error", err)
}

// settle tells the upgrades which versions the services have.
func (e *endpoints) settle(services map[string]bool) {
	for name := range services {
		e.upgrades.SetVersions(name, e.fleet.Versions(name))
	}
}
