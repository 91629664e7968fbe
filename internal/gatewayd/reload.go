package gatewayd

import (
	"context"
	"reflect"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/settings"
)

// settingsInterval is how often the settings file is read again: it may change
// without a signal.
const settingsInterval = 5 * time.Second

// watchSettings reloads the settings at each signal and every settingsInterval.
func (h *Host) watchSettings(ctx context.Context) {
	if h.Ports.Reload == nil {
		return
	}
	ticker := time.NewTicker(settingsInterval)
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
		h.reloadSettings(signalled)
	}
}

// reloadSettings reads the settings and applies those that can change while the host runs.
// If they can't be read, the old ones stay in force.
func (h *Host) reloadSettings(signalled bool) {
	next, err := h.Ports.Reload()
	if err != nil {
		h.Logger.Error("settings can't be read; the old ones stay in force", "signal", signalled, "error", err)
		return
	}
	current := h.current.Load()
	if reflect.DeepEqual(*current, next) {
		if signalled {
			h.Logger.Info("settings read again; nothing changed", "signal", signalled)
		}
		return
	}
	h.current.Store(&next)
	limitMemory(next.Gateway.MemoryMB)
	h.Policy.apply(next.Gateway)
	h.Gateway.SetRetryRatio(retryFraction * next.Gateway.RetryRatio)
	// The check of the settings has already refused invalid levels.
	if level, err := log.ParseLevel(next.Telemetry.LogLevel); err == nil {
		h.Logger.SetLevel(level)
	}
	h.Logger.Info("settings changed", "signal", signalled, "restart_needed", needsRestart(*current, next))
}

// needsRestart reports whether settings differ in fields that apply only at a start.
func needsRestart(a, b settings.Settings) bool {
	for _, s := range []*settings.Settings{&a, &b} {
		s.Gateway.MemoryMB, s.Gateway.RetryRatio, s.Gateway.Grace = 0, 0, 0
		s.Gateway.Shares, s.Gateway.Weights = "", nil
		s.Telemetry.LogLevel = ""
	}
	return !reflect.DeepEqual(a, b)
}
