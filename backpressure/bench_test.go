package backpressure

import (
	"net/http"
	"testing"
	"time"
)

// BenchmarkAnswerWithoutWords is what each answer costs whose server asks nothing.
func BenchmarkAnswerWithoutWords(b *testing.B) {
	header := http.Header{"Content-Type": {"text/event-stream"}, "X-Request-Id": {"r.1"}}
	b.ReportAllocs()
	for b.Loop() {
		testNames.Read(http.StatusOK, header, start)
	}
}

// BenchmarkLimitedSend is what a send costs at a server with a rate limit.
func BenchmarkLimitedSend(b *testing.B) {
	var l Limiter
	l.Observe(named(start, 1000))
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(2 * time.Millisecond)
		l.Available(now)
		l.Take(now)
		l.RecordSend(now)
	}
}
