// Package quarantine knows requests under which endpoints crash, and keeps them from the
// others.
//
// # Usage
//
//	w := quarantine.NewWitness(pool.Reach)
//	if w.Crashed(ctx, endpoint.ID, endpoint.Address) {
//		...the endpoint is gone with all that ran there...
//	}
//
// A request that crashes what runs it comes again, from its caller and from hosts that repeat
// it, under an id of its own each time. What stays the same is its Fingerprint.
package quarantine
