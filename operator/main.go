// Command operator, installed as comfreyctl, is the operators' command-line tool: it reads and edits the table in the platform's
// key-value service and queries the state of entry VMs.
package main

import (
	"context"
	"os"
	"os/signal"

	"comfreyroute/operator/internal/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := commander.Run(ctx, os.Args[0], os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
