package experiment

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/experiment/bound"
	"github.com/carawaypitch/carawaypitch/experiment/load"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/experiment/report"
	"github.com/carawaypitch/carawaypitch/network"
)

// Target is a deployment that runs already.
type Target struct {
	// Caller is the URL of an entry, or of what balances over entries; Key proves one organisation to it.
	Caller string
	Key    string
	// Metrics are the URLs of processes whose /metrics are reported.
	Metrics []string
	// Rate is the requests a second; 0 takes the scenario's load of the plan's own pool.
	Rate float64
}

// metricsTimeout bounds the reading of one /metrics.
const metricsTimeout = 5 * time.Second

// Drive sends the first chosen scenario to a deployment that runs already. All requests are the one organisation's.
// Nothing is known of the engines there, so faults are left out and answers aren't compared.
func Drive(ctx context.Context, p *plan.Plan, options Options, target Target) (*report.Report, error) {
	if err := options.check(p); err != nil {
		return nil, err
	}
	single := *p
	single.Organisations = []plan.Organisation{{Name: "caller", Demand: 1, Entries: []int{1}}}
	scenario := p.Scenarios[0]
	if len(options.Scenarios) > 0 {
		scenario = *p.Scenario(options.Scenarios[0])
	}
	scenario.Faults = nil
	if target.Rate > 0 {
		scenario.Load = target.Rate / planRate(p)
	}
	arrivals := load.Generate(&single, &scenario)
	run := drive(ctx, &single, &scenario, arrivals, options, target)
	run.Metrics = report.SumMetrics(fetchMetrics(ctx, target.Metrics))
	r := newReport(&single)
	r.Scenarios = []report.Group{{Scenario: scenario.Name, Load: scenario.Load, Bound: boundOf(&single, &scenario, arrivals), Runs: []report.Run{run}}}
	r.Notes = append(r.Notes, "driven from outside: the bound is that of the file's own pool, and answers weren't compared")
	if len(run.Violations) > 0 {
		return r, ErrViolation
	}
	return r, ctx.Err()
}

// planRate is the requests a second of all pools at one times their capacity.
func planRate(p *plan.Plan) float64 {
	total := 0.0
	for _, pool := range bound.Pools(p) {
		total += pool.RequestRate(p.Mix)
	}
	return total
}

func drive(ctx context.Context, p *plan.Plan, s *plan.Scenario, arrivals []*load.Arrival, options Options, target Target) report.Run {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &one{plan: p, scenario: s, policy: plan.Policy{Policy: "running"}, options: options}
	o.driver = load.NewDriver(network.TCP{}, func() []string { return []string{target.Caller} }, []string{target.Key}, false)
	o.driver.Expect(arrivals)
	o.begin = time.Now().Add(leadIn)
	var watch sync.WaitGroup
	watch.Go(func() {
		o.watch(ctx, len(arrivals))
		cancel()
	})
	outcomes := o.driver.Run(ctx, o.begin, arrivals)
	watch.Wait()
	run := report.Count(p, outcomes)
	run.Policy = o.policy.Policy
	run.Invalid = o.invalid(run)
	return run
}

// fetchMetrics returns the texts of those that answer.
func fetchMetrics(ctx context.Context, urls []string) [][]byte {
	client := &http.Client{Transport: framing.NewTransport(new(http.Transport)), Timeout: metricsTimeout}
	defer client.CloseIdleConnections()
	var texts [][]byte
	for _, url := range urls {
		if text, err := fetch(ctx, client, strings.TrimSuffix(url, "/")+"/metrics"); err == nil {
			texts = append(texts, text)
		}
	}
	return texts
}

func fetch(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	reply, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: status %d", url, reply.StatusCode)
	}
	return io.ReadAll(reply.Body)
}
