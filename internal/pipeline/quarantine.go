package pipeline

import (
	"context"

	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
)

// identity is what stays the same of a request that comes again: as a job, under a key of its
// caller's, or at another host.
func (a ask) identity() quarantine.Identity {
	target := "chat"
	if a.service.Name != "" {
		target = "service " + a.subject()
	}
	return quarantine.Identity{Workspace: a.workspace.Name, Target: target, Body: a.in.Body}
}

// checkQuarantine refuses a request under which endpoints crash. It has not run and will not, and
// nothing is gained by coming back; a job of it ends.
func (p *Pipeline) checkQuarantine(_ context.Context, a ask) (ask, error) {
	if !p.options.Quarantine.Watching() || !p.options.Quarantine.Standing(a.fingerprint()).Quarantined {
		return a, nil
	}
	return ask{}, dispatch.Quarantined(problem.NotRun)
}
