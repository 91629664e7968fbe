package gateway

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
)

// Causes of failed attempts besides the errors of this package.
const (
	causeNone       = "no answer"
	causeTime       = "time is over"
	causeSilent     = "the endpoint did not answer in time"
	causeBound      = "the endpoint's answer exceeds its bound"
	causeBroken     = "the connection to the endpoint broke"
	causeUnreadable = "the endpoint's answer can't be read"
)

// namedCauses are the errors whose own text tells a caller the cause.
var namedCauses = []error{
	errNoEndpoint, errHeld, errNoCapacity, errAtLimits, errAllEvacuated, errRejected, errNotFromEndpoint, errFailedAnswer, errTakesNothing, errAllLeaving,
	errAllPaused, errNoPlace, errQuarantined, errStopping, errEndUnknown, conn.ErrUnexpectedData,
}

// causeOf returns the cause of a failed attempt, one of a fixed set of texts. It is shown to callers and labels
// metrics, so it must not contain the error's text: an error of a parser quotes what it could not parse,
// which may be a part of the answer to another request, and one of a connection names its addresses.
func causeOf(ctx context.Context, err error) string {
	for _, named := range namedCauses {
		if errors.Is(err, named) {
			return named.Error()
		}
	}
	switch {
	case err == nil:
		return causeNone
	case bound.IsExceeded(err):
		return causeBound
	case clock.Expired(ctx), errors.Is(err, context.DeadlineExceeded):
		return causeTime
	case errors.Is(err, os.ErrDeadlineExceeded):
		return causeSilent
	case conn.IsDisconnect(err):
		return causeBroken
	default:
		return causeUnreadable
	}
}
