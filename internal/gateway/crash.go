package gateway

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/quarantine"
)

// brokeOff reports whether an error of an attempt is its connection's: the peer closed or
// reset it. Time that runs out and answers that are no good say nothing of a crash.
func brokeOff(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// broke ends an attempt whose answer could not be read, and notes whether its endpoint has
// crashed.
func (a *attempt) broke(err error) {
	a.fail()
	x := a.x
	e := a.hold.Endpoint
	if !brokeOff(err) || x.ctx.Err() != nil || !x.g.Fleet.Serves(e.ID) {
		return
	}
	ran := time.Since(a.sentAt)
	if !x.g.Witness.Crashed(x.ctx, e.ID, e.Address) {
		return
	}
	x.crashes++
	x.g.Logger.Warn("endpoint crashed under a request", "id", x.ask.ID, "fingerprint", x.fingerprint(), "workspace", x.workspace,
		"endpoint", e.ID, "address", e.Address, "service", x.service, "ran_ms", ran.Milliseconds(), "crashes", x.crashes)
}

// fingerprint is the request's, by which it is known when it comes again.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.print.IsZero() {
		x.print = quarantine.Identity{Workspace: x.workspace, Target: x.r.Method + " " + x.r.Host + " " + x.r.RequestURI, Body: x.body}.Fingerprint()
	}
	return x.print
}
