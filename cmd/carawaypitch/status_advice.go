package main

import (
	"fmt"
	"io"

	"github.com/carawaypitch/carawaypitch/operator"
)

// adviceTable writes the rate limits and drain announcements that backend servers send with their answers. It writes
// nothing if there are none.
func adviceTable(w io.Writer, s operator.Status) {
	if len(s.Advice) == 0 {
		return
	}
	fmt.Fprintln(w, "\nASKED BY SERVER\tREQUESTS A SECOND\tLEAVES")
	for _, a := range s.Advice {
		fmt.Fprintf(w, "%s\t%s\t%v\n", a.Server, rateText(a), a.Draining)
	}
}

// rateText formats the rate limit of a backend server in requests a second, or "-" if it sets none.
func rateText(a operator.Advice) string {
	if !a.RateLimited {
		return "-"
	}
	return fmt.Sprintf("%g", a.RatePerS)
}
