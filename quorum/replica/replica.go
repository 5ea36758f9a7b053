package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/oklog/run"
	"google.golang.org/protobuf/proto"
)

// Replica is one member of a group. Its methods are safe for concurrent use.
type Replica struct {
	cfg     Config
	id      quorum.ID
	journal storage

	// mu guards node and initialVoters. The event loop holds it for one step at
	// a time and never while it waits for an event, so that Status can lock it
	// between steps.
	mu            sync.Mutex
	node          *quorum.Node
	initialVoters []Member // result of InitialVoters

	messages  chan *quorumpb.Message
	proposals chan []*request
	reads     chan *request
	commands  chan *request

	toJournal    chan journalJob
	fromJournal  chan journalDone
	toApply      chan applyJob
	fromApply    chan applyDone
	toSnapshot   chan snapshotJob
	fromSnapshot chan snapshotDone

	loop     eventLoop
	counters counters
	started  atomic.Bool
	// stopped is closed when the event loop has ended, after which no further
	// request is handled.
	stopped chan struct{}
}

// storage holds the log, hard state and snapshots of a replica. It is a *journal.Journal on disk, or a *journal.Volatile if
// the replica has no disk.
type storage interface {
	Disk() string
	Stats() journal.Stats
	Save(hardState *quorumpb.HardState, entries []*quorumpb.Entry) error
	Reset(meta *quorumpb.SnapshotMeta) error
	Release(index uint64) error
	SaveSnapshot(s *quorumpb.Snapshot) error
	ReadSnapshot() (*quorumpb.Snapshot, error)
	Close() error
}

// openStorage opens the journal on disk, or an empty in-memory one if
// cfg.Volatile is set.
func openStorage(cfg Config) (storage, journal.State, error) {
	if cfg.Volatile {
		return journal.NewVolatile(), journal.State{}, nil
	}
	return journal.Open(cfg.Dir, journal.Options{FS: cfg.FS})
}

// New opens the journal in cfg.Dir, restores the state machine from its newest
// snapshot and returns a replica that has not been started; call Run or Close.
// Errors are those of journal.Open and StateMachine.Restore, or report a missing
// field of cfg or an inconsistent log.
func New(cfg Config) (*Replica, error) {
	if err := cfg.validateAndSetDefaults(); err != nil {
		return nil, err
	}
	j, state, err := openStorage(cfg)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg:          cfg,
		id:           quorum.MakeID(cfg.Instance, j.Disk()),
		journal:      j,
		messages:     make(chan *quorumpb.Message, cfg.QueueLength),
		proposals:    make(chan []*request, cfg.QueueLength),
		reads:        make(chan *request, cfg.QueueLength),
		commands:     make(chan *request, commandQueueLength),
		toJournal:    make(chan journalJob, 1),
		fromJournal:  make(chan journalDone, 1),
		toApply:      make(chan applyJob, 1),
		fromApply:    make(chan applyDone, 1),
		toSnapshot:   make(chan snapshotJob, 1),
		fromSnapshot: make(chan snapshotDone, 1),
		stopped:      make(chan struct{}),
	}
	if err := r.loadNode(state); err != nil {
		return nil, errors.Join(err, j.Close())
	}
	return r, nil
}

// commandQueueLength is the maximum number of queued membership changes and
// leadership transfers.
const commandQueueLength = 16

// setDefault sets a field that is zero to value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validateAndSetDefaults checks the required fields and fills in defaults.
func (c *Config) validateAndSetDefaults() error {
	switch {
	case c.Instance == "":
		return errors.New("replica: Config.Instance is required")
	case c.Dir == "" && !c.Volatile:
		return errors.New("replica: Config.Dir is required unless Config.Volatile is set")
	case c.StateMachine == nil:
		return errors.New("replica: Config.StateMachine is required")
	}
	setDefault(&c.FS, journal.OS())
	setDefault(&c.TickInterval, DefaultTickInterval)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.QueueLength, DefaultQueueLength)
	setDefault(&c.MaxBatchBytes, quorum.DefaultMaxBatchBytes)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.KeepBytes, DefaultKeepBytes)
	setDefault(&c.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	return nil
}

// loadNode restores the state machine and creates the Node and the event loop
// from a recovered state.
func (r *Replica) loadNode(state journal.State) error {
	if s := state.Snapshot; s != nil {
		if err := r.cfg.StateMachine.Restore(s.GetMeta().GetIndex(), s.GetData()); err != nil {
			return errors.Wrap(err, "replica: restore state machine from snapshot")
		}
	}
	node, err := quorum.New(quorum.Config{
		ID:                  r.id,
		Rand:                rand.New(rand.NewPCG(r.cfg.Seed, idSeed(r.id))),
		ElectionTicks:       r.cfg.ElectionTicks,
		FirstElectionTicks:  r.cfg.FirstElectionTicks,
		HeartbeatTicks:      r.cfg.HeartbeatTicks,
		MaxBatchBytes:       r.cfg.MaxBatchBytes,
		MaxEntryBytes:       r.cfg.MaxEntryBytes,
		MaxUncommittedBytes: r.cfg.MaxUncommittedBytes,
	}, state.HardState, state.Snapshot.GetMeta(), state.Entries)
	if err != nil {
		return err
	}
	r.node = node
	r.loop = newEventLoop(r)
	r.initialVoters, err = decodeInitialVoters(state.Entries)
	return err
}

