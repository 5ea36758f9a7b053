package state

import (
	"bytes"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
	"google.golang.org/protobuf/proto"
)

// changeSet holds the results of recent operator changes by change ID, oldest first.
type changeSet struct {
	byID  map[changeID]*wire.ChangeRecord
	order []*wire.ChangeRecord
}

// changeID identifies a change; each operator has its own namespace of IDs.
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

// evict removes the oldest records until at most limit remain and none is older than the cutoff, in milliseconds
// since 1970.
func (c *changeSet) evict(limit int, cutoff uint64) {
	n := 0
	for n < len(c.order) && (len(c.order)-n > limit || c.order[n].GetUnixMs() < cutoff) {
		delete(c.byID, changeID{c.order[n].GetOperator(), c.order[n].GetChangeId()})
		c.order[n] = nil
		n++
	}
	c.order = c.order[n:]
}

// applyChange applies an operator's change once. If the change ID is known it returns the stored result instead.
//
// An operator who lost the answer sends the change again. Without the stored result, the resent change would conflict
// with the version that its first copy created, and the operator would be told that another change had won. The
// digest is compared too: otherwise a different change under a reused ID would be answered as done although it was
// never applied.
func (s *State) applyChange(c *wire.OperatorChange, apply func() *wire.CommandResult) *wire.CommandResult {
	if c.GetChangeId() == "" {
		return apply()
	}
	if len(c.GetChangeId()) > maxKey || len(c.GetOperator()) > maxName || len(c.GetDigest()) > maxDigest {
		return refuse(result.BadMessage, "change id, operator or digest is too long")
	}
	if stored := s.changes.byID[changeID{c.GetOperator(), c.GetChangeId()}]; stored != nil {
		if !bytes.Equal(stored.GetDigest(), c.GetDigest()) {
			return refuse(result.ChangeIDReused, "")
		}
		return proto.CloneOf(stored.GetResult())
	}
	res := apply()
	if res.Version == 0 {
		res.Version = s.configVersion
	}
	s.changes.add(&wire.ChangeRecord{
		Operator: c.GetOperator(),
		ChangeId: c.GetChangeId(),
		Digest:   c.GetDigest(),
		Result:   proto.CloneOf(res),
		UnixMs:   s.leaderUnixMS,
	})
	s.changes.evict(s.limits.Changes, s.changeEvictionCutoff())
	return res
}

// changeEvictionCutoff returns the time, in milliseconds since 1970, before which records of changes are evicted, 0
// for none.
func (s *State) changeEvictionCutoff() uint64 {
	retention := uint64(s.limits.ChangeRetention.Milliseconds())
	if s.leaderUnixMS < retention {
		return 0
	}
	return s.leaderUnixMS - retention
}
