// Command carawaypitch is the one binary of the project: the daemons, the operators' commands and the tools for a
// first try and for experiments. Each subcommand has a file of its own; what it does is in a library package.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := run(ctx)
	stop()
	os.Exit(int(status))
}

// run registers the subcommands by group and runs the one named on the command line.
func run(ctx context.Context) subcommands.ExitStatus {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	subcommands.Register(subcommands.CommandsCommand(), "help")
	for _, group := range groups() {
		for _, command := range group.commands {
			subcommands.Register(command, group.name)
		}
	}
	flag.Parse()
	return subcommands.Execute(ctx)
}

// group is a heading of the help page with its subcommands.
type group struct {
	name     string
	commands []subcommands.Command
}

func groups() []group {
	return []group{
		{"first try", []subcommands.Command{&devCommand{}}},
		{"daemons", []subcommands.Command{
			&entryCommand{}, &agentCommand{}, &controlCommand{}, &engineCommand{}, &platformCommand{},
		}},
		{"settings", []subcommands.Command{&checkCommand{}, &digestCommand{}, &codesCommand{}}},
		{"operators", []subcommands.Command{
			&classCommand{}, &targetCommand{}, &statusCommand{}, &serversCommand{}, &requestsCommand{}, &drainCommand{}, &explainCommand{}, &lossesCommand{},
		}},
		{"experiments", []subcommands.Command{&benchCommand{}}},
	}
}
