// Command gateway forwards requests along the routes of the platform's manifest. It runs on every entry VM of the platform.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"comfreyroute/gateway/internal/runner"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runner.Command{}, "daemon")
	subcommands.Register(&runner.CheckCommand{}, "daemon")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
