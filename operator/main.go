// Program operator, installed as comfreyctl, is the command of the operators: it reads and edits the table in the platform's
// key-value service and asks entry VMs what they see.
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
