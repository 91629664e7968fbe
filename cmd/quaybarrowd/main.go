// Command quaybarrowd is a host of the router. See package daemon.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"quaybarrow/internal/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := daemon.Run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}
