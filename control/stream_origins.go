package control

import (
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/wire"
)

// maxStreamOrigins bounds the streams whose origins a control instance keeps, at some 24 bytes each.
const maxStreamOrigins = 1 << 19

// streamOrigins holds the origins of streams that entries and agents have told this instance. It is not replicated: each entry
// tells all instances that it is linked to, and agents tell instances that may have lost what entries told.
type streamOrigins struct {
	mu    sync.Mutex
	table *origin.Table
}

func newStreamOrigins() *streamOrigins {
	return &streamOrigins{table: origin.NewTable(maxStreamOrigins)}
}

// recordOrigins records what an entry or an agent tells.
func (s *session) recordOrigins(m *wire.StreamOrigins) {
	o := s.control.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(time.Now(), m)
}

// answerOriginQuery answers an entry's question for the origin of a stream.
func (s *session) answerOriginQuery(q *wire.StreamOriginQuery) {
	reply := &wire.StreamOriginReply{Id: q.GetId()}
	o := s.control.origins
	o.mu.Lock()
	found, age, known := o.table.Get(time.Now(), origin.Key(q.GetStream()))
	o.mu.Unlock()
	if known {
		reply.Known, reply.Pool, reply.Version, reply.AgeMs = true, found.Pool, found.Version, uint32(age.Milliseconds())
	}
	s.control.counters.originQuery(known).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_StreamOrigin{StreamOrigin: reply}})
}

// versions returns what this instance knows of the software versions of pools.
func (s *session) versions() *wire.PoolVersions {
	return s.control.machine.versions(time.Now())
}
