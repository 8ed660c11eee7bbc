// Command entry runs the entry daemon of comfreyroute. It also has client subcommands to try out a deployment.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"comfreyroute/entry/internal/announcer"
	"comfreyroute/entry/internal/runner"
	"comfreyroute/entry/internal/searcher"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runner.Command{}, "daemon")
	subcommands.Register(&runner.CheckCommand{}, "daemon")
	subcommands.Register(&searcher.SearchCommand{}, "client")
	subcommands.Register(&searcher.CallCommand{}, "client")
	subcommands.Register(&searcher.WaitCommand{}, "client")
	subcommands.Register(&announcer.Command{}, "client")
	// Without a subcommand the daemon runs, so that a supervisor needs to pass only the settings.
	if len(os.Args) < 2 || os.Args[1][0] == '-' && os.Args[1] != "-help" && os.Args[1] != "-h" {
		os.Args = append([]string{os.Args[0], "run"}, os.Args[1:]...)
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
