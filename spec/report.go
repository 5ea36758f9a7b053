package spec

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// maxParallel bounds how many explorations run at a time, and so the memory.
const maxParallel = 3

// outcomeOf is what an exploration gave.
type outcomeOf struct {
	result *Result
	err    error
}

// exploreAll runs explorations, a few at a time, and returns what they gave in the same order.
func exploreAll(runs []func() (*Result, error)) []outcomeOf {
	out := make([]outcomeOf, len(runs))
	slots := make(chan struct{}, min(maxParallel, runtime.GOMAXPROCS(0)))
	var wg sync.WaitGroup
	for i, run := range runs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			out[i].result, out[i].err = run()
		})
	}
	wg.Wait()
	return out
}

// Report explores all cases with all guards, and each guard's case without it, and prints what was found. The error
// says what is not as it has to be: a case that breaks an invariant, or a guard whose absence breaks none.
func Report(w io.Writer) error {
	begun := time.Now()
	c, err := openCharts()
	if err != nil {
		return err
	}
	if err := reportCases(w, c); err != nil {
		return err
	}
	if err := reportRemovals(w, c); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "\n%.1f s in all\n", time.Since(begun).Seconds())
	return err
}

func reportCases(w io.Writer, c *charts) error {
	var runs []func() (*Result, error)
	for _, k := range Cases() {
		runs = append(runs, func() (*Result, error) { return k.explore(c, AllGuards, "") })
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "model\tcase\tstates\ttransitions\tdepth\tseconds\tviolated")
	var failed error
	for i, out := range exploreAll(runs) {
		k, r := Cases()[i], out.result
		violated := "none"
		if r.Broken != "" {
			violated = string(r.Broken)
			failed = errors.Errorf("spec: %s, %s: %s", k.Model, k.Name, r.Broken)
		}
		if out.err != nil {
			failed = errors.Wrap(out.err, k.Name)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.1f\t%s\n",
			k.Model, k.Name, r.States, r.Transitions, r.Depth, r.Seconds, violated)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return failed
}

func reportRemovals(w io.Writer, c *charts) error {
	var runs []func() (*Result, error)
	for _, removal := range Removals() {
		runs = append(runs, func() (*Result, error) { return removal.explore(c) })
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nwithout guard\tcase\tstates\tsteps\tseconds\tviolated")
	var failed error
	for i, out := range exploreAll(runs) {
		removal, r := Removals()[i], out.result
		if out.err != nil {
			return out.err
		}
		if r.Broken != removal.Invariant {
			failed = errors.Errorf("spec: without %s nothing violates %q", removal.Guard, removal.Invariant)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f\t%s\n",
			removal.Guard, removal.Case, r.States, len(r.Trace), r.Seconds, r.Broken)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return failed
}

// explore runs the removal's case without its guard.
func (r Removal) explore(c *charts) (*Result, error) {
	k, err := findCase(r.Case)
	if err != nil {
		return nil, err
	}
	return k.explore(c, AllGuards.Without(r.Guard), r.Invariant)
}
