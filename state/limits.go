package state

import "time"

// Limits bound what the state holds. All replicas of a group need the same, so they are no settings: replicas with
// different limits would refuse different commands and part for good.
type Limits struct {
	// Classes bounds the classes.
	Classes int
	// Instances bounds the agents, and the entries, each.
	Instances int
	// ServersPerAgent bounds the backend servers of one agent.
	ServersPerAgent int
	// EndedIncarnations bounds the remembered incarnations of removed agents and entries.
	EndedIncarnations int
	// Draining bounds the backend servers that operators asked to leave.
	Draining int
	// Operations bounds the records of keyed requests.
	Operations int
	// AnswerBytes bounds the body of one kept answer, in bytes.
	AnswerBytes int
	// TotalAnswerBytes bounds the bodies of all kept answers together, in bytes.
	TotalAnswerBytes int
	// Servers bounds the servers that one record names.
	Servers int
	// ExpiredKeys bounds the digests of expired keys, of 8 bytes each.
	ExpiredKeys int
	// Changes bounds the remembered changes of operators.
	Changes int
	// ChangeRetention is how long a change of an operator is remembered.
	ChangeRetention time.Duration
	// Announcements bounds the servers that announce themselves to control, EndedServers the remembered names of those
	// that have ended. A ping is late by minutes at most, and of 4,096 servers a fleet ends far fewer in that time.
	Announcements, EndedServers int
	// PoisonRecords bounds the requests under which servers have crashed, PoisonPerOrganisation those of one organisation.
	PoisonRecords, PoisonPerOrganisation int
	// History bounds the changes that a delta can be made from; older clients get everything.
	History int
}

// DefaultLimits are in force in every group.
var DefaultLimits = Limits{
	Classes:           4096,
	Instances:         8192,
	ServersPerAgent:   64,
	EndedIncarnations: 8192,
	Draining:          1024,
	Operations:        1 << 18,
	AnswerBytes:       64 << 10,
	TotalAnswerBytes:  64 << 20,
	Servers:           256,
	ExpiredKeys:       4 << 20,
	Changes:           8192,
	ChangeRetention:   48 * time.Hour,
	Announcements:     8192,
	EndedServers:      4096,
	PoisonRecords:     4096,

	PoisonPerOrganisation: 64,

	History: 1024,
}

// Bounds of single fields, in bytes.
const (
	maxName        = 128
	maxKey         = 256
	maxDigest      = 64
	maxContentType = 256
	maxMessage     = 1024
)
