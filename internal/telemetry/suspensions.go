package telemetry

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/clock"
)

// WatchSuspensions tells when the machine was suspended, and has deadlines end in time; until
// ctx ends.
func WatchSuspensions(ctx context.Context, deadlines *clock.Deadlines, t *Telemetry, logger *log.Logger) {
	deadlines.Watch(ctx, func(lasted time.Duration) {
		t.Count("suspensions", 1)
		t.Count("suspended_ms", lasted.Milliseconds())
		logger.Warn("machine was suspended", "lasted_ms", lasted.Milliseconds())
	})
}
