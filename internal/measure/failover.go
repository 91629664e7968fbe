package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/estimate"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/standin/cluster"
	"quaybarrow/internal/standin/engine"
)

// Bounds of waiting for a lease to move.
const (
	failoverWait  = time.Minute
	failoverCheck = 20 * time.Millisecond
	settleIn      = 15 * time.Second
)

// Failover measures the time from the end of a duty's holder until another holds
// its lease: when the holder drains, and when it is killed.
func Failover(ctx context.Context) (Table, error) {
	t := Table{
		Title:   "Time to fail over a duty, with leases of 10 s and pings of 1 s",
		Columns: []string{"end of the holder", "until another holds the lease"},
		Notes:   []string{"A killed host's lease has to be seen unchanged for its whole length, and its duty moves when pings to it have failed for three periods."},
	}
	for _, end := range []struct {
		name string
		stop func(c *cluster.Cluster, h *cluster.Host) error
	}{
		{"drained", func(c *cluster.Cluster, h *cluster.Host) error { return c.Stop(ctx, h) }},
		{"killed", func(c *cluster.Cluster, h *cluster.Host) error {
			c.Crash(h)
			return nil
		}},
	} {
		took, err := failover(ctx, end.stop)
		if err != nil {
			return Table{}, fmt.Errorf("%s: %w", end.name, err)
		}
		t.Rows = append(t.Rows, []string{end.name, took.Round(100 * time.Millisecond).String()})
	}
	return t, nil
}

func failover(ctx context.Context, stop func(*cluster.Cluster, *cluster.Host) error) (time.Duration, error) {
	times := settings.Default().Times
	c, err := cluster.New(ctx, cluster.Options{
		Memory: true, Hosts: 3, Engines: 1, Times: &times,
		Profiles: map[declare.Ref]engine.Profile{version: {Quality: 1}}, Declarations: declarations(),
	})
	if err != nil {
		return 0, fmt.Errorf("start: %w", err)
	}
	defer c.Close()
	time.Sleep(settleIn) // duties have moved to the hosts that they are meant for
	holder, err := awaitHolder(ctx, c, "")
	if err != nil {
		return 0, err
	}
	started := time.Now()
	if err := stop(c, holder); err != nil {
		return 0, err
	}
	_, err = awaitHolder(ctx, c, holder.Name)
	return time.Since(started), err
}

// awaitHolder waits until a host other than the named one holds the lease of the
// estimates.
func awaitHolder(ctx context.Context, c *cluster.Cluster, other string) (*cluster.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, failoverWait)
	defer cancel()
	for clock.Sleep(ctx, failoverCheck) {
		for _, row := range c.Store.Rows("lease") {
			if row.Key != estimate.LeaseName {
				continue
			}
			for _, h := range c.Hosts {
				held := strings.Contains(string(row.Value), `"holder":"`+h.Name+`"`) && !strings.Contains(string(row.Value), `"released":true`)
				if held && h.Name != other {
					return h, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("wait for a holder: %w", ctx.Err())
}
