package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/carawaypitch/carawaypitch/operator"
)

// poisonTable writes the requests and parts of prompts during which backend servers crashed. It writes nothing if there are none.
func poisonTable(w io.Writer, s operator.Status) {
	if len(s.Poison) == 0 {
		return
	}
	fmt.Fprintln(w, "\nREQUEST OR PART\tORGANISATION\tSTANDING\tFOR\tSERVERS THAT CRASHED")
	for _, p := range s.Poison {
		remaining := (time.Duration(p.LeftMS) * time.Millisecond).Round(time.Second)
		name := p.Fingerprint
		if p.Target != "" {
			name = p.Target + "#" + p.Fingerprint
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", name, orDash(p.Organisation), p.Standing, remaining, strings.Join(p.Servers, ", "))
	}
}
