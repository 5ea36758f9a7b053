package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/operator"
)

// clearCommand makes control forget the crashes under a request or a part of prompts.
type clearCommand struct{ operatorFlags }

func (*clearCommand) Name() string { return "clear" }
func (*clearCommand) Synopsis() string {
	return "serve a request or a part of prompts again under which servers crashed"
}

func (*clearCommand) Usage() string {
	return `clear [flags] ORGANISATION/FINGERPRINT | TARGET#PART
  Control forgets the crashes under a request, or under a part of prompts for a model or service, as "carawaypitch status"
  lists them. It is served again until it crashes servers anew.

  Examples:
    carawaypitch clear union/000000000000002a
    carawaypitch clear sample#5c1e07a2

  Exit codes: 0 cleared; 1 refused, or no control instance answered; 2 usage.
`
}

func (c *clearCommand) SetFlags(flags *flag.FlagSet) { c.register(flags) }

func (c *clearCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := parsePoison(flags.Arg(0))
	if flags.NArg() != 1 || !ok {
		return usage("clear: one ORGANISATION/FINGERPRINT or TARGET#PART; flags come first")
	}
	client, err := c.client()
	if err != nil {
		return usage("%v", err)
	}
	if err := client.ClearPoison(ctx, name); err != nil {
		return exit(err)
	}
	return exit(c.print(name, func(w io.Writer) {
		fmt.Fprintf(w, "cleared %s\n", flags.Arg(0))
	}))
}

// parsePoison parses the name of a request or part as the status table shows it.
func parsePoison(text string) (operator.Poison, bool) {
	if target, part, ok := strings.Cut(text, "#"); ok {
		return operator.Poison{Target: target, Fingerprint: part}, target != "" && part != ""
	}
	at := strings.LastIndexByte(text, '/')
	if at < 0 || at == len(text)-1 {
		return operator.Poison{}, false
	}
	return operator.Poison{Organisation: text[:at], Fingerprint: text[at+1:]}, true
}
