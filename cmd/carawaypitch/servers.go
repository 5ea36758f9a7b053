package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/operator"
)

// serversCommand lists the backend servers in the directory.
type serversCommand struct{ operatorFlags }

func (*serversCommand) Name() string { return "servers" }
func (*serversCommand) Synopsis() string {
	return "list the backend servers by what they serve and their condition"
}

func (*serversCommand) Usage() string {
	return `servers [flags]
  Lists each backend server that announced itself: ready (gets work), suspect (slow or failing probes; gets probes
  only), draining (finishes its work and gets no more), drained (may be stopped), gone.

  Examples:
    carawaypitch servers -settings examples/compost/operator.jsonc
    carawaypitch servers -json

  Exit codes: 0 ok; 1 no control instance could confirm the list; 2 usage.
`
}

func (c *serversCommand) SetFlags(flags *flag.FlagSet) { c.register(flags) }

func (c *serversCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 0 {
		return usage("servers: takes flags only")
	}
	client, err := c.client()
	if err != nil {
		return usage("%v", err)
	}
	servers, err := client.Servers(ctx)
	if err != nil {
		return exit(err)
	}
	return exit(c.print(servers, func(w io.Writer) { serversTable(w, servers.Servers) }))
}

// serversTable writes servers, with their versions if any announces one.
func serversTable(w io.Writer, servers []operator.Server) {
	version := func(string) string { return "" }
	if slices.ContainsFunc(servers, func(s operator.Server) bool { return s.Version != "" }) {
		version = func(text string) string { return "\t" + text }
	}
	fmt.Fprintf(w, "SERVER\tKIND\tCONDITION\tSERVES\tSLOTS\tZONE\tAGENT\tORDER%s\n", version("VERSION"))
	for _, s := range servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s%s\n", s.Server, s.Kind, s.Condition,
			strings.Join(s.Models, ","), s.Slots, s.AvailabilityZone, s.Agent, orderText(s.Order), version(orDash(s.Version)))
	}
}

// orderText formats the order in progress at a backend server; nil, which is no order, gives "-".
func orderText(o *operator.Order) string {
	if o == nil {
		return "-"
	}
	return strings.TrimSpace(o.Kind + " " + o.Model + o.Role)
}
