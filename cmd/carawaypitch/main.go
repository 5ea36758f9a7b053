// Command carawaypitch is the single binary of the project. Its subcommands run the daemons, the operators' tools, a
// sample deployment in one process, and experiments. Each subcommand is defined in its own file, on top of a library
// package.
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

// run registers the subcommands by group, executes the one named on the command line and returns its exit status.
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

// group is a heading of the help text with its subcommands.
type group struct {
	name     string
	commands []subcommands.Command
}

// groups returns all groups of subcommands in the order in which the help text lists them.
func groups() []group {
	return []group{
		{"first try", []subcommands.Command{&devCommand{}}},
		{"daemons", []subcommands.Command{
			&entryCommand{}, &agentCommand{}, &controlCommand{}, &engineCommand{}, &platformCommand{},
		}},
		{"settings", []subcommands.Command{&checkCommand{}, &digestCommand{}, &codesCommand{}}},
		{"operators", []subcommands.Command{
			&classCommand{}, &targetCommand{}, &statusCommand{}, &serversCommand{}, &requestsCommand{}, &drainCommand{}, &clearCommand{}, &rolloutCommand{}, &explainCommand{}, &lossesCommand{},
		}},
		{"experiments", []subcommands.Command{&benchCommand{}}},
	}
}
