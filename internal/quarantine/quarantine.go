// Package quarantine identifies requests that crash endpoints, and parts of prompts under which
// endpoints crash whatever else a request holds, and keeps such requests from further endpoints.
//
// # Usage
//
//	t := quarantine.NewTracker(quarantine.Options{Host: "front-1", Probe: pool.Probe, Tables: tables, ...})
//	go t.Run(ctx)
//	quarantine.Register(server, t.HandleUpdate)
//
//	request := quarantine.Request{Fingerprint: fingerprint, Workspace: "w", Parts: []quarantine.Part{quarantine.NewPart("s", "5c1e07a2")}}
//	if t.HasEvidence() && t.Status(request).Quarantined {
//		...refuse the request: it has not run and will not...
//	}
//	crashed := t.ConnectionBroke(ctx, quarantine.BrokenAttempt{Endpoint: id, Address: address, Request: request, ...})
//	t.RequestCompleted(request.Fingerprint)
//
// A request that crashes its endpoint is sent again, by its caller and by hosts that retry it, each
// time under a new id; its Fingerprint stays the same. A crash breaks all requests that run at the
// endpoint, from all hosts, and the request that caused it is the one that several crashes have in
// common. So hosts exchange, in one row per host, which requests they had at endpoints that crashed,
// and each host evaluates all rows: Attribute is a pure function, so hosts with the same rows reach
// the same result. A request that completes anywhere is cleared of all earlier crashes. The rows
// are also in the store.
//
// Requests with a part in common may be alike in nothing else. So each crash also counts against the
// parts of the requests whose answers had only just begun, or had not, and an answer that outlives its
// beginning anywhere clears the parts of its prompt: AttributeParts. Parts that are always together can't
// be told apart; requests with all of them are refused, those with some go by turns.
//
// While nothing has crashed lately, no request is hashed. A host that starts reads the rows of all
// hosts, including its own row from before the restart.
package quarantine
