package duty

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/usage"
)

// Limits of queries to other hosts.
const (
	// queryTimeout is ample for a small message between data halls to a busy host.
	queryTimeout = 600 * time.Millisecond
	// relayTimeout is the timeout of a query that a host relays to another one.
	relayTimeout = 400 * time.Millisecond
	// maxDirectQueries is the maximum number of hosts to query directly. If there are more, some
	// of them relay the query to the others.
	maxDirectQueries = 64
)

// Member is another host.
type Member struct{ Name, Address string }

// Query is a request by the holder of the duties for the status of other hosts.
type Query struct {
	NowKnown bool      // whether the holder knows the time of day
	Now      time.Time // the time of day, if known
	Window   time.Duration
	Since    usage.Window // the first window to return
	Relay    []Member     // hosts to which the receiver relays the query
	Released bool         // the sender has released the lease on the duties
	Backup   *HostStatus  // the sender's own counts, to be stored for its successor
}

// HostStatus is the answer of a host to a Query.
type HostStatus struct {
	Host       string
	WallTime   time.Time // by its own wall clock
	Usage      usage.HostUsage
	Running    map[string]int // requests in progress, by service
	FromBackup bool           // a stored backup of a host that may be gone; only Usage is to be used

	readAt clock.Instant // estimated instant at which WallTime was read
}

// Querier queries other hosts.
type Querier interface {
	// Query returns the status of a host and of the hosts to which it relays the query.
	Query(ctx context.Context, address string, q Query) ([]HostStatus, error)
}

// ownStatus returns the status of this host.
func (c *Coordinator) ownStatus(q Query) HostStatus {
	s := HostStatus{Host: c.options.Host, WallTime: time.Now(), Running: c.options.Running(), readAt: clock.Now()}
	s.Usage.Incarnation = c.options.Incarnation
	if q.NowKnown && q.Window > 0 {
		s.Usage = c.options.Counter.Snapshot(q.Now, q.Window, q.Since)
	}
	return s
}

// queryAll queries hosts and omits those that do not answer.
func (c *Coordinator) queryAll(ctx context.Context, q Query, members []Member) []HostStatus {
	groupSize := 1
	if len(members) > maxDirectQueries {
		groupSize = int(math.Ceil(math.Sqrt(float64(len(members)))))
	}
	var mu sync.Mutex
	var statuses []HostStatus
	var queries sync.WaitGroup
	own, queried := c.ownStatus(q), 0
	for group := range slices.Chunk(members, groupSize) {
		q := q
		if queried++; queried <= backupHosts {
			q.Backup = &own
		}
		queries.Go(func() {
			groupStatuses := c.queryViaRelay(ctx, q, group)
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, groupStatuses...)
		})
	}
	queries.Wait()
	return statuses
}

// maxRelayTries is the number of hosts of a group that are tried as the relay.
const maxRelayTries = 2

// queryViaRelay queries the first host of a group, which relays the query to the rest. If it fails,
// the next host of the group is the relay.
func (c *Coordinator) queryViaRelay(ctx context.Context, q Query, group []Member) []HostStatus {
	for i := range min(maxRelayTries, len(group)) {
		sent := clock.Now()
		queryContext, cancel := context.WithTimeout(ctx, queryTimeout)
		q := q
		q.Relay = group[i+1:]
		statuses, err := c.options.Querier.Query(queryContext, group[i].Address, q)
		cancel()
		if err == nil {
			// The wall clocks were read at some instant between sending the query and now; the
			// error of the midpoint is at most half of that time.
			middle := sent.Add(clock.Since(sent) / 2)
			for j := range statuses {
				statuses[j].readAt = middle
			}
			return statuses
		}
		c.options.Logger.Debug("host did not answer a query", "peer", group[i].Name, "address", group[i].Address, "error", err)
	}
	return nil
}

// HandleQuery answers a query by the host that does the duties. It returns the status of this host,
// the backups that it stores, and the statuses of the hosts to which it relays the query.
func (c *Coordinator) HandleQuery(ctx context.Context, q Query) []HostStatus {
	statuses := []HostStatus{c.ownStatus(q)}
	if q.Backup != nil {
		c.storeBackup(*q.Backup)
	}
	statuses = append(statuses, c.storedBackups()...)
	if q.Released && c.options.Leases != nil {
		c.options.Leases.CheckNow()
	}
	if len(q.Relay) == 0 {
		return statuses
	}
	start, members := clock.Now(), q.Relay
	q.Relay, q.Backup = nil, nil
	var mu sync.Mutex
	var queries sync.WaitGroup
	for _, m := range members {
		queries.Go(func() {
			queryContext, cancel := context.WithTimeout(ctx, relayTimeout)
			defer cancel()
			relayed, err := c.options.Querier.Query(queryContext, m.Address, q)
			if err != nil {
				c.options.Logger.Debug("host did not answer a query", "peer", m.Name, "address", m.Address, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, relayed...)
		})
	}
	queries.Wait()
	c.options.Logger.Debug("query relayed to hosts", "hosts", len(members), "answers", len(statuses)-1, "took_ms", clock.Since(start).Milliseconds())
	return statuses
}

// queryError wraps the error of a query to an address.
func queryError(address string, err error) error {
	return fmt.Errorf("query status of host %s: %w", address, err)
}

const (
	// backupHosts is the number of other hosts that store a backup of the holder's own counts, so
	// that the holder and all of its backups are unlikely to be lost together.
	backupHosts = 3
	// maxBackups is the maximum number of incarnations of which a host stores a backup.
	maxBackups = 8
)

// storeBackup stores the counts of a holder in memory, in place of an older backup of the same
// incarnation.
func (c *Coordinator) storeBackup(s HostStatus) {
	s.FromBackup = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backups = slices.DeleteFunc(c.backups, func(old HostStatus) bool { return old.Usage.Incarnation == s.Usage.Incarnation })
	c.backups = append(c.backups, s)
	c.backups = c.backups[max(0, len(c.backups)-maxBackups):]
}

func (c *Coordinator) storedBackups() []HostStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.backups)
}
