package state

import "time"

// Limits bound the contents of the state. All replicas of a group need the same limits, so they are not settings:
// replicas with different limits would refuse different commands, and their states would diverge permanently.
type Limits struct {
	// Classes is the maximum number of classes.
	Classes int
	// Instances is the maximum number of agents, and separately that of entries.
	Instances int
	// ServersPerAgent is the maximum number of backend servers of one agent.
	ServersPerAgent int
	// EndedIncarnations is the maximum number of stored incarnations of removed agents and entries.
	EndedIncarnations int
	// Draining is the maximum number of draining backend servers.
	Draining int
	// Operations is the maximum number of records of keyed requests.
	Operations int
	// AnswerBytes is the maximum size of the body of one stored answer, in bytes.
	AnswerBytes int
	// TotalAnswerBytes is the maximum size of the bodies of all stored answers together, in bytes.
	TotalAnswerBytes int
	// Servers is the maximum number of servers that one record lists, and of requests that one crash report lists.
	Servers int
	// ExpiredKeys is the maximum number of digests of expired keys, of 8 bytes each.
	ExpiredKeys int
	// Changes is the maximum number of stored results of operator changes.
	Changes int
	// ChangeRetention is how long the result of an operator change is stored.
	ChangeRetention time.Duration
	// Announcements is the maximum number of servers that announce themselves to control, and of advice records.
	// EndedServers is the maximum number of stored names of ended runs, and of replaced runs. A heartbeat is delayed
	// by minutes at most, and a fleet ends far fewer than 4,096 servers in that time.
	Announcements, EndedServers int
	// PoisonRecords is the maximum number of records of requests that crashed servers, PoisonPerOrganisation that of
	// one organisation.
	PoisonRecords, PoisonPerOrganisation int
	// PoisonParts and PoisonPartsPerOrganisation are the same for parts of prompts, which count for the organisation of
	// their first crash.
	PoisonParts, PoisonPartsPerOrganisation int
	// RemovedRollouts is the maximum number of records of roll-outs whose pools are not in the desired state.
	// RolloutCounts is the maximum number of counts in the evidence of one roll-out.
	RemovedRollouts, RolloutCounts int
	// History is the maximum number of changes from which deltas are made; clients with an older version get
	// everything.
	History int
}

// DefaultLimits are the limits of every group.
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

	PoisonParts:                8192,
	PoisonPartsPerOrganisation: 2048,

	RemovedRollouts: 256,
	RolloutCounts:   512,

	History: 1024,
}

// Maximum lengths of single fields, in bytes.
const (
	maxName        = 128
	maxKey         = 256
	maxDigest      = 64
	maxContentType = 256
	maxMessage     = 1024
)
