package state

import (
	"fmt"
	"testing"

	"github.com/carawaypitch/carawaypitch/wire"
)

// BenchmarkAdvice applies words of servers to a state with one of each of 1,700.
func BenchmarkAdvice(b *testing.B) {
	s := New()
	for i := range 1700 {
		advise(s, limited(fmt.Sprint("server-", i), 1, 0))
	}
	for i := 0; b.Loop(); i++ {
		server := fmt.Sprint("server-", i%1700)
		advise(s, &wire.ServerAdvice{Server: server, RateLimited: true, RatePerS: float64(i), Version: s.Index()})
	}
}
