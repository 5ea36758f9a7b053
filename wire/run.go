package wire

import (
	"strconv"
	"strings"
)

// Run identifies one start of a backend server. A server that restarts may keep its ID, but loses all of its state and
// work.
type Run struct {
	// ID is the server's ID as announced. It is not unique across restarts.
	ID string
	// StartedMS is the start time in Unix milliseconds by the clock of the server's machine; 0 if it is not announced.
	StartedMS uint64
}

// runSeparator separates the ID from the start time in the name of a run.
const runSeparator = "@"

// String returns the name of the run, which is unique to it and which [ParseRun] parses. It is used as the server's name
// wherever slots, attempts, proofs, estimates and orders are stored by server name, so that data of an earlier run is
// never attributed to a later one. Without a start time the name is the ID alone, unless the ID contains the separator.
func (r Run) String() string {
	if r.StartedMS == 0 && !strings.Contains(r.ID, runSeparator) {
		return r.ID
	}
	return r.ID + runSeparator + strconv.FormatUint(r.StartedMS, 10)
}

// ParseRun parses the name of a run. It returns a name without a valid start time as the ID, with a StartedMS of 0.
func ParseRun(name string) Run {
	at := strings.LastIndex(name, runSeparator)
	if at < 0 {
		return Run{ID: name}
	}
	started, err := strconv.ParseUint(name[at+len(runSeparator):], 10, 64)
	if err != nil {
		return Run{ID: name}
	}
	return Run{ID: name[:at], StartedMS: started}
}

// Run returns the run that the announcement describes.
func (x *Announcement) Run() Run { return Run{x.GetServer(), x.GetStartedUnixMs()} }

// Run returns the run to be ended. Its StartedMS is 0 if the message specifies no start time.
func (x *EndServer) Run() Run { return Run{x.GetServer(), x.GetStartedUnixMs()} }

// Run returns the run that announces itself although a later run of the same server is recorded.
func (x *Contender) Run() Run { return Run{x.GetServer(), x.GetStartedUnixMs()} }
