package settings

import (
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/result"
)

// Control holds the settings of a control instance, which stores a replica of the control state.
type Control struct {
	// Role is "control".
	Role Role `json:"role" settings:"required"`
	// Instance is the name of this process, unique in the deployment.
	Instance string `json:"instance" settings:"required,name"`
	// AvailabilityZone is the availability zone that this process runs in.
	AvailabilityZone string `json:"availability_zone" settings:"required,name"`
	// Listen holds the addresses that the process listens on.
	Listen ControlListen `json:"listen" settings:"required"`
	// Advertise is the address, IP:port, that other processes connect to. Default: Listen.Links.
	Advertise string `json:"advertise" settings:"dial"`
	// Replicas holds the initial members of the quorum, including this instance.
	Replicas []Replica `json:"replicas" settings:"required"`
	// Voters is the intended number of voting members of the quorum. Further members are learners, one of which
	// replaces a voter that stays unreachable. Default: the number of Replicas.
	Voters int `json:"voters"`
	// Bootstrap allows this instance to form a new quorum of Replicas if its data directory is empty. If it is false,
	// an instance with an empty data directory waits as a learner until it is added to a quorum.
	Bootstrap bool `json:"bootstrap"`
	// DataDir is the data directory, which must not be shared with other processes. Required unless Ephemeral is set.
	DataDir string `json:"data_dir" settings:"path"`
	// Ephemeral marks an instance without persistent storage. It uses no data directory, serves operators and other
	// processes as a learner, and never votes, since entries that it acknowledged would be lost at a restart.
	Ephemeral bool `json:"ephemeral"`
	// Operators holds the people and programs that may change classes.
	Operators []OperatorAccount `json:"operators" settings:"required"`
	// Organisations holds the organisations whose callers may send requests.
	Organisations []Organisation `json:"organisations"`
	// OrganisationsFile is the path of a file {"organisations": [...]} that replaces Organisations. Load stores its
	// content in Organisations and clears OrganisationsFile.
	OrganisationsFile string `json:"organisations_file" settings:"path"`
	// InitialClasses holds the classes of a new quorum. After that, only operators change classes.
	InitialClasses []Class `json:"initial_classes"`
	// TLS secures the connections to other processes. If it is empty, they are plain TCP.
	TLS TLS `json:"tls"`
	// OperatorTLS secures the listener for operators. If it is empty, operators use plain HTTP.
	OperatorTLS CallerTLS `json:"operator_tls"`
	// Log configures logging.
	Log Log `json:"log"`
	// Limits holds the resource limits of the process.
	Limits ControlLimits `json:"limits"`
	// Inbound bounds what clients make the process hold.
	Inbound Inbound `json:"inbound"`
	// Timing holds the intervals and timeouts of the process.
	Timing ControlTiming `json:"timing"`
}

// ControlLimits holds the resource limits of a control instance.
type ControlLimits struct {
	// LogBytes is the size of the log, in memory and on disk, at which a snapshot replaces it. Half of it at most remains
	// in memory for replicas that are behind. The disk must hold several times as much. Default 64 MiB.
	LogBytes Size `json:"log_bytes"`
}

// ControlListen holds the addresses, IP:port, that a control instance listens on. Port 0 selects any free port.
type ControlListen struct {
	// Operators is the HTTP address for operators and for health checks of the platform.
	Operators string `json:"operators" settings:"required,listen"`
	// Links is the address for connections of other processes.
	Links string `json:"links" settings:"required,listen"`
}

// Replica is an initial member of the quorum.
type Replica struct {
	// Instance is the instance name of the member.
	Instance string `json:"instance" settings:"required,name"`
	// Address is the inter-process address of the member, IP:port.
	Address string `json:"address" settings:"required,dial"`
}

// OperatorAccount is the account of a person or program with operator rights, such as changing classes.
type OperatorAccount struct {
	// Name identifies the operator in the log entry of each change.
	Name string `json:"name" settings:"required,name"`
	// KeyDigests holds the digests of the keys of the operator, as NewDigest returns them.
	KeyDigests []string `json:"key_digests" settings:"required,digest"`
}

