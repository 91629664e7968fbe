package pipeline

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
)

// identity returns the properties that stay the same when a request is repeated as a job, under an
// idempotency key or at another host.
func (a parsedRequest) identity() quarantine.Identity {
	return quarantine.Identity{Workspace: a.workspace.Name, Target: a.target(), Body: a.incoming.Body}
}

// computeKnownAs returns all by which the request is known when endpoints crash under it, or under
// messages that it shares with others: all but its last.
func (a parsedRequest) computeKnownAs() quarantine.Request {
	r := quarantine.Request{Fingerprint: a.identity().Fingerprint(), Workspace: a.workspace.Name}
	shared := a.chat.Messages[:min(max(len(a.chat.Messages)-1, 0), quarantine.MaxRequestParts)]
	for _, m := range shared {
		sum := sha256.Sum256(append([]byte(m.Role+"\x00"), m.Content...))
		r.Parts = append(r.Parts, quarantine.NewPart(endpoint.EngineService, "message "+hex.EncodeToString(sum[:16])))
	}
	return r
}

// target returns what the request is sent to: "chat", or the service and call.
func (a parsedRequest) target() string {
	if a.service.Name == "" {
		return "chat"
	}
	return "service " + a.subject()
}

// description returns the workspace and the target of the request, for operators.
func (a parsedRequest) description() string { return a.workspace.Name + " " + a.target() }

// checkQuarantine rejects a request that crashes endpoints. The request did not run, and retrying it
// has no effect; a job with this request ends as failed.
func (p *Pipeline) checkQuarantine(_ context.Context, a parsedRequest) (parsedRequest, error) {
	if !p.options.Quarantine.HasEvidence() || !p.options.Quarantine.Status(a.knownAs()).Quarantined {
		return a, nil
	}
	return parsedRequest{}, dispatch.QuarantinedProblem(problem.NotRun)
}
