package process

import (
	"net/http"

	"github.com/carawaypitch/carawaypitch/network"
)

// BreakOff ends an answer that is not whole so that it doesn't look complete: its connection is closed before the end of
// its length or its last chunk. With endsWithConnection set the answer has neither, and its connection is reset. BreakOff
// ends the handler by a panic with http.ErrAbortHandler unless the connection was reset.
func BreakOff(control *http.ResponseController, endsWithConnection bool) {
	if endsWithConnection {
		if conn, _, err := control.Hijack(); err == nil {
			network.Reset(conn)
			return
		}
	}
	panic(http.ErrAbortHandler)
}
