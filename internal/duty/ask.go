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

// Times of questions to other hosts.
const (
	// queryTimeout is ample for a small message between data halls, on a host that is busy.
	queryTimeout = 600 * time.Millisecond
	// relayTimeout is the same for hosts that another one asks.
	relayTimeout = 400 * time.Millisecond
	// maxDirectQueries hosts are asked one by one; beyond, some ask others.
	maxDirectQueries = 64
)

// Member is another host.
type Member struct{ Name, Address string }

// Query is what the holder asks.
type Query struct {
	NowKnown bool      // the holder knows the time of day
	Now      time.Time // it
	Window   time.Duration
	Since    usage.Window // the first to be told of
	Relay    []Member     // to be asked the same
	Released bool         // the sender has given the duties up
	Backup   *HostStatus  // what the sender has counted itself, to be kept for its successor
}

// HostStatus is what a host tells.
type HostStatus struct {
	Host       string
	WallTime   time.Time // its own time of day
	Usage      usage.HostUsage
	Running    map[string]int // requests in hand, by service
	FromBackup bool           // it was told before by a host that may be gone; only its account counts

	readAt clock.Instant // about when it told
}

// Querier asks other hosts.
type Querier interface {
	// Query returns the answers of a host and of those that it asks.
	Query(ctx context.Context, address string, q Query) ([]HostStatus, error)
}

// ownStatus is this host's own.
func (c *Coordinator) ownStatus(q Query) HostStatus {
	s := HostStatus{Host: c.options.Host, WallTime: time.Now(), Running: c.options.Running(), readAt: clock.Now()}
	s.Usage.Incarnation = c.options.Incarnation
	if q.NowKnown && q.Window > 0 {
		s.Usage = c.options.Counter.Snapshot(q.Now, q.Window, q.Since)
	}
	return s
}

// queryAll asks hosts; those that do not answer are left out.
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

// maxRelayTries is how many of some hosts are tried for asking the others of them.
const maxRelayTries = 2

// queryViaRelay asks the first of some hosts, which asks the others of them.
func (c *Coordinator) queryViaRelay(ctx context.Context, q Query, group []Member) []HostStatus {
	for i := range min(maxRelayTries, len(group)) {
		sent := clock.Now()
		queryContext, cancel := context.WithTimeout(ctx, queryTimeout)
		q := q
		q.Relay = group[i+1:]
		statuses, err := c.options.Querier.Query(queryContext, group[i].Address, q)
		cancel()
		if err == nil {
			// It told at some moment between; the middle is wrong by half of that at most.
			middle := sent.Add(clock.Since(sent) / 2)
			for j := range statuses {
				statuses[j].readAt = middle
			}
			return statuses
		}
		c.options.Logger.Debug("host tells nothing", "peer", group[i].Name, "address", group[i].Address, "error", err)
	}
	return nil
}

// HandleQuery is this host's answer to the one that does the duties, with those of hosts that it asks for
// it.
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
	var asking sync.WaitGroup
	for _, m := range members {
		asking.Go(func() {
			queryContext, cancel := context.WithTimeout(ctx, relayTimeout)
			defer cancel()
			relayed, err := c.options.Querier.Query(queryContext, m.Address, q)
			if err != nil {
				c.options.Logger.Debug("host tells nothing", "peer", m.Name, "address", m.Address, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, relayed...)
		})
	}
	asking.Wait()
	c.options.Logger.Debug("hosts asked for another", "hosts", len(members), "answers", len(statuses)-1, "took_ms", clock.Since(start).Milliseconds())
	return statuses
}

// queryError wraps what kept a host from answering.
func queryError(address string, err error) error {
	return fmt.Errorf("ask %s for its account: %w", address, err)
}

const (
	// backupHosts of what the holder has counted itself are with other hosts, so that not both it and
	// all of them are likely to be lost.
	backupHosts = 3
	// maxBackups bounds the lives of which a host keeps copies.
	maxBackups = 8
)

// storeBackup keeps what a holder had counted.
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
