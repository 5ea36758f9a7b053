package quorum

import (
	"slices"
	"strings"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a replica that receives the log without a vote.
	AddLearner ChangeKind = iota
	// Promote makes a learner a voter.
	Promote
	// Remove removes a learner or a voter.
	Remove
)

// Change is a membership change of one replica.
type Change struct {
	Kind ChangeKind
	ID   ID
	// Address is stored in the membership for the transport; used only by
	// AddLearner.
	Address string
}

// configuration is a membership and the index of the entry that holds it.
type configuration struct {
	index      uint64
	membership *quorumpb.Membership
}

// membershipHistory holds the memberships of the log, oldest first. The newest
// is in force even if it is not committed (thesis 4.1). The earlier ones are
// needed when the log is truncated and for snapshots at an earlier index.
type membershipHistory []configuration

func (h membershipHistory) current() configuration {
	if len(h) == 0 {
		return configuration{}
	}
	return h[len(h)-1]
}

// at returns the membership in force at index, or nil if none is known.
func (h membershipHistory) at(index uint64) *quorumpb.Membership {
	var found *quorumpb.Membership
	for _, c := range h {
		if c.index <= index {
			found = c.membership
		}
	}
	return found
}

// addFromEntries adds the memberships that entries contain. It fails if one
// cannot be decoded.
func (h *membershipHistory) addFromEntries(entries []*quorumpb.Entry) error {
	for _, e := range entries {
		if e.GetType() != quorumpb.EntryType_ENTRY_TYPE_MEMBERSHIP {
			continue
		}
		m := &quorumpb.Membership{}
		if err := proto.Unmarshal(e.GetData(), m); err != nil {
			return errors.Wrapf(err, "quorum: decode membership in entry %d", e.GetIndex())
		}
		*h = append(*h, configuration{index: e.GetIndex(), membership: m})
	}
	return nil
}

// truncate removes the memberships of entries at or after index.
func (h *membershipHistory) truncate(index uint64) {
	for len(*h) > 0 && h.current().index >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// compact removes the memberships that were replaced at or before index.
func (h *membershipHistory) compact(index uint64) {
	for len(*h) > 1 && (*h)[1].index <= index {
		*h = (*h)[1:]
	}
}

// contains reports whether any retained membership lists the replica.
func (h membershipHistory) contains(id ID) bool {
	return slices.ContainsFunc(h, func(c configuration) bool { return findMember(c.membership, id) != nil })
}

// findMember returns the member with the given ID, or nil if there is none.
func findMember(m *quorumpb.Membership, id ID) *quorumpb.Member {
	for _, member := range m.GetMembers() {
		if member.GetId() == string(id) {
			return member
		}
	}
	return nil
}

func isVoter(m *quorumpb.Membership, id ID) bool {
	return findMember(m, id).GetRole() == quorumpb.Role_ROLE_VOTER
}

// voters returns the IDs of the voters, sorted.
func voters(m *quorumpb.Membership) []ID {
	var ids []ID
	for _, member := range m.GetMembers() {
		if member.GetRole() == quorumpb.Role_ROLE_VOTER {
			ids = append(ids, ID(member.GetId()))
		}
	}
	return ids
}

// hasQuorum reports whether more than half of the voters satisfy ok.
func hasQuorum(m *quorumpb.Membership, ok func(ID) bool) bool {
	ids := voters(m)
	count := 0
	for _, id := range ids {
		if ok(id) {
			count++
		}
	}
	return count > len(ids)/2
}

// applyChange returns the membership after c. If c is not valid, next is nil
// and detail says why.
func applyChange(m *quorumpb.Membership, c Change) (next *quorumpb.Membership, detail string) {
	next = proto.Clone(m).(*quorumpb.Membership)
	member := findMember(next, c.ID)
	switch c.Kind {
	case AddLearner:
		if member != nil {
			return nil, "already a member"
		}
		if c.ID.Instance() == "" || c.ID.Disk() == "" || !strings.Contains(string(c.ID), "/") {
			return nil, "not an instance and a disk identity"
		}
		next.Members = append(next.Members, &quorumpb.Member{Id: string(c.ID), Address: c.Address})
		sortMembers(next)
	case Promote:
		if member == nil || member.GetRole() == quorumpb.Role_ROLE_VOTER {
			return nil, "not a learner"
		}
		if other := otherVoterOnInstance(next, c.ID); other != NoID {
			return nil, "remove the instance's earlier replica first: " + string(other)
		}
		member.Role = quorumpb.Role_ROLE_VOTER
	case Remove:
		if member == nil {
			return nil, "not a member"
		}
		next.Members = slices.DeleteFunc(next.Members, func(x *quorumpb.Member) bool { return x == member })
		if len(voters(next)) == 0 {
			return nil, "the last voter"
		}
	default:
		return nil, "unknown kind of change"
	}
	return next, ""
}

// otherVoterOnInstance returns the voter other than id on id's instance, or
// NoID if there is none. If both were voters, the loss of one instance would
// remove two votes.
func otherVoterOnInstance(m *quorumpb.Membership, id ID) ID {
	for _, v := range voters(m) {
		if v != id && v.Instance() == id.Instance() {
			return v
		}
	}
	return NoID
}

func sortMembers(m *quorumpb.Membership) {
	slices.SortFunc(m.Members, func(a, b *quorumpb.Member) int { return strings.Compare(a.GetId(), b.GetId()) })
}

// FirstEntry returns the log entry that bootstraps a group with the given
// members. All voters must start with the same entry. It fails if the group has
// no name or no voter, or if a member is listed twice.
func FirstEntry(group string, members []*quorumpb.Member) (*quorumpb.Entry, error) {
	m := &quorumpb.Membership{Group: group}
	for _, member := range members {
		if findMember(m, ID(member.GetId())) != nil {
			return nil, errors.Errorf("quorum: member %s is listed twice", member.GetId())
		}
		m.Members = append(m.Members, proto.Clone(member).(*quorumpb.Member))
	}
	if group == "" || len(voters(m)) == 0 {
		return nil, errors.New("quorum: a group requires a name and at least one voter")
	}
	sortMembers(m)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "quorum: encode membership")
	}
	return &quorumpb.Entry{
		Index: 1,
		Term:  1,
		Type:  quorumpb.EntryType_ENTRY_TYPE_MEMBERSHIP,
		Data:  data,
	}, nil
}
