package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/operator"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Environment variables of the requests command.
const (
	entryEnv     = "CARAWAYPITCH_ENTRY"
	callerKeyEnv = "CARAWAYPITCH_KEY"
)

// defaultEntry is the entry URL used when neither a flag, the environment nor the settings file gives one.
const defaultEntry = "http://127.0.0.1:8080"

// requestsCommand lists the requests in progress at one entry, or explains one of them.
type requestsCommand struct {
	operatorFlags
	entry string // URL of the entry
}

func (*requestsCommand) Name() string { return "requests" }
func (*requestsCommand) Synopsis() string {
	return "explain requests: where they wait, why there, attempts and proofs"
}

func (*requestsCommand) Usage() string {
	return `requests [flags] [REQUEST]
  Asks one entry. Without REQUEST it lists those in progress; with one (Carawaypitch-Request-Id of the reply) it shows
  the servers passed over and why, the attempts and how each is known to have ended. With an organisation's key it
  shows that organisation's requests, with an operator key those of all. The key
  comes from -key, CARAWAYPITCH_OPERATOR_KEY, CARAWAYPITCH_KEY or the settings file, in this order; the entry's URL from
  -entry, CARAWAYPITCH_ENTRY or the settings file.

  Examples:
    carawaypitch requests -entry http://127.0.0.1:8080 -key "$KEY"
    carawaypitch requests -json 0190b8e2-6c5e-7c7e-9d38-0f6a4c1c7f11

  Exit codes: 0 ok; 1 the entry doesn't know the key or the request, or didn't answer; 2 usage.
`
}

func (c *requestsCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.settings, "settings", "", "settings file of role operator: entry and key")
	flags.StringVar(&c.key, "key", os.Getenv(keyEnv), "key of an organisation or an operator")
	flags.BoolVar(&c.json, "json", false, "print JSON instead of a table")
	flags.StringVar(&c.entry, "entry", os.Getenv(entryEnv), "URL of the entry (default "+defaultEntry+")")
	if c.key == "" {
		c.key = os.Getenv(callerKeyEnv)
	}
}

func (c *requestsCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 1 {
		return usage("requests: one REQUEST at most; flags come first")
	}
	client, err := c.entryClient()
	if err != nil {
		return usage("requests: %v", err)
	}
	if flags.NArg() == 1 {
		return exit(c.explain(ctx, client, flags.Arg(0)))
	}
	return exit(c.list(ctx, client))
}

// entryClient returns a client for the entry. Values missing from the flags come from the settings file; it is an error
// if neither has a key.
func (c *requestsCommand) entryClient() (*operator.Client, error) {
	if c.settings != "" {
		loaded, err := settings.Load[settings.Operator](c.settings)
		if err != nil {
			return nil, err
		}
		c.entry = orDefault(c.entry, loaded.Entry)
		c.key = orDefault(c.key, loaded.Key)
	}
	if c.key == "" {
		return nil, errors.Errorf("no key: give -key, -settings, %s or %s", keyEnv, callerKeyEnv)
	}
	return operator.New([]string{orDefault(c.entry, defaultEntry)}, c.key, nil), nil
}

// orDefault returns text, or fallback if text is empty.
func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

func (c *requestsCommand) list(ctx context.Context, client *operator.Client) error {
	list, err := client.Requests(ctx)
	if err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "REQUEST\tORGANISATION\tCLASS\tTIER\tSTATE\tAGE\tTARGET\tWAITS AT")
		for _, r := range list.Requests {
			age := time.Since(r.Arrived).Round(time.Millisecond)
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n",
				r.Request, r.Organisation, r.Class, r.Tier, r.State, age, r.Target, strings.Join(r.Reservations, ","))
		}
		memoryTable(w, list.Memory)
	})
}

// memoryTable writes what an entry holds for callers, by organisation.
func memoryTable(w io.Writer, m *operator.Memory) {
	if m == nil {
		return
	}
	fmt.Fprintf(w, "\nheld for callers\t%d of %d bytes\n", m.Held, m.Limit)
	for _, name := range slices.Sorted(maps.Keys(m.Organisations)) {
		fmt.Fprintf(w, "%s\t%d bytes\n", orDash(name), m.Organisations[name])
	}
}

func (c *requestsCommand) explain(ctx context.Context, client *operator.Client, id string) error {
	r, err := client.Request(ctx, id)
	if err != nil {
		return err
	}
	return c.print(r, func(w io.Writer) { requestTable(w, r) })
}

// requestTable writes the explanation of one request, one tab-separated fact a line.
func requestTable(w io.Writer, r operator.Request) {
	fmt.Fprintf(w, "request\t%s of %s\n", r.Request, r.Organisation)
	fmt.Fprintf(w, "class\t%s, tier %d, %s %s\n", r.Class, r.Tier, r.Kind, r.Target)
	fmt.Fprintf(w, "state\t%s, ran: %s, code %d\n", r.State, r.Ran, r.Code)
	if r.Reason != "" {
		fmt.Fprintf(w, "reason\t%s\n", r.Reason)
	}
	fmt.Fprintf(w, "time\tarrived %s, deadline after %s\n", r.Arrived.Format(time.RFC3339Nano), r.Deadline.Sub(r.Arrived))
	if r.Queued {
		fmt.Fprintf(w, "queued\tabout %d ahead, waits at %s\n", r.Ahead, orDash(strings.Join(r.Reservations, ", ")))
	}
	for _, p := range r.PassedOver {
		fmt.Fprintf(w, "passed over\t%s: %s\n", p.Server, p.Reason)
	}
	for _, a := range r.Attempts {
		fmt.Fprintf(w, "attempt %d\t%s by %s, began %t, %d frames, proof: %s %s\n",
			a.Number, a.Server, a.Agent, a.Began, a.Frames, a.Proof, a.Outcome)
	}
}
