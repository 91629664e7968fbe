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

// errUnknownHall means that an entry names a data hall that the settings don't list.
var errUnknownHall = errors.New("unknown data hall")

// endpointTable applies the rows of the endpoints table to the fleet, the quarantine and the upgrades.
type endpointTable struct {
	fleet      *fleet.Fleet
	pool       *conn.Pool
	quarantine *quarantine.Tracker
	upgrades   *upgrade.Tracker
	halls      map[string]string // regions of all data halls, by hall; empty if the halls are not known
	logger     *log.Logger
}

// Reset implements follow.Replica.
func (e *endpointTable) Reset(rows []store.Row, storeWasAway bool) {
	var list []fleet.Endpoint
	services := map[string]bool{}
	for _, name := range e.fleet.Services() {
		services[name] = true
	}
	for _, row := range rows {
		decoded, err := e.decode(row)
		if err != nil {
			e.rejectEntry(row, err, services)
			continue
		}
		list = append(list, decoded)
		services[decoded.Service] = true
	}
	e.fleet.Reset(list, storeWasAway)
	e.updateUpgrades(services)
	e.logger.Info("endpoints read", "count", len(list), "rows", len(rows), "store_was_away", storeWasAway)
}

// Change implements follow.Replica.
func (e *endpointTable) Change(changes []store.Change, storeWasAway bool) {
	services := map[string]bool{}
	for _, c := range changes {
		e.applyChange(c, storeWasAway, services)
	}
	e.updateUpgrades(services)
}

// Confirm implements follow.Replica.
func (e *endpointTable) Confirm() { e.fleet.ConfirmList() }

func (e *endpointTable) applyChange(c store.Change, storeWasAway bool, services map[string]bool) {
	if c.Deleted {
		e.removeEntry(c, storeWasAway, services)
		return
	}
	decoded, err := e.decode(c.Row)
	if err != nil {
		e.rejectEntry(c.Row, err, services)
		return
	}
	old, known := e.fleet.Listed(c.Key)
	restarted := e.fleet.Put(decoded)
	services[decoded.Service] = true
	e.quarantine.EndpointListed(decoded.ID, decoded.Address)
	if restarted {
		// A request sent on a connection to the previous start of the endpoint may never run.
		e.pool.CloseIdle(old.Address)
	}
	if !known || restarted || old.Draining != decoded.Draining || old.Cold != decoded.Cold {
		e.logger.Info("endpoint listed", "endpoint", decoded.ID, "service", decoded.Service, "version", decoded.Version, "hall", decoded.Hall,
			"draining", decoded.Draining, "cold_ms", decoded.Cold.Milliseconds(), "again", restarted, "row_version", c.Version)
	}
}

func (e *endpointTable) removeEntry(c store.Change, storeWasAway bool, services map[string]bool) {
	old, known := e.fleet.Listed(c.Key)
	if !known {
		return
	}
	serves := e.fleet.Serves(old.ID)
	if storeWasAway {
		e.fleet.Lapse(c.Key)
	} else {
		e.fleet.Remove(c.Key)
		if serves {
			go e.quarantine.EndpointGone(context.Background(), old.ID)
		}
	}
	services[old.Service] = true
	e.logger.Info("endpoint gone", "endpoint", old.ID, "service", old.Service, "store_was_away", storeWasAway, "row_version", c.Version)
}

func (e *endpointTable) decode(row store.Row) (fleet.Endpoint, error) {
	decoded, err := platform.DecodeEndpoint(row)
	if err != nil {
		return fleet.Endpoint{}, err
	}
	if _, ok := e.halls[decoded.Hall]; !ok && len(e.halls) > 0 {
		return fleet.Endpoint{}, errors.WithMessagef(errUnknownHall, "hall %s", decoded.Hall)
	}
	return decoded, nil
}

// rejectEntry handles an entry that describes no usable endpoint. An endpoint listed under the same
// key is removed at once: something other than the endpoint writes there, so it is unknown what answers
// at its address.
func (e *endpointTable) rejectEntry(row store.Row, err error, services map[string]bool) {
	if old, known := e.fleet.Listed(row.Key); known {
		services[old.Service] = true
		e.fleet.Remove(row.Key)
	}
	e.logger.Error("entry names no endpoint to use", "row", row.Key, "row_version", row.Version, "error", err)
}

// updateUpgrades passes the versions that the services' endpoints have to the upgrade tracker.
func (e *endpointTable) updateUpgrades(services map[string]bool) {
	for name := range services {
		e.upgrades.SetVersions(name, e.fleet.Versions(name))
	}
}
