package replica_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
)

// wordStore is a state machine that holds a list of words. Apply appends a word
// and returns the one before it.
type wordStore struct {
	mu    sync.Mutex
	words []string
}

func (s *wordStore) Apply(_ uint64, data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := ""
	if len(s.words) > 0 {
		before = s.words[len(s.words)-1]
	}
	s.words = append(s.words, string(data))
	return []byte(before)
}

func (s *wordStore) Snapshot() ([]byte, error) { return []byte(strings.Join(s.all(), "\n")), nil }

func (s *wordStore) Restore(_ uint64, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words = nil
	if len(data) > 0 {
		s.words = strings.Split(string(data), "\n")
	}
	return nil
}

// all returns a copy of the list.
func (s *wordStore) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.words...)
}

// last returns the last word, or "" if there is none.
func (s *wordStore) last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.words) == 0 {
		return ""
	}
	return s.words[len(s.words)-1]
}

// node is an instance with its disk and its replica. r is nil while the instance
// is down.
type node struct {
	instance string
	fs       *journaltest.FS
	store    *wordStore
	r        *replica.Replica
	cancel   context.CancelFunc
	ended    chan error
}

// group is a set of replicas and the simulated network between them. It must be
// used inside synctest.Test, which simulates time.
type group struct {
	t     *testing.T
	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]*node
	// isolated holds the instances that can reach only each other.
	isolated map[string]bool
	// lossPercent is the percentage of messages that are lost. Messages are
	// delayed randomly by less than maxDelay, so that they can be reordered;
	// zero means no delay.
	lossPercent int
	maxDelay    time.Duration
	config      replica.Config
}

func newGroup(t *testing.T, seed uint64) *group {
	return &group{
		t:        t,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		nodes:    map[string]*node{},
		isolated: map[string]bool{},
		config: replica.Config{
			Dir:             "/data",
			SnapshotEntries: 50,
			KeepEntries:     5,
			MaxBatchBytes:   256,
		},
	}
}

// Send implements replica.Transport.
func (g *group) Send(to quorum.ID, msgs []*quorumpb.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.nodes[to.Instance()]
	for _, m := range msgs {
		from := quorum.ID(m.GetFrom()).Instance()
		lost := g.isolated[from] != g.isolated[to.Instance()] || g.rng.IntN(100) < g.lossPercent
		if n == nil || n.r == nil || lost {
			continue
		}
		r, m := n.r, proto.CloneOf(m)
		if g.maxDelay == 0 {
			r.Deliver(m)
			continue
		}
		time.AfterFunc(time.Duration(g.rng.Int64N(int64(g.maxDelay))), func() { r.Deliver(m) })
	}
}

// open creates the replica of an instance from its disk without running it. A
// new instance gets an empty disk.
func (g *group) open(instance string) *node {
	g.mu.Lock()
	n := g.nodes[instance]
	if n == nil {
		n = &node{instance: instance, fs: journaltest.New()}
		g.nodes[instance] = n
	}
	g.mu.Unlock()
	s := &wordStore{}
	config := g.config
	config.Instance, config.FS, config.Transport, config.StateMachine = instance, n.fs, g, s
	r, err := replica.New(config)
	require.NoError(g.t, err)
	g.mu.Lock()
	n.r, n.store = r, s
	g.mu.Unlock()
	return n
}

// run starts the replica of n.
func (g *group) run(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.ended = cancel, make(chan error, 1)
	go func() { n.ended <- n.r.Run(ctx) }()
}

// start opens and runs an instance.
func (g *group) start(instance string) *node {
	n := g.open(instance)
	g.run(n)
	return n
}

// bootstrap starts replicas as the initial voters of a new group.
func (g *group) bootstrap(instances ...string) {
	var voters []replica.Member
	for _, instance := range instances {
		voters = append(voters, replica.Member{ID: g.open(instance).r.ID(), Address: instance + ":1", Voter: true})
	}
	for _, instance := range instances {
		require.NoError(g.t, g.nodes[instance].r.Bootstrap(voters))
		g.run(g.nodes[instance])
	}
}

// stop stops a replica without loss of data.
func (g *group) stop(n *node) {
	n.cancel()
	require.NoError(g.t, <-n.ended)
	g.mu.Lock()
	n.r = nil
	g.mu.Unlock()
}

// crash stops a replica and loses a random part of its unsynced data.
func (g *group) crash(n *node) {
	n.fs.StopAt(1, 0) // No further change reaches the disk.
	n.cancel()
	<-n.ended
	g.mu.Lock()
	n.r = nil
	n.fs.CrashRandom(g.rng)
	g.mu.Unlock()
}

// stopAll stops all running replicas.
func (g *group) stopAll() {
	for _, n := range g.nodes {
		if n.r != nil {
			g.stop(n)
		}
	}
}

// isolate separates the given instances from all others; without arguments it
// removes the separation.
func (g *group) isolate(instances ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.isolated)
	for _, instance := range instances {
		g.isolated[instance] = true
	}
}

// leader waits for a leader that serves reads among the replicas that are not
// isolated, and fails the test after 200 attempts.
func (g *group) leader() *node {
	g.t.Helper()
	for range 200 {
		for _, n := range g.nodes {
			g.mu.Lock()
			isolated := g.isolated[n.instance]
			g.mu.Unlock()
			if n.r == nil || isolated || n.r.Status().Role != quorum.RoleLeader {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := n.r.Read(ctx)
			cancel()
			if err == nil {
				return n
			}
		}
		time.Sleep(replica.DefaultTickInterval)
	}
	require.Fail(g.t, "no leader was elected")
	return nil
}

// propose commits words one after the other at the leader.
func (g *group) propose(words ...string) {
	g.t.Helper()
	for _, word := range words {
		_, err := g.leader().r.Propose(g.t.Context(), []byte(word))
		require.NoError(g.t, err)
	}
}

// addVoter adds an instance as a learner and promotes it once it has caught up.
func (g *group) addVoter(n *node) {
	g.t.Helper()
	leader := g.leader()
	_, err := leader.r.AddLearner(g.t.Context(), n.r.ID(), n.instance+":1")
	require.NoError(g.t, err)
	for range 500 {
		_, err = leader.r.Promote(g.t.Context(), n.r.ID())
		if !errors.Is(err, quorum.ErrNotCaughtUp) {
			break
		}
		time.Sleep(replica.DefaultTickInterval)
	}
	require.NoError(g.t, err)
}

// waitForFollowers waits one second of simulated time, so that followers apply
// the committed entries.
func waitForFollowers() { time.Sleep(time.Second) }
