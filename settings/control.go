package settings

import (
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/result"
)

// Control is the settings of a control instance, which holds a replica of the control state.
type Control struct {
	// Role is "control".
	Role Role `json:"role" settings:"required"`
	// Instance is this process's name, unique in the deployment.
	Instance string `json:"instance" settings:"required,name"`
	// AvailabilityZone is the zone this process runs in.
	AvailabilityZone string `json:"availability_zone" settings:"required,name"`
	// Listen says where the process listens.
	Listen ControlListen `json:"listen" settings:"required"`
	// Advertise is the address, IP:port, that other processes dial. Default: listen.links.
	Advertise string `json:"advertise" settings:"dial"`
	// Replicas are the initial members of the quorum, this instance among them.
	Replicas []Replica `json:"replicas" settings:"required"`
	// Voters is how many members of the quorum should vote. Further ones are learners, and take the place of a voter that
	// stays away. Default: the number of replicas.
	Voters int `json:"voters"`
	// Bootstrap allows this instance to start a new quorum of Replicas on an empty data folder. With false an
	// empty data folder waits as a learner to be added.
	Bootstrap bool `json:"bootstrap"`
	// DataDir is the data folder. Nothing else may use it. Required unless ephemeral.
	DataDir string `json:"data_dir" settings:"path"`
	// Ephemeral says that this instance has no disk. It uses no data folder, serves operators and processes as a learner,
	// and never votes: what it acknowledged would be gone after its next restart.
	Ephemeral bool `json:"ephemeral"`
	// Operators are the people and machines that may change classes.
	Operators []OperatorAccount `json:"operators" settings:"required"`
	// Organisations are the members of the consortium.
	Organisations []Organisation `json:"organisations"`
	// OrganisationsFile is a file {"organisations": [...]} in place of Organisations. Load reads it into them and
	// leaves this empty.
	OrganisationsFile string `json:"organisations_file" settings:"path"`
	// InitialClasses are the classes of a new quorum. Later changes come from operators only.
	InitialClasses []Class `json:"initial_classes"`
	// TLS is for the links to other processes. Without it links are plain TCP.
	TLS TLS `json:"tls"`
	// OperatorTLS is for operators. Without it operators speak plain HTTP.
	OperatorTLS CallerTLS `json:"operator_tls"`
	// Log says what is logged.
	Log Log `json:"log"`
	// Timing holds the process's intervals and bounds.
	Timing ControlTiming `json:"timing"`
}

// ControlListen says where a control instance listens, as IP:port; port 0 takes any free one.
type ControlListen struct {
	// Operators is where operators and the platform connect, by HTTP.
	Operators string `json:"operators" settings:"required,listen"`
	// Links is where other processes connect.
	Links string `json:"links" settings:"required,listen"`
}

// Replica is an initial member of the quorum.
type Replica struct {
	// Instance is the member's name.
	Instance string `json:"instance" settings:"required,name"`
	// Address is the member's link address, IP:port.
	Address string `json:"address" settings:"required,dial"`
}

// OperatorAccount is somebody who may change classes.
type OperatorAccount struct {
	// Name appears in logs beside each change.
	Name string `json:"name" settings:"required,name"`
	// KeyDigests are the digests of the operator's keys, see NewDigest.
	KeyDigests []string `json:"key_digests" settings:"required,digest"`
}

// ControlTiming holds a control instance's intervals and bounds.
type ControlTiming struct {
	// Heartbeat is the interval between the leader's messages. Default 100ms.
	Heartbeat time.Duration `json:"heartbeat"`
	// Election is the shortest election timeout; each is random between it and twice it. Default 1s.
	Election time.Duration `json:"election"`
	// FirstElection is the same for the first election after a start, which a replica may try soon: it can't disturb a
	// living leader. Default: election.
	FirstElection time.Duration `json:"first_election"`
	// ServerExpire is the silence after which a backend server is removed from the directory. Default 10s.
	ServerExpire time.Duration `json:"server_expire"`
	// KeyRecords is how long the records of Idempotency-Keys are kept. Default 24h.
	KeyRecords time.Duration `json:"key_records"`
	// Drain is how long calls in flight may take after SIGTERM. Default 30s.
	Drain time.Duration `json:"drain"`
}

