// Command chicorytrayctl is the operators' command line tool. It validates, shows
// and changes the configuration, and shows the state of the processes. Without
// arguments it prints its commands and exit codes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"chicorytray.example/chicorytray/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Environment{})
	stop()
	os.Exit(code)
}
