package agent

import (
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// maxAgentOrigins bounds the streams whose origins an agent keeps, at some 36 bytes each.
const maxAgentOrigins = 1 << 13

// streamOrigins knows which software versions began the streams of this agent's servers, which their callers may resume at any
// entry.
//
// Entries tell control the same, and what they told is lost with all control instances and entries. The agent tells only control
// instances that may need it: those that it links to, and those that may not know all versions. While control knows that the pools
// of these servers have servers of one version each, nothing is told.
type streamOrigins struct {
	now  func() time.Time
	tell func(*wire.StreamOrigins) // to all linked control instances

	mu       sync.Mutex
	table    *origin.Table
	pools    map[string]bool // pools of the origins in the table
	versions session.Versions
	isTold   bool // the origins so far were told, since versions are not known to be one in each pool
}

func newStreamOrigins(now func() time.Time) *streamOrigins {
	return &streamOrigins{now: now, table: origin.NewTable(maxAgentOrigins), pools: make(map[string]bool)}
}

// note keeps the origin of a stream. A nil receiver keeps nothing.
func (o *streamOrigins) note(key origin.Key, from origin.Origin) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Put(o.now(), key, from)
	o.pools[from.Pool] = true
}

// needed reports whether control may need the origins: a pool has, or may have, several versions. The lock must be held.
func (o *streamOrigins) needed() bool {
	if !o.versions.Complete {
		return true
	}
	for pool := range o.pools {
		if o.versions.Mixed[pool] {
			return true
		}
	}
	return false
}

// all returns the origins for a control instance that was just linked, nil if it needs none.
func (o *streamOrigins) all() *wire.StreamOrigins {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.needed() {
		return nil
	}
	return o.table.All(o.now())
}

// versionsChanged takes what control says of versions into account. The origins are told when they become needed.
func (o *streamOrigins) versionsChanged(v session.Versions) {
	o.mu.Lock()
	o.versions = v
	var message *wire.StreamOrigins
	needed := o.needed()
	if needed && !o.isTold {
		message = o.table.All(o.now())
	}
	o.isTold = needed
	o.mu.Unlock()
	if message != nil {
		o.tell(message)
	}
}
