package gatewayd

import (
	"context"
	"reflect"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/settings"
)

// settingsEvery is how often the settings file is looked at: it may change
// without a signal.
const settingsEvery = 5 * time.Second

// reload takes in changed settings, at a signal and now and then.
func (h *Host) reload(ctx context.Context) {
	if h.Ports.Reload == nil {
		return
	}
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-h.Ports.Hangup:
			signalled = true
		case <-ticker.C:
		}
		h.reloadOnce(signalled)
	}
}

// reloadOnce reads the settings and applies what can change while the host runs.
// Settings that can't be read leave the old ones in force.
func (h *Host) reloadOnce(signalled bool) {
	next, err := h.Ports.Reload()
	if err != nil {
		h.Logger.Error("settings can't be read; the old ones stay in force", "signal", signalled, "error", err)
		return
	}
	now := h.now.Load()
	if reflect.DeepEqual(*now, next) {
		if signalled {
			h.Logger.Info("settings read again; nothing changed", "signal", signalled)
		}
		return
	}
	h.now.Store(&next)
	limitMemory(next.Gateway.MemoryMB)
	h.Gateway.SetRetryRatio(retryPart * next.Gateway.RetryRatio)
	// The settings' check has refused every other word.
	if level, err := log.ParseLevel(next.Telemetry.LogLevel); err == nil {
		h.Logger.SetLevel(level)
	}
	h.Logger.Info("settings changed", "signal", signalled, "restart_needed", needsRestart(*now, next))
}

// needsRestart reports whether settings differ in what only a start takes in.
func needsRestart(a, b settings.Settings) bool {
	for _, s := range []*settings.Settings{&a, &b} {
		s.Gateway.MemoryMB, s.Gateway.RetryRatio, s.Gateway.Grace = 0, 0, 0
		s.Telemetry.LogLevel = ""
	}
	return !reflect.DeepEqual(a, b)
}
