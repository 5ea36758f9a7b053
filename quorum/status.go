package quorum

// Role is what a replica does in its term.
type Role uint8

// Roles of a replica. A learner is a RoleFollower that is no voter.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "pre_candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	default:
		return "unknown"
	}
}

// Progress is what a leader knows of another replica.
type Progress struct {
	ID ID
	// Match is the highest index known to be on the replica's disk.
	Match uint64
	// Active is true if the replica was heard within an election timeout.
	Active bool
	// Snapshot is true while the replica needs a snapshot.
	Snapshot bool
}
