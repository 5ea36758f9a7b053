package main

import (
	"fmt"
	"io"

	"github.com/carawaypitch/carawaypitch/operator"
)

// adviceTable shows what backend servers ask of their senders, if any does.
func adviceTable(w io.Writer, s operator.Status) {
	if len(s.Advice) == 0 {
		return
	}
	fmt.Fprintln(w, "\nASKED BY SERVER\tREQUESTS A SECOND\tLEAVES")
	for _, a := range s.Advice {
		fmt.Fprintf(w, "%s\t%s\t%v\n", a.Server, rateText(a), a.Draining)
	}
}

func rateText(a operator.Advice) string {
	if !a.RateLimited {
		return "-"
	}
	return fmt.Sprintf("%g", a.RatePerS)
}
