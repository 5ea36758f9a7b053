package state

import (
	"fmt"
	"testing"

	"github.com/carawaypitch/carawaypitch/wire"
)

// BenchmarkAdvice measures updates of server advice in a state that holds a record for each of 1,700 servers.
func BenchmarkAdvice(b *testing.B) {
	s := New()
	for i := range 1700 {
		applyAdvice(s, rateLimited(fmt.Sprint("server-", i), 1, 0))
	}
	for i := 0; b.Loop(); i++ {
		server := fmt.Sprint("server-", i%1700)
		applyAdvice(s, &wire.ServerAdvice{Server: server, RateLimited: true, RatePerS: float64(i), Version: s.Index()})
	}
}
