package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/operator"
)

// statusCommand shows the state of the deployment.
type statusCommand struct{ operatorFlags }

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "show classes against their targets, who is short of room, and the state of each instance"
}

func (*statusCommand) Usage() string {
	return `status [flags]
  Shows each class against its targets over the last minute, each model and service with its ready servers, what waits
  for it and why it is short of room, and each instance with the version in force there. The counts are those of the
  entries that the answering control instance has heard itself, a few seconds late.

  Examples:
    carawaypitch status -control http://127.0.0.1:8090 -key "$KEY"
    carawaypitch status -json -settings examples/compost/operator.jsonc

  Exit codes: 0 a control instance answered, also when no quorum confirmed it; 1 none answered; 2 usage.
`
}

func (c *statusCommand) SetFlags(flags *flag.FlagSet) { c.register(flags) }

func (c *statusCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 0 {
		return usage("status: takes flags only")
	}
	client, err := c.client()
	if err != nil {
		return usage("%v", err)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return exit(err)
	}
	return exit(c.print(status, func(w io.Writer) { statusTable(w, status) }))
}

// statusTable writes the status as tables of tab-separated cells.
func statusTable(w io.Writer, s operator.Status) {
	confirmed := "confirmed by a quorum"
	if !s.Confirmed {
		confirmed = "NOT confirmed: no quorum answered"
	}
	fmt.Fprintf(w, "configuration\tversion %d, %s\n", s.ConfigVersion, confirmed)
	fmt.Fprintf(w, "leader\t%s (term %d)\n", orDash(s.Leader), s.Term)
	fmt.Fprintf(w, "directory\tversion %d\n", s.DirectoryVersion)
	fmt.Fprintf(w, "operations\t%d records, %d bytes of answers, %d expired keys\n",
		s.Operations.Records, s.Operations.AnswerBytes, s.Operations.ExpiredKeys)
	fmt.Fprintf(w, "orders\t%d open\n", s.Orders)
	classesTable(w, s)
	targetsTable(w, s)
	poisonTable(w, s)
	adviceTable(w, s)
	rolloutStatusTable(w, s)
	fmt.Fprintln(w, "\nINSTANCE\tROLE\tZONE\tVERSION\tSTATE")
	for _, i := range s.Controls {
		instanceRow(w, "control", i, s.ConfigVersion)
	}
	for _, i := range s.Entries {
		instanceRow(w, "entry", i, s.ConfigVersion)
	}
	for _, i := range s.Agents {
		instanceRow(w, "agent", i, s.ConfigVersion)
	}
}

func instanceRow(w io.Writer, role string, i operator.Instance, version uint64) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", i.Instance, role, orDash(i.AvailabilityZone), i.ConfigVersion, instanceState(i, version))
}

// instanceState describes an instance relative to the configuration version in force.
func instanceState(i operator.Instance, version uint64) string {
	switch {
	case !i.Connected && i.SilentMS < 0:
		return "never heard"
	case !i.Connected:
		return "silent for " + (time.Duration(i.SilentMS) * time.Millisecond).String()
	case !i.Registered:
		return "not a member"
	case i.ConfigVersion < version:
		return "behind"
	}
	return "ok"
}

// orDash returns text, or "-" if text is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