// ControlTiming holds the intervals and timeouts of a control instance.
type ControlTiming struct {
	// Heartbeat is the interval between the heartbeats of the leader. Default 100ms.
	Heartbeat time.Duration `json:"heartbeat"`
	// Election is the minimum election timeout. Each timeout is random between Election and twice that. Default 1s.
	Election time.Duration `json:"election"`
	// FirstElection is the minimum timeout before the first election after a start. It may be shorter than Election,
	// since that election can't displace a running leader. Default: Election.
	FirstElection time.Duration `json:"first_election"`
	// ServerExpire is the time without messages after which a backend server is removed from the directory.
	// Default 10s.
	ServerExpire time.Duration `json:"server_expire"`
	// KeyRecords is the retention period of Idempotency-Key records. Default 24h.
	KeyRecords time.Duration `json:"key_records"`
	// Drain is how long calls in flight may take after SIGTERM. Default 30s.
	Drain time.Duration `json:"drain"`
}

func (*Control) expectedRole() Role { return RoleControl }

// DefaultControl returns the default values, which apply to keys that a file omits.
func DefaultControl() Control {
	return Control{
		Role:    RoleControl,
		Log:     Log{Level: log.InfoLevel},
		Inbound: defaultInbound(),
		Limits: ControlLimits{
			LogBytes: 64 * MiB,
		},
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
	c.checkPortConflicts(listener{"listen.operators", s.Listen.Operators}, listener{"listen.links", s.Listen.Links})
	c.checkAdvertised(s.Advertise, s.Listen.Links)
	s.validateReplicas(c)
	if s.DataDir == "" && !s.Ephemeral {
		c.report(result.SettingsMissingKey, "data_dir", "the key \"data_dir\" is missing, and the instance isn't ephemeral")
	}
	c.checkOperators(s.Operators)
	c.resolveOrganisations(&s.Organisations, &s.OrganisationsFile)
	c.checkClasses(s.InitialClasses)
	c.checkTLS("tls", s.TLS)
	c.checkTLS("operator_tls", s.OperatorTLS)
	if s.Voters < 0 {
		c.report(result.SettingsOutOfRange, "voters", "want at least 1, got %d", s.Voters)
	}
	s.Inbound.validate(c)
	checkPositive(c, "limits.log_bytes", s.Limits.LogBytes)
	checkPositive(c, "timing.heartbeat", s.Timing.Heartbeat)
	checkPositive(c, "timing.first_election", s.Timing.FirstElection)
	checkPositive(c, "timing.server_expire", s.Timing.ServerExpire)
	checkPositive(c, "timing.key_records", s.Timing.KeyRecords)
	checkPositive(c, "timing.drain", s.Timing.Drain)
	c.checkSilenceTimeout("timing.election", s.Timing.Election, s.Timing.Heartbeat)
}

func (s *Control) validateReplicas(c *checker) {
	var names, addresses []string
	for _, replica := range s.Replicas {
		names = append(names, replica.Instance)
		addresses = append(addresses, replica.Address)
	}
	c.checkUnique("instance", names, func(i int) string { return fmt.Sprintf("replicas[%d].instance", i) })
	c.checkUnique("address", addresses, func(i int) string { return fmt.Sprintf("replicas[%d].address", i) })
	self := slices.Index(names, s.Instance)
	switch {
	case len(names) == 0 || s.Instance == "":
	case self < 0 && s.Bootstrap:
		c.report(result.SettingsMissingKey, "replicas", "with bootstrap, want this instance, %q, among them", s.Instance)
	case self >= 0 && addresses[self] != s.Advertise && dialable(s.Advertise):
		c.report(result.SettingsOutOfRange, fmt.Sprintf("replicas[%d].address", self),
			"want this instance's advertised address %s", s.Advertise)
	}
}

// checkOperators reports names and key digests that are used more than once.
func (c *checker) checkOperators(operators []OperatorAccount) {
	var names, digests, paths []string
	for i, operator := range operators {
		names = append(names, operator.Name)
		for j, digest := range operator.KeyDigests {
			digests = append(digests, digest)
			paths = append(paths, fmt.Sprintf("operators[%d].key_digests[%d]", i, j))
		}
	}
	c.checkUnique("operator", names, func(i int) string { return fmt.Sprintf("operators[%d].name", i) })
	c.checkUnique("digest", digests, func(i int) string { return paths[i] })
}
