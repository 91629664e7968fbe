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

// startTimeout bounds a host's start.
const startTimeout = 15 * time.Second

// stopMargin is what a stop may take beyond the drain limit.
const stopMargin = 30 * time.Second

// Run is the daemon: it reads its settings, serves until the context ends and
// drains. It returns the exit code.
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
		_, _ = fmt.Fprintln(stderr, "settings are in order")
		return exitOK
	}
	app := newApp(loaded, *file)
	if err := serve(ctx, app); err != nil {
		_, _ = fmt.Fprintln(stderr, "quaybarrowd:", err)
		return exitFailed
	}
	return exitOK
}

// defaultSettings is the file that the platform names, or one in this folder.
func defaultSettings() string {
	if file := platform.SettingsFile(); file != "" {
		return file
	}
	return "quaybarrow.yaml"
}

// newApp wires the host that the settings describe.
func newApp(s settings.Settings, file string) *fx.App {
	if !s.Gateway.Enabled() {
		return fx.New(Module(s, Ports{}), fx.StartTimeout(startTimeout), fx.StopTimeout(s.Times.Leave+s.Times.Drain+stopMargin))
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ports := gatewayd.Ports{
		Hangup: hangup, Reload: func() (settings.Settings, error) { return settings.Load(file) },
	}
	return fx.New(gatewayd.Module(s, ports), fx.StartTimeout(startTimeout), fx.StopTimeout(s.Gateway.Grace))
}

// serve runs an app until the context ends.
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
