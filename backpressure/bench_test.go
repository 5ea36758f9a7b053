package backpressure

import (
	"net/http"
	"testing"
	"time"
)

// BenchmarkResponseWithoutAdvice measures the cost per response of a server that sends no advice.
func BenchmarkResponseWithoutAdvice(b *testing.B) {
	header := http.Header{"Content-Type": {"text/event-stream"}, "X-Request-Id": {"r.1"}}
	b.ReportAllocs()
	for b.Loop() {
		testHeaders.Read(http.StatusOK, header, start)
	}
}

// BenchmarkLimitedSend measures the cost of a send to a server with a rate limit.
func BenchmarkLimitedSend(b *testing.B) {
	var l Limiter
	l.Observe(withRate(start, 1000))
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(2 * time.Millisecond)
		l.Available(now)
		l.Take(now)
		l.RecordSend(now)
	}
}
