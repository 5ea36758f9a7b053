package state

import (
	"bytes"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
	"google.golang.org/protobuf/proto"
)

// changeSet remembers the changes of operators and their answers, oldest first.
type changeSet struct {
	byID  map[changeID]*wire.ChangeRecord
	order []*wire.ChangeRecord
}

type changeID struct {
	operator, id string
}

func newChangeSet() changeSet {
	return changeSet{byID: make(map[changeID]*wire.ChangeRecord)}
}

func (c *changeSet) add(r *wire.ChangeRecord) {
	c.byID[changeID{r.GetOperator(), r.GetChangeId()}] = r
	c.order = append(c.order, r)
}

// evict forgets the oldest until at most limit remain and none is from before the given time.
func (c *changeSet) evict(limit int, before uint64) {
	n := 0
	for n < len(c.order) && (len(c.order)-n > limit || c.order[n].GetUnixMs() < before) {
		delete(c.byID, changeID{c.order[n].GetOperator(), c.order[n].GetChangeId()})
		c.order[n] = nil
		n++
	}
	c.order = c.order[n:]
}

// change runs an operator's change unless its id is known; then it gives the first answer again.
//
// An operator who lost the answer sends the change again. Without the memory the resend would meet the version that
// its own first sending made, and the operator would be told that somebody else won. With only the id compared,
// another change under a reused id would be answered as done though it never was.
func (s *State) change(c *wire.OperatorChange, run func() *wire.CommandResult) *wire.CommandResult {
	if c.GetChangeId() == "" {
		return run()
	}
	if len(c.GetChangeId()) > maxKey || len(c.GetOperator()) > maxName || len(c.GetDigest()) > maxDigest {
		return refuse(result.BadMessage, "change id, operator or digest is too long")
	}
	if known := s.changes.byID[changeID{c.GetOperator(), c.GetChangeId()}]; known != nil {
		if !bytes.Equal(known.GetDigest(), c.GetDigest()) {
			return refuse(result.ChangeIDReused, "")
		}
		return proto.CloneOf(known.GetResult())
	}
	res := run()
	if res.Version == 0 {
		res.Version = s.configVersion
	}
	s.changes.add(&wire.ChangeRecord{
		Operator: c.GetOperator(),
		ChangeId: c.GetChangeId(),
		Digest:   c.GetDigest(),
		Result:   proto.CloneOf(res),
		UnixMs:   s.unixMS,
	})
	s.changes.evict(s.limits.Changes, s.changeHorizon())
	return res
}

func (s *State) changeHorizon() uint64 {
	age := uint64(s.limits.ChangeRetention.Milliseconds())
	if s.unixMS < age {
		return 0
	}
	return s.unixMS - age
}
