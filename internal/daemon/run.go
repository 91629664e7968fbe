package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"

	"quaybarrow/internal/gatewayd"
	"quaybarrow/internal/settings"
	"quaybarrow/platform"
)

// Exit codes of Run.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// startTimeout bounds the start of a host.
const startTimeout = 15 * time.Second

// stopMargin is the time that a stop may take beyond Times.Leave and Times.Drain.
const stopMargin = 30 * time.Second

// Run runs the daemon: it reads the settings, serves until ctx is done, drains and
// returns the exit code.
func Run(ctx context.Context, args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("quaybarrowd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", defaultSettings(), "settings `file`")
	check := flags.Bool("check-settings", false, "check the settings and exit")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	loaded, err := settings.Load(*file)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "quaybarrowd:", err)
		return exitFailed
	}
	if *check {
		_, _ = fmt.Fprintln(stderr, "settings are valid")
		return exitOK
	}
	app := newApp(loaded, *file)
	if err := serve(ctx, app); err != nil {
		_, _ = fmt.Fprintln(stderr, "quaybarrowd:", err)
		return exitFailed
	}
	return exitOK
}

// defaultSettings returns the settings file that the platform names, or quaybarrow.yaml in the working
// directory.
func defaultSettings() string {
	if file := platform.SettingsFile(); file != "" {
		return file
	}
	return "quaybarrow.yaml"
}

// newApp wires a gateway host if the settings enable the gateway, and a host of the router otherwise.
func newApp(s settings.Settings, file string) *fx.App {
	if !s.Gateway.Enabled() {
		return fx.New(Module(s, Ports{}), fx.StartTimeout(startTimeout), fx.StopTimeout(s.Times.Leave+s.Times.Drain+stopMargin))
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return newGatewayApp(s, gatewayd.Ports{
		Hangup: hangup, Reload: func() (settings.Settings, error) { return settings.Load(file) },
	})
}

// gatewayStopTimeout is longer than any grace: a gateway host itself bounds its stop, by the grace in force,
// which may have changed since the start.
const gatewayStopTimeout = 24 * time.Hour

// newGatewayApp wires a gateway host.
func newGatewayApp(s settings.Settings, ports gatewayd.Ports) *fx.App {
	return fx.New(gatewayd.Module(s, ports), fx.StartTimeout(startTimeout), fx.StopTimeout(gatewayStopTimeout))
}

// serve runs an app until ctx is done.
func serve(ctx context.Context, app *fx.App) error {
	starting, cancel := context.WithTimeout(ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(starting); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-ctx.Done()
	stopping, done := context.WithTimeout(context.Background(), app.StopTimeout())
	defer done()
	if err := app.Stop(stopping); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}
