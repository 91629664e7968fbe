package cluster

import (
	"sort"

	"quaybarrow/internal/billing"
	"quaybarrow/internal/check"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/declare"
)

// History joins what callers saw with the endpoints' records and the bills.
func (c *Cluster) History(observations []check.Observation) check.History {
	h := check.History{Observations: observations, Allowed: c.allowed}
	for i, e := range c.Engines {
		for _, r := range e.Runs() {
			h.EngineRuns = append(h.EngineRuns, check.EngineRun{
				RequestID: r.RequestID, AttemptID: r.AttemptID, Version: r.Version, Prompt: r.Prompt,
				Started: r.Started, First: r.First, Finished: r.Finished, Engine: engineName(i),
			})
		}
	}
	names := make([]string, 0, len(c.Services))
	for name := range c.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, r := range c.Services[name].Runs() {
			h.ServiceRuns = append(h.ServiceRuns, check.ServiceRun{RequestID: r.RequestID, Prompt: r.Body})
		}
	}
	for _, row := range c.Store.Rows(billing.TableBills) {
		if b, err := codec.Decode[billing.Bill](row.Value); err == nil {
			h.Bills = append(h.Bills, b)
		}
	}
	return h
}

// allowed reports whether the first declarations let a workspace use a version.
func (c *Cluster) allowed(workspace string, ref declare.Ref) bool {
	w, ok := c.options.Declarations.Workspace(workspace)
	return ok && w.Allows(ref)
}
