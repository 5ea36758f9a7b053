package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/experiment/bound"
	"github.com/carawaypitch/carawaypitch/experiment/deploy"
	"github.com/carawaypitch/carawaypitch/experiment/load"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/experiment/report"
)

// Saturate checks the capacity: it keeps every backend server's slots full with the requests of the scenario with the
// highest load, sent to the servers themselves with no scheduler in between, and reports the work done in the
// measured time as a part of the capacity of the formula.
func Saturate(ctx context.Context, p *plan.Plan, options Options) (*report.Report, error) {
	scenario := &p.Scenarios[0]
	for i := range p.Scenarios {
		if p.Scenarios[i].Load > scenario.Load {
			scenario = &p.Scenarios[i]
		}
	}
	arrivals := load.Generate(p, scenario)
	r := newReport(p)
	for _, pool := range bound.Pools(p) {
		options.progress("saturating %s: %d servers", pool.Name, len(pool.Servers))
		s := &saturation{plan: p, pool: pool}
		for _, a := range arrivals {
			if a.Pool == pool.Name {
				s.arrivals = append(s.arrivals, a)
			}
		}
		if err := s.run(ctx); err != nil {
			return r, err
		}
		part := float64(s.work.Load()) / float64(time.Second) / (pool.Capacity() * p.Measured.Std().Seconds())
		r.Notes = append(r.Notes, fmt.Sprintf("saturation of %s: %.1f%% of the capacity of the formula", pool.Name, 100*part))
	}
	return r, ctx.Err()
}

// saturation keeps one pool full.
type saturation struct {
	plan     *plan.Plan
	pool     *bound.Pool
	arrivals []*load.Arrival
	next     atomic.Int64
	work     atomic.Int64 // nanoseconds of the first server, done in the measured time
	begin    time.Time
}

// queuedPerSlot is how many requests wait or run at a server for each slot.
const queuedPerSlot = 2

func (s *saturation) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := &http.Client{Transport: framing.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1000})}
	defer client.CloseIdleConnections()
	s.begin = time.Now()
	length := s.plan.WarmUp.Std() + s.plan.Measured.Std()
	calls, stop := context.WithTimeout(ctx, length)
	defer stop()
	var servers, workers sync.WaitGroup
	for i, described := range s.pool.Servers {
		server := standin.New(deploy.StandinOptions(described, s.plan.Seed+uint64(i)))
		servers.Go(func() { _ = server.Run(ctx) })
		select {
		case <-server.Ready():
		case <-calls.Done():
			return errors.Wrap(calls.Err(), "saturation")
		}
		for range queuedPerSlot * described.Slots {
			workers.Go(func() { s.worker(calls, client, server.URL()) })
		}
	}
	workers.Wait()
	cancel()
	servers.Wait()
	return nil
}

// worker sends one request after another to a server.
func (s *saturation) worker(ctx context.Context, client *http.Client, url string) {
	for ctx.Err() == nil {
		number := s.next.Add(1)
		a := s.arrivals[number%int64(len(s.arrivals))]
		if err := send(ctx, client, url, number, a); err != nil {
			continue
		}
		if time.Since(s.begin) >= s.plan.WarmUp.Std() {
			s.work.Add(int64(a.Cost * float64(time.Second)))
		}
	}
}

func send(ctx context.Context, client *http.Client, url string, number int64, a *load.Arrival) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return err
	}
	request.Header.Set(engine.HeaderRequestID, fmt.Sprintf("saturation-%d.1", number))
	reply, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if _, err := io.Copy(io.Discard, reply.Body); err != nil {
		return err
	}
	if reply.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", reply.StatusCode)
	}
	return nil
}
