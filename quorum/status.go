package quorum

// Role is the role of a replica in its current term.
type Role uint8

// Roles of a replica. A learner has RoleFollower, but is not a voter.
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

// Progress is the leader's view of the replication to another replica.
type Progress struct {
	ID ID
	// Match is the highest index known to be on the replica's disk.
	Match uint64
	// Active is true if a message from the replica arrived within the last
	// election timeout.
	Active bool
	// CaughtUp is true if the replica is active and has on disk what was
	// committed an election timeout ago, so that it can be promoted.
	CaughtUp bool
	// Snapshot is true while a snapshot is being sent to the replica.
	Snapshot bool
}
