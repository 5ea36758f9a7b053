package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/story"
)

// explainCommand reconstructs the history of one request from the log files of several processes.
type explainCommand struct{}

func (*explainCommand) Name() string             { return "explain" }
func (*explainCommand) SetFlags(_ *flag.FlagSet) {}
func (*explainCommand) Synopsis() string {
	return "tell what became of a request, from the logs of processes"
}

func (*explainCommand) Usage() string {
	return `explain REQUEST FILE...
  Prints the lines of the log files about the request, whose id may be a prefix, in the order of cause: attempts at
  backend servers, then how the entry ended it. Below each stands what its process had come to believe in the five
  seconds before. Ages are taken within one process, so clocks need not agree. FILE - is the standard input.

  Example:
    carawaypitch explain 9c41d07be2a35f68 entry-1.log agent-*.log

  Exit codes: 0 ok; 1 a file can't be read; 2 usage.
`
}

func (*explainCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() < 2 {
		return usage("explain: give a request and at least one log file")
	}
	var logs []*story.Log
	for _, name := range flags.Args()[1:] {
		l, err := readLog(name, flags.Arg(0))
		if err != nil {
			return exit(err)
		}
		logs = append(logs, l)
	}
	return exit(story.Write(os.Stdout, logs))
}

// readLog reads the log lines about a request from the named file; "-" is standard input.
func readLog(name, request string) (l *story.Log, err error) {
	err = withLogFile(name, func(r io.Reader) error {
		l, err = story.Read(name, r, request)
		return err
	})
	return l, err
}
