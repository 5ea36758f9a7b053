package inbound

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// reason is why a client was limited.
type reason string

const (
	reasonConnection reason = "connection" // a new connection was closed unread
	reasonIdle       reason = "idle"       // a connection between two requests was closed
	reasonHead       reason = "head"       // a connection was closed while the head of a request was read
	reasonBody       reason = "body"       // a request was refused while its body was read
	reasonRequest    reason = "request"    // a connection was closed while the rest of a request was dropped
	reasonHandshake  reason = "handshake"  // a link was closed before its peer was identified
	reasonNoRoom     reason = "no_room"    // a request or link found no room in time
)

var reasons = []reason{reasonConnection, reasonIdle, reasonHead, reasonBody, reasonRequest, reasonHandshake, reasonNoRoom}

const (
	metricLimited     = "carawaypitch_inbound_limited_total"
	metricHeld        = "carawaypitch_inbound_held_bytes"
	metricLimit       = "carawaypitch_inbound_limit_bytes"
	metricConnections = "carawaypitch_inbound_connections"
)

// logInterval is the shortest time between two log lines about limited clients.
const logInterval = time.Second

// Options say where a budget reports what it does. Zero values report nothing.
type Options struct {
	Log     log.Interface
	Metrics *metrics.Set
}

// observer counts limited clients and logs them. Its methods need the lock of the budget.
type observer struct {
	budget   *Budget
	log      log.Interface
	counters map[reason]*metrics.Counter
	logged   time.Time
	since    map[reason]int // the last line
	writing  atomic.Bool    // a line is being written
}

func newObserver(b *Budget, options Options) *observer {
	o := &observer{budget: b, log: options.Log, counters: make(map[reason]*metrics.Counter), since: make(map[reason]int)}
	if options.Metrics == nil {
		return o
	}
	for _, r := range reasons {
		o.counters[r] = options.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", metricLimited, string(r)))
	}
	options.Metrics.GetOrCreateGauge(metricHeld, func() float64 { held, _ := b.Usage(); return float64(held) })
	options.Metrics.GetOrCreateGauge(metricConnections, func() float64 { _, n := b.Usage(); return float64(n) })
	options.Metrics.GetOrCreateGauge(metricLimit, func() float64 { return float64(b.limits.Bytes) })
	return o
}

// count counts a limited client. A line at most each logInterval has the sums.
func (o *observer) count(r reason) {
	if counter := o.counters[r]; counter != nil {
		counter.Inc()
	}
	o.since[r]++
	now := time.Now()
	if o.log == nil || now.Sub(o.logged) < logInterval || !o.writing.CompareAndSwap(false, true) {
		return
	}
	o.logged = now
	fields := log.Fields{
		"held": o.budget.held.bytes, "limit": o.budget.limits.Bytes, "connections": len(o.budget.conns),
		"most_connections": o.budget.limits.Connections, "waiting": len(o.budget.waiters),
	}
	for _, r := range reasons {
		if n := o.since[r]; n > 0 {
			fields[string(r)] = n
		}
	}
	clear(o.since)
	go func() { // a log that blocks must not hold the lock of the budget
		defer o.writing.Store(false)
		o.log.WithFields(fields).Warn("clients_limited")
	}()
}
