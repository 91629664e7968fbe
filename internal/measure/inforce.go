package measure

import (
	"context"
	"fmt"
	"time"

	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/operator"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/standin/cluster"
	"quaybarrow/internal/standin/engine"
	"quaybarrow/internal/standin/table"
)

// hostsOfToday is how many entry hosts a deployment of today has.
const hostsOfToday = 7

// InForce measures the time from acceptance to in force at seven hosts: in
// peace, with the store down right after acceptance, and with a data hall cut
// off for a while.
func InForce(ctx context.Context) (Table, error) {
	times := settings.Default().Times
	d := declarations()
	d.Plans = []declare.Plan{{Name: "p", Version: "m@1", Window: 1, Ratings: 1}}
	c, err := cluster.New(ctx, cluster.Options{
		Memory: true, Hosts: hostsOfToday, Engines: 1, Times: &times,
		Profiles: map[declare.Ref]engine.Profile{version: {Quality: 1}}, Declarations: d,
	})
	if err != nil {
		return Table{}, fmt.Errorf("start: %w", err)
	}
	defer c.Close()
	time.Sleep(2 * time.Second)
	t := Table{
		Title:   "Time from acceptance to in force, at seven hosts in three data halls",
		Columns: []string{"situation", "commands", "median", "longest", "in force everywhere"},
		Notes:   []string{"Hosts and store are in one process; what a real network adds is two round trips."},
	}
	peace, err := commands(ctx, c, 30, nil)
	if err != nil {
		return Table{}, err
	}
	t.Rows = append(t.Rows, peace.row("peace"))
	down, err := storeDown(ctx, c, 10)
	if err != nil {
		return Table{}, err
	}
	t.Rows = append(t.Rows, down.row("store down right after acceptance"))
	cut, err := commands(ctx, c, 2, func() func() {
		var hall []*cluster.Host
		for _, h := range c.Hosts {
			if h.Hall == cluster.Halls[2] {
				hall = append(hall, h)
				c.Isolate(h, true)
			}
		}
		restore := time.AfterFunc(8*time.Second, func() {
			for _, h := range hall {
				c.Isolate(h, false)
			}
		})
		return func() { restore.Stop() }
	})
	if err != nil {
		return Table{}, err
	}
	t.Rows = append(t.Rows, cut.row("a data hall cut off for 8 s"))
	return t, nil
}

// storeDown accepts changes and takes the store away before any is spread.
func storeDown(ctx context.Context, c *cluster.Cluster, count int) (inForceRun, error) {
	var r inForceRun
	h := c.Hosts[0].Daemon()
	for i := range count {
		now := h.Config.Current().Revision()
		started := time.Now()
		next, err := config.NewLog(c.Store).Accept(ctx, now.Number, config.Change{
			CommandID: fmt.Sprintf("down-%d", i), Declarations: now.Declarations.WithHeld("p", i%2 == 0),
		})
		if err != nil {
			return r, fmt.Errorf("accept: %w", err)
		}
		c.Store.Inject(table.Fault{Kind: table.FaultDown})
		h.Config.Apply(next)
		waiting, cancel := context.WithTimeout(ctx, 20*time.Second)
		state := h.Distributor.AwaitInForce(waiting, next)
		cancel()
		c.Store.Heal()
		r.took = append(r.took, time.Since(started))
		if state.Everywhere() {
			r.everywhere++
		}
	}
	return r, nil
}

// inForceRun is the outcome of several commands.
type inForceRun struct {
	took       []time.Duration
	everywhere int
}

func (r inForceRun) row(name string) []string {
	return []string{
		name, fmt.Sprint(len(r.took)), quantile(r.took, 0.5).Round(100 * time.Microsecond).String(),
		quantile(r.took, 1).Round(100 * time.Microsecond).String(), fmt.Sprintf("%d of %d", r.everywhere, len(r.took)),
	}
}

// commands holds and resumes a plan again and again, each under a fault.
func commands(ctx context.Context, c *cluster.Cluster, count int, fault func() func()) (inForceRun, error) {
	var r inForceRun
	host := c.Operator(c.Hosts[0])
	for i := range count {
		text := []string{"hold p", "resume p"}[i%2]
		heal := func() {}
		if fault != nil {
			heal = fault()
		}
		reply, err := host.Do(ctx, operator.DoRequest{Base: operator.BaseNewest, Text: text, WaitMS: 30_000})
		heal()
		if err != nil {
			return r, fmt.Errorf("%s: %w", text, err)
		}
		r.took = append(r.took, time.Duration(reply.Outcome.TookMS*float64(time.Millisecond)))
		if reply.Outcome.Everywhere {
			r.everywhere++
		}
	}
	return r, nil
}
