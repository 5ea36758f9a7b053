package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/network"
)

// maxInFlight bounds the calls under way. A generator that reaches it is no open loop any more, and its run invalid.
const maxInFlight = 20_000

// maxTries bounds the entries that one call is sent to.
const maxTries = 4

// Driver sends arrivals to entries. Make it with NewDriver.
type Driver struct {
	callers func() []string
	keys    []string // of the organisations
	check   bool
	client  *http.Client

	begin    time.Time
	inFlight atomic.Int64
	done     atomic.Int64
	dropped  atomic.Int64
	measured atomic.Int64 // measured arrivals without an end
}

// NewDriver makes a driver. Callers gives the URLs of the entries in the plan's order, empty for one that the
// platform's balancer leaves out; keys are the organisations', in the plan's order. With check it compares answers with
// those of the stand-ins.
func NewDriver(n network.Network, callers func() []string, keys []string, check bool) *Driver {
	transport := framing.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: maxInFlight,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		WriteBufferSize:     32 << 10,
	})
	return &Driver{callers: callers, keys: keys, check: check, client: &http.Client{Transport: transport}}
}

// Status is how far a run is.
type Status struct {
	InFlight, Done int64
	// Open counts the measured requests without an end, those to come included.
	Open int64
}

// Status tells how far the run is.
func (d *Driver) Status() Status {
	return Status{InFlight: d.inFlight.Load(), Done: d.done.Load(), Open: d.measured.Load()}
}

// Dropped counts the arrivals that the generator itself could not send.
func (d *Driver) Dropped() int64 { return d.dropped.Load() }

// Expect counts the measured arrivals of the run to come.
func (d *Driver) Expect(arrivals []*Arrival) {
	for _, a := range arrivals {
		if a.Measured {
			d.measured.Add(1)
		}
	}
}

// Run sends each arrival at its time after begin and waits for the answers, until ctx ends. Calls that have no answer
// then are unanswered. It returns one outcome for each arrival, in their order.
func (d *Driver) Run(ctx context.Context, begin time.Time, arrivals []*Arrival) []*Outcome {
	d.begin = begin
	outcomes := make([]*Outcome, len(arrivals))
	var calls sync.WaitGroup
	for i, a := range arrivals {
		o := &Outcome{Arrival: a, Fate: Unanswered}
		outcomes[i] = o
		if !sleepUntil(ctx, begin.Add(a.At)) {
			continue
		}
		if d.inFlight.Load() >= maxInFlight {
			d.ended(a)
			d.dropped.Add(1)
			continue
		}
		d.inFlight.Add(1)
		calls.Go(func() { d.send(ctx, o) })
	}
	calls.Wait()
	d.client.CloseIdleConnections()
	return outcomes
}

// sleepUntil returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// since is the time after an arrival's own.
func (d *Driver) since(a *Arrival) time.Duration {
	return time.Since(d.begin.Add(a.At))
}

func (d *Driver) send(ctx context.Context, o *Outcome) {
	defer func() {
		o.End = d.since(o.Arrival)
		d.inFlight.Add(-1)
		d.done.Add(1)
		d.ended(o.Arrival)
	}()
	o.Lateness = d.since(o.Arrival)
	for try := range maxTries {
		o.Resent = try
		if !d.try(ctx, o, d.route(o.Arrival.Entry, try)) {
			return
		}
	}
}

func (d *Driver) ended(a *Arrival) {
	if a.Measured {
		d.measured.Add(-1)
	}
}

// route chooses the entry as the platform's balancer does: the caller's own, and the next ones if that is out or was
// tried.
func (d *Driver) route(entry, try int) string {
	callers := d.callers()
	first := ""
	for i := range callers {
		url := callers[(entry+i)%len(callers)]
		if url == "" {
			continue
		}
		if first == "" {
			first = url
		}
		if try == 0 {
			return url
		}
		try--
	}
	return first
}

// try sends a call to one entry. It returns true if the call may go to another one: the platform's balancer does so
// when no connection can be opened, and a caller with an idempotency key when the connection was lost.
func (d *Driver) try(ctx context.Context, o *Outcome, entry string) (again bool) {
	request, err := d.request(ctx, o, entry)
	if err != nil {
		o.Fate, o.Detail = Lost, err.Error()
		return false
	}
	reply, err := d.client.Do(request)
	if ctx.Err() != nil {
		if reply != nil {
			_ = reply.Body.Close()
		}
		o.Fate = Unanswered
		return false
	}
	if err != nil {
		o.Fate, o.Detail = Lost, err.Error()
		return isDial(err) || o.Arrival.Key != ""
	}
	defer func() {
		_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, 1<<10))
		_ = reply.Body.Close()
	}()
	judge(o, reply, d.check)
	if ctx.Err() != nil && o.Fate != Whole && o.Fate != Wrong {
		o.Fate = Unanswered
	}
	return o.Fate == Cut && o.Arrival.Key != ""
}

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (d *Driver) request(ctx context.Context, o *Outcome, entry string) (*http.Request, error) {
	a := o.Arrival
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { o.FirstByte = d.since(a) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := strings.TrimSuffix(entry, "/") + a.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+d.keys[a.Organisation])
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Carawaypitch-Class", a.Class.Name)
	if a.Key != "" {
		request.Header.Set("Idempotency-Key", a.Key)
	}
	return request, nil
}
