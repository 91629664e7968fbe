package gateway

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/pkg/errors"

	"quaybarrow/internal/fleet"
)

// outcomePanic is the outcome of a request whose handler panicked.
const outcomePanic = "internal error"

// endPanic logs a panic of the request's handler, releases what its attempt holds and closes the caller's
// connection, since it is not known what the caller has got. net/http would close it without a word, for the
// server's own log is off. It must be deferred.
func (x *exchange) endPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		x.outcome = outcomePanic
		x.g.Telemetry.Count("handler_panics", 1)
		x.g.Logger.Error("handler of a request panicked", "id", x.header.ID, "endpoint", x.endpoint, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
		if x.attempt != nil {
			x.attempt.end(fleet.OutcomeNeutral, false)
		}
	}
	panic(http.ErrAbortHandler)
}
