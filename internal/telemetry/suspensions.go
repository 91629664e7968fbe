package telemetry

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/clock"
)

// WatchSuspensions logs and counts suspensions of the machine until ctx ends. It also makes
// deadlines that passed during a suspension expire promptly.
func WatchSuspensions(ctx context.Context, deadlines *clock.Deadlines, t *Telemetry, logger *log.Logger) {
	deadlines.Watch(ctx, func(lasted time.Duration) {
		t.Count("suspensions", 1)
		t.Count("suspended_ms", lasted.Milliseconds())
		logger.Warn("machine was suspended", "lasted_ms", lasted.Milliseconds())
	})
}
