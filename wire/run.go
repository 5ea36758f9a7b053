package wire

import (
	"strconv"
	"strings"
)

// Run is one start of a backend server. A server that starts again may keep its id, and holds and knows nothing of before.
type Run struct {
	ID string
	// StartedMS is when it started, in Unix milliseconds by its own machine's clock, 0 if it doesn't say.
	StartedMS uint64
}

// runSeparator stands between the id and the time in a run's name.
const runSeparator = "@"

// String is the name by which the product knows the run: that of its server wherever places, attempts, proofs, estimates and
// orders are kept by a server's name. What is known of an earlier run is never taken for the later one's.
func (r Run) String() string {
	if r.StartedMS == 0 && !strings.Contains(r.ID, runSeparator) {
		return r.ID
	}
	return r.ID + runSeparator + strconv.FormatUint(r.StartedMS, 10)
}

// ParseRun reads a run's name. One without a time is an id alone.
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

// Run is the run that an announcement is of.
func (x *Announcement) Run() Run { return Run{x.GetServer(), x.GetStartedUnixMs()} }

// Run is the run that is to end.
func (x *EndServer) Run() Run { return Run{x.GetServer(), x.GetStartedUnixMs()} }

// Run is the run that contends.
func (x *Contender) Run() Run { return Run{x.GetServer(), x.GetStartedUnixMs()} }
