package pipeline

import (
	"context"

	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
)

// identity is what stays the same of a request that comes again: as a job, under a key of its
// caller's, or at another host.
func (a parsedRequest) identity() quarantine.Identity {
	return quarantine.Identity{Workspace: a.workspace.Name, Target: a.target(), Body: a.incoming.Body}
}

// target is what the request asks for.
func (a parsedRequest) target() string {
	if a.service.Name == "" {
		return "chat"
	}
	return "service " + a.subject()
}

// description tells operators whose request it is and what it asks for.
func (a parsedRequest) description() string { return a.workspace.Name + " " + a.target() }

// checkQuarantine refuses a request under which endpoints crash. It has not run and will not, and
// nothing is gained by coming back; a job of it ends.
func (p *Pipeline) checkQuarantine(_ context.Context, a parsedRequest) (parsedRequest, error) {
	if !p.options.Quarantine.HasEvidence() || !p.options.Quarantine.Status(a.fingerprint()).Quarantined {
		return a, nil
	}
	return parsedRequest{}, dispatch.Quarantined(problem.NotRun)
}