func (*Control) expectedRole() Role { return RoleControl }

// DefaultControl returns the settings that hold for keys a file leaves out.
func DefaultControl() Control {
	return Control{
		Role: RoleControl,
		Log:  Log{Level: log.InfoLevel},
		Timing: ControlTiming{
			Heartbeat:    100 * time.Millisecond,
			Election:     time.Second,
			ServerExpire: 10 * time.Second,
			KeyRecords:   24 * time.Hour,
			Drain:        defaultDrain,
		},
	}
}

func (s *Control) setDefaults() { *s = DefaultControl() }

func (s *Control) derive() {
	if s.Advertise == "" {
		s.Advertise = s.Listen.Links
	}
	if s.Voters == 0 {
		s.Voters = len(s.Replicas)
	}
	if s.Timing.FirstElection == 0 {
		s.Timing.FirstElection = s.Timing.Election
	}
}

func (s *Control) validate(c *checker) {
	c.portClash(listener{"listen.operators", s.Listen.Operators}, listener{"listen.links", s.Listen.Links})
	c.advertised(s.Advertise, s.Listen.Links)
	s.validateReplicas(c)
	if s.DataDir == "" && !s.Ephemeral {
		c.add(result.SettingsMissingKey, "data_dir", "the key \"data_dir\" is missing, and the instance isn't ephemeral")
	}
	c.operators(s.Operators)
	c.organisations(&s.Organisations, &s.OrganisationsFile)
	c.classes(s.InitialClasses)
	c.tlsFiles("tls", s.TLS)
	c.tlsFiles("operator_tls", s.OperatorTLS)
	if s.Voters < 0 {
		c.add(result.SettingsOutOfRange, "voters", "want at least 1, got %d", s.Voters)
	}
	positive(c, "timing.heartbeat", s.Timing.Heartbeat)
	positive(c, "timing.first_election", s.Timing.FirstElection)
	positive(c, "timing.server_expire", s.Timing.ServerExpire)
	positive(c, "timing.key_records", s.Timing.KeyRecords)
	positive(c, "timing.drain", s.Timing.Drain)
	c.silence("timing.election", s.Timing.Election, s.Timing.Heartbeat)
}

func (s *Control) validateReplicas(c *checker) {
	var names, addresses []string
	for _, replica := range s.Replicas {
		names = append(names, replica.Instance)
		addresses = append(addresses, replica.Address)
	}
	c.unique("instance", names, func(i int) string { return fmt.Sprintf("replicas[%d].instance", i) })
	c.unique("address", addresses, func(i int) string { return fmt.Sprintf("replicas[%d].address", i) })
	at := slices.Index(names, s.Instance)
	switch {
	case len(names) == 0 || s.Instance == "":
	case at < 0 && s.Bootstrap:
		c.add(result.SettingsMissingKey, "replicas", "with bootstrap, want this instance, %q, among them", s.Instance)
	case at >= 0 && addresses[at] != s.Advertise && dialable(s.Advertise):
		c.add(result.SettingsOutOfRange, fmt.Sprintf("replicas[%d].address", at),
			"want this instance's advertised address %s", s.Advertise)
	}
}

// operators checks that names and digests differ.
func (c *checker) operators(operators []OperatorAccount) {
	var names, digests, paths []string
	for i, operator := range operators {
		names = append(names, operator.Name)
		for j, digest := range operator.KeyDigests {
			digests = append(digests, digest)
			paths = append(paths, fmt.Sprintf("operators[%d].key_digests[%d]", i, j))
		}
	}
	c.unique("operator", names, func(i int) string { return fmt.Sprintf("operators[%d].name", i) })
	c.unique("digest", digests, func(i int) string { return paths[i] })
}
