package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/carawaypitch/carawaypitch/operator"
)

// poisonTable shows the requests under which backend servers crashed, if there are any.
func poisonTable(w io.Writer, s operator.Status) {
	if len(s.Poison) == 0 {
		return
	}
	fmt.Fprintln(w, "\nREQUEST\tORGANISATION\tSTANDING\tFOR\tSERVERS THAT CRASHED")
	for _, p := range s.Poison {
		remaining := (time.Duration(p.LeftMS) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", p.Fingerprint, orDash(p.Organisation), p.Standing, remaining, strings.Join(p.Servers, ", "))
	}
}
