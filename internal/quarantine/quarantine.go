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
//	if t.HasEvidence() {
//		status := t.Status(request)
//		switch {
//		case status.Quarantined:
//			...refuse the request: it has not run and will not...
//		case status.IsHeld():
//			...wait for the tests of a part...
//		case status.Turns("s") != quarantine.Turns{}:
//			...wait for a turn of this key...
//		}
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
// Until there is a verdict, requests that may crash endpoints go by turns over all hosts (Status.Turns),
// since all copies that wait for a service that they have emptied would else be sent to the first
// endpoints that return. Turns end with an answer. A part that was answered before may be sound and come with
// the guilty ones, so it is tested, while other requests with it wait (Status.IsHeld).
//
// While nothing has crashed lately, no request is hashed. A host that starts reads the rows of all
// hosts, including its own row from before the restart.
package quarantine
