package main

import (
	"context"
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/experiment"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/experiment/report"
	"github.com/carawaypitch/carawaypitch/logging"
)

// benchCommand runs an experiment file.
type benchCommand struct {
	scenarios, policies string
	page                string
	json, quiet, tune   bool
	saturate            bool
	verbose             bool
	caller, key         string
	metrics             string
	rate                float64
	warmUp, measured    time.Duration
}

func (*benchCommand) Name() string { return "bench" }
func (*benchCommand) Synopsis() string {
	return "run an experiment file: load, faults, policies side by side"
}

func (*benchCommand) Usage() string {
	return `bench [flags] FILE
  Runs each scenario of the file under each of its policies, against stand-ins in this process, and reports goodput,
  late and lost requests, wasted prefill, shares by organisation and latencies beside a bound that no scheduler can
  beat. With -caller it drives a deployment that runs already.

  Examples:
    carawaypitch bench examples/experiments/quick.jsonc
    carawaypitch bench -scenarios 2x-straggler -page report.html examples/experiments/compost.jsonc
    carawaypitch bench -tune examples/experiments/compost.jsonc
    carawaypitch bench -caller http://127.0.0.1:8080 -key "$KEY" -metrics http://127.0.0.1:8080 examples/experiments/quick.jsonc

  Exit codes: 0 ok; 1 the file is wrong, a run failed or a promise to callers was broken; 2 usage.
`
}

func (c *benchCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.scenarios, "scenarios", "", "names of the scenarios to run, separated by commas (default: all)")
	flags.StringVar(&c.policies, "policies", "", "names of the policies to run, separated by commas (default: all)")
	flags.StringVar(&c.page, "page", "", "write the report as a page with plots to this file")
	flags.BoolVar(&c.json, "json", false, "print the report as JSON")
	flags.BoolVar(&c.quiet, "quiet", false, "no progress on standard error")
	flags.BoolVar(&c.verbose, "v", false, "log the daemons' warnings to standard error")
	flags.BoolVar(&c.tune, "tune", false, "compare the values in tried of each baseline's knob instead")
	flags.DurationVar(&c.warmUp, "warm-up", 0, "warm-up instead of the file's")
	flags.DurationVar(&c.measured, "measured", 0, "measured time instead of the file's; faults after it don't come")
	flags.BoolVar(&c.saturate, "saturate", false, "check the capacity instead: keep the servers full without a scheduler")
	flags.StringVar(&c.caller, "caller", "", "URL of an entry that runs already; one scenario is sent there")
	flags.StringVar(&c.key, "key", "", "caller key for -caller")
	flags.StringVar(&c.metrics, "metrics", "", "URLs whose /metrics are reported with -caller, separated by commas")
	flags.Float64Var(&c.rate, "rate", 0, "requests a second with -caller (default: the scenario's load of the file's pool)")
}

func (c *benchCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return usage("bench: one FILE; flags come first")
	}
	if (c.caller == "") != (c.key == "") {
		return usage("bench: -caller and -key go together")
	}
	p, err := plan.Load(flags.Arg(0))
	if err != nil {
		return exit(err)
	}
	c.overrideTimes(p)
	r, err := c.run(ctx, p)
	if r != nil {
		err = errors.Join(err, c.write(r))
	}
	return exit(err)
}

// overrideTimes replaces the durations of the plan by those given on the command line; 0 keeps the plan's.
func (c *benchCommand) overrideTimes(p *plan.Plan) {
	if c.warmUp > 0 {
		p.WarmUp = plan.Duration(c.warmUp)
	}
	if c.measured > 0 {
		p.Measured = plan.Duration(c.measured)
	}
}

// run executes the plan in the mode that the flags select. The report may be non-nil beside an error.
func (c *benchCommand) run(ctx context.Context, p *plan.Plan) (*report.Report, error) {
	options := experiment.Options{Scenarios: splitList(c.scenarios), Policies: splitList(c.policies)}
	if !c.quiet {
		options.Progress = os.Stderr
	}
	if c.verbose {
		options.Log = logging.New(log.WarnLevel, os.Stderr)
	}
	switch {
	case c.caller != "":
		return experiment.Drive(ctx, p, options, experiment.Target{
			Caller: c.caller, Key: c.key, Metrics: splitList(c.metrics), Rate: c.rate,
		})
	case c.saturate:
		return experiment.Saturate(ctx, p, options)
	case c.tune:
		return experiment.Tune(ctx, p, options)
	default:
		return experiment.Run(ctx, p, options)
	}
}

// splitList splits text at its commas; empty text gives nil.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// write saves the report as a page if -page is given, and prints it to standard output.
func (c *benchCommand) write(r *report.Report) error {
	if c.page != "" {
		if err := writeFile(c.page, r.WritePage); err != nil {
			return err
		}
	}
	if c.json {
		return printJSON(os.Stdout, r)
	}
	return r.Print(os.Stdout)
}

func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create report page")
	}
	return errors.Join(write(file), file.Close())
}