// decodeInitialVoters returns the voters in the first entry of the group's log,
// or nil if entries do not include it.
func decodeInitialVoters(entries []*quorumpb.Entry) ([]Member, error) {
	if len(entries) == 0 || entries[0].GetIndex() != 1 {
		return nil, nil
	}
	var m quorumpb.Membership
	if err := proto.Unmarshal(entries[0].GetData(), &m); err != nil {
		return nil, errors.Wrap(err, "replica: decode membership in first log entry")
	}
	var voters []Member
	for _, member := range m.GetMembers() {
		voters = append(voters, Member{ID: quorum.ID(member.GetId()), Address: member.GetAddress(), Voter: true})
	}
	return voters, nil
}

// InitialVoters returns the voters with which the group was bootstrapped, or nil
// if the log was empty or compacted when the replica was opened.
func (r *Replica) InitialVoters() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.initialVoters
}

// idSeed derives a seed from the instance, so that replicas with the same
// Config.Seed have different election timeouts.
func idSeed(id quorum.ID) uint64 {
	var seed uint64
	for _, c := range []byte(id.Instance()) {
		seed = seed*131 + uint64(c)
	}
	return seed
}

// ID returns the ID of the replica: its instance and the identity of its disk.
func (r *Replica) ID() quorum.ID { return r.id }

// Bootstrap makes this replica one of the initial voters of a new group. Call it
// before Run, on each of the voters and with the same list. It returns
// ErrNotEmpty if the disk already holds a log, which is the normal case after a
// restart, and ErrAlreadyRun after Run.
//
// Bootstrap must be called only by decision of an operator, for a group that has
// never existed. On the replaced disk of an instance of an existing group it
// would start a second group beside the first. The identities of the two groups
// differ, so that they never exchange entries.
func (r *Replica) Bootstrap(voters []Member) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started.Load() {
		return ErrAlreadyRun
	}
	if s := r.node.Status(); s.Last > 0 || s.Term > 0 {
		return ErrNotEmpty
	}
	var members []*quorumpb.Member
	included := false
	for _, v := range voters {
		included = included || v.ID == r.id
		members = append(members, &quorumpb.Member{
			Id:      string(v.ID),
			Address: v.Address,
			Role:    quorumpb.Role_ROLE_VOTER,
		})
	}
	if !included {
		return errors.Errorf("replica: %s is not in the list of initial voters", r.id)
	}
	firstEntry, err := quorum.FirstEntry(groupID(voters), members)
	if err != nil {
		return err
	}
	hardState := &quorumpb.HardState{Term: firstEntry.GetTerm(), Commit: firstEntry.GetIndex()}
	entries := []*quorumpb.Entry{firstEntry}
	if err := r.journal.Save(hardState, entries); err != nil {
		return err
	}
	return r.loadNode(journal.State{HardState: hardState, Entries: entries})
}

// groupID derives the identity of the group from the IDs of its initial voters,
// so that all of them compute the same one. The IDs contain the random
// identities of the disks, which makes the result unique.
func groupID(voters []Member) string {
	var ids []string
	for _, v := range voters {
		ids = append(ids, string(v.ID))
	}
	slices.Sort(ids)
	var name []byte
	for _, id := range ids {
		name = append(append(name, id...), '\n')
	}
	return uuid.NewSHA1(uuid.NameSpaceOID, name).String()
}

// ErrAlreadyRun is returned by Run, and by Bootstrap, after Run or Close was
// called.
var ErrAlreadyRun = errors.New("replica: Run or Close was already called")

// Run runs the replica until ctx ends, closes the journal and returns nil. It
// may be called once and returns ErrAlreadyRun otherwise. Any other error means
// that the replica has stopped because it could not continue safely: an error of
// the journal, quorum.ErrLostLog, or an error of the state machine.
func (r *Replica) Run(ctx context.Context) error {
	if !r.started.CompareAndSwap(false, true) {
		return ErrAlreadyRun
	}
	workerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	for _, worker := range []func(context.Context) error{r.runEventLoop, r.runJournal, r.runApply, r.runSnapshots} {
		g.Add(func() error { return worker(workerCtx) }, func(error) { cancel() })
	}
	err := g.Run()
	r.failPending()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		err = nil
	}
	return errors.Join(err, r.journal.Close())
}

// Close closes a replica that was never run. After Run or Close it does nothing
// and returns nil.
func (r *Replica) Close() error {
	if !r.started.CompareAndSwap(false, true) {
		return nil
	}
	r.failPending()
	return r.journal.Close()
}

// failPending ends all waiting requests with quorum.ErrStopped. The event loop
// must have ended or never have been started.
func (r *Replica) failPending() {
	close(r.stopped)
	r.loop.failAllRequests(quorum.ErrStopped)
}

// Deliver queues a message received by the transport. It never blocks: if the
// queue is full, the message is dropped and counted.
func (r *Replica) Deliver(msg *quorumpb.Message) {
	select {
	case r.messages <- msg:
	default:
		r.counters.messagesDropped.Add(1)
	}
}

// Status returns the current status of the replica.
func (r *Replica) Status() Status {
	r.mu.Lock()
	s := r.node.Status()
	r.mu.Unlock()
	status := Status{
		ID:       s.ID,
		Leader:   s.Leader,
		Role:     s.Role,
		Term:     s.Term,
		Last:     s.Last,
		Commit:   s.Commit,
		Applied:  s.Applied,
		Snapshot: s.Snapshot,
		LogBytes: s.LogBytes,
		Progress: s.Progress,
		Counters: r.counters.export(s.Counters, r.journal.Stats()),

		MembersCommitted: s.MembershipCommitted,
	}
	for _, m := range s.Membership.GetMembers() {
		status.Members = append(status.Members, Member{
			ID:      quorum.ID(m.GetId()),
			Address: m.GetAddress(),
			Voter:   m.GetRole() == quorumpb.Role_ROLE_VOTER,
		})
	}
	return status
}
