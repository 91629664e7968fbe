// Command quaybarrow is the operators' tool of the router. See package cli.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"quaybarrow/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], cli.System())
	stop()
	os.Exit(code)
}
