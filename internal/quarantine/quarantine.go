// Package quarantine identifies requests that crash endpoints and keeps them from being sent to
// further endpoints.
//
// # Usage
//
//	t := quarantine.NewTracker(quarantine.Options{Host: "front-1", Probe: pool.Probe, Tables: tables, ...})
//	go t.Run(ctx)
//	quarantine.Register(server, t.HandleUpdate)
//
//	if t.HasEvidence() && t.Status(fingerprint).Quarantined {
//		...refuse the request: it has not run and will not...
//	}
//	crashed := t.ConnectionBroke(ctx, quarantine.BrokenAttempt{Endpoint: id, Address: address, Request: fingerprint, ...})
//	t.RequestCompleted(fingerprint)
//
// A request that crashes its endpoint is sent again, by its caller and by hosts that retry it, each
// time under a new id; its Fingerprint stays the same. A crash breaks all requests that run at the
// endpoint, from all hosts, and the request that caused it is the one that several crashes have in
// common. So hosts exchange, in one row per host, which requests they had at endpoints that crashed,
// and each host evaluates all rows: Attribute is a pure function, so hosts with the same rows reach
// the same result. A request that completes anywhere is cleared of all earlier crashes. The rows
// are also in the store.
//
// While nothing has crashed lately, no request is hashed. A host that starts reads the rows of all
// hosts, including its own row from before the restart.
package quarantine
