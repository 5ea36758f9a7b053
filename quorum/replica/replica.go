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

// Replica is one member of a group.
type Replica struct {
	cfg     Config
	id      quorum.ID
	journal storage

	// mu guards node. The core holds it for one step at a time and never
	// while it waits; Status takes it in between.
	mu            sync.Mutex
	node          *quorum.Node
	initialVoters []Member // see InitialVoters

	inbox     chan *quorumpb.Message
	proposals chan *request
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
	// stopped is closed when no request will be answered any more.
	stopped chan struct{}
}

// storage is what a replica keeps over a restart: a *journal.Journal on a disk, or a *journal.Volatile where there is none.
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

// openStorage opens the journal on the disk, or one that keeps nothing.
func openStorage(cfg Config) (storage, journal.State, error) {
	if cfg.Volatile {
		return journal.NewVolatile(), journal.State{}, nil
	}
	return journal.Open(cfg.Dir, journal.Options{FS: cfg.FS})
}

// New opens the journal in cfg.Dir, restores the state machine from its newest
// snapshot and returns a replica that Run starts. Errors are those of
// journal.Open, of StateMachine.Restore, or say what cfg lacks.
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
		inbox:        make(chan *quorumpb.Message, cfg.QueueLength),
		proposals:    make(chan *request, cfg.QueueLength),
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

// commandQueueLength bounds waiting membership changes and transfers.
const commandQueueLength = 16

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *Config) validateAndSetDefaults() error {
	switch {
	case c.Instance == "":
		return errors.New("replica: config without an instance")
	case c.Dir == "" && !c.Volatile:
		return errors.New("replica: config without a folder")
	case c.StateMachine == nil:
		return errors.New("replica: config without a state machine")
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
	setDefault(&c.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	return nil
}

func (r *Replica) loadNode(state journal.State) error {
	if s := state.Snapshot; s != nil {
		if err := r.cfg.StateMachine.Restore(s.GetMeta().GetIndex(), s.GetData()); err != nil {
			return errors.Wrap(err, "replica: restore")
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

// decodeInitialVoters reads the voters of the group's first entry, or returns nil if
// the log doesn't reach back to it.
func decodeInitialVoters(entries []*quorumpb.Entry) ([]Member, error) {
	if len(entries) == 0 || entries[0].GetIndex() != 1 {
		return nil, nil
	}
	var m quorumpb.Membership
	if err := proto.Unmarshal(entries[0].GetData(), &m); err != nil {
		return nil, errors.Wrap(err, "replica: first entry")
	}
	var voters []Member
	for _, member := range m.GetMembers() {
		voters = append(voters, Member{ID: quorum.ID(member.GetId()), Address: member.GetAddress(), Voter: true})
	}
	return voters, nil
}

// InitialVoters returns the voters that the group began with, or nil if the log
// held none or was compacted when the replica was opened.
func (r *Replica) InitialVoters() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.initialVoters
}

// idSeed makes the election timeouts of replicas with equal seeds differ.
func idSeed(id quorum.ID) uint64 {
	var seed uint64
	for _, c := range []byte(id.Instance()) {
		seed = seed*131 + uint64(c)
	}
	return seed
}

// ID returns the replica's identity.
func (r *Replica) ID() quorum.ID { return r.id }

// Bootstrap makes this replica one of the first voters of a new group. Call it
// before Run, at every one of the voters with the same list. It returns
// ErrNotEmpty where the disk holds a log already, which after a restart is the
// normal case, and ErrAlreadyRun after Run.
//
// Only an operator may decide to call it, for a group that never existed. On
// the wiped disk of an existing group's instance it would start a second group
// beside the first; its identity differs, so the two never mix.
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
		return errors.Errorf("replica: %s is not among the first voters", r.id)
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

// groupID derives the group's identity from the disks of its first voters,
// which are random, so that all of them find the same one.
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

// ErrAlreadyRun is returned by a second call of Run.
var ErrAlreadyRun = errors.New("replica: Run was called before")

// Run runs the replica until ctx ends, then returns nil after the journal is
// closed. Any other error is one that the replica must not go on after: one of
// the journal, quorum.ErrLostLog, or one of the state machine.
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

// Close ends a replica that was never run.
func (r *Replica) Close() error {
	if !r.started.CompareAndSwap(false, true) {
		return nil
	}
	r.failPending()
	return r.journal.Close()
}

// failPending answers what still waits.
func (r *Replica) failPending() {
	close(r.stopped)
	r.loop.failAllRequests(quorum.ErrStopped)
}

// Deliver hands over a message received by the transport. It never blocks: a
// message that finds the queue full is dropped and counted.
func (r *Replica) Deliver(msg *quorumpb.Message) {
	select {
	case r.inbox <- msg:
	default:
		r.counters.messagesDropped.Add(1)
	}
}

// Status returns the replica's status.
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
		Progress: s.Progress,
		Counters: r.counters.export(s.Counters, r.journal.Stats()),
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
