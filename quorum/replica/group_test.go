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

// wordStore is a state machine: a row of words. Apply returns the last word before.
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

func (s *wordStore) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.words...)
}

func (s *wordStore) last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.words) == 0 {
		return ""
	}
	return s.words[len(s.words)-1]
}

// node is an instance with its disk and the replica that runs on it.
type node struct {
	instance string
	fs       *journaltest.FS
	store    *wordStore
	r        *replica.Replica
	cancel   context.CancelFunc
	ended    chan error
}

// group connects replicas. It runs inside a synctest bubble, where time is
// simulated.
type group struct {
	t     *testing.T
	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]*node
	// isolated are cut off from all others.
	isolated map[string]bool
	// lossPercent is the share of lost messages in percent; jitter delays them, so
	// that they overtake each other.
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

// open makes the replica of an instance from its disk.
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

// bootstrap starts a group of voters.
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

// stop ends a replica without a loss.
func (g *group) stop(n *node) {
	n.cancel()
	require.NoError(g.t, <-n.ended)
	g.mu.Lock()
	n.r = nil
	g.mu.Unlock()
}

// crash ends a replica and loses what it had not synced.
func (g *group) crash(n *node) {
	n.fs.StopAt(1, 0) // Nothing more reaches the disk.
	n.cancel()
	<-n.ended
	g.mu.Lock()
	n.r = nil
	n.fs.CrashRandom(g.rng)
	g.mu.Unlock()
}

func (g *group) stopAll() {
	for _, n := range g.nodes {
		if n.r != nil {
			g.stop(n)
		}
	}
}

func (g *group) isolate(instances ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.isolated)
	for _, instance := range instances {
		g.isolated[instance] = true
	}
}

// leader waits for a leader among the replicas that are not cut off.
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
	require.Fail(g.t, "no leader")
	return nil
}

// propose commits words at the leader.
func (g *group) propose(words ...string) {
	g.t.Helper()
	for _, word := range words {
		_, err := g.leader().r.Propose(g.t.Context(), []byte(word))
		require.NoError(g.t, err)
	}
}

// addVoter adds an instance as learner and promotes it once it has caught up.
func (g *group) addVoter(n *node) {
	g.t.Helper()
	l := g.leader()
	_, err := l.r.AddLearner(g.t.Context(), n.r.ID(), n.instance+":1")
	require.NoError(g.t, err)
	for range 500 {
		_, err = l.r.Promote(g.t.Context(), n.r.ID())
		if !errors.Is(err, quorum.ErrNotCaughtUp) {
			break
		}
		time.Sleep(replica.DefaultTickInterval)
	}
	require.NoError(g.t, err)
}

// waitForFollowers lets followers apply what is committed.
func waitForFollowers() { time.Sleep(time.Second) }
