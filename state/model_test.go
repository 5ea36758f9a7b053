package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// workload simulates entries and backend servers that use the state. Entries follow the protocol: they dispatch only
// after a begin command that permits it, a new owner first cancels at the servers that it is given, and a cancelled
// server refuses attempts that arrive later. Messages may be delayed, begin commands may be committed twice, and a
// process that was considered dead may continue.
type workload struct {
	*log
	requests      int
	permits       []*permit
	beginCommands []*wire.Command       // begin commands, which may be committed again
	attempts      map[string][]*attempt // by key
	cancelled     map[[2]string]uint64  // by server and key: the epoch up to which attempts are cancelled
	observed      map[string]string     // by key: the answer that a caller received
	incarnations  map[string]uint64     // by entry: its latest incarnation
	ended         map[string]uint64     // by entry: its incarnation that was ended last
	epochs        map[string]uint64     // by key: the last epoch given to an owner
}

// permit is a dispatch that a begin command permitted to an entry.
type permit struct {
	key, entry, server, request string
	incarnation, epoch          uint64
	used                        bool
}

// attempt is one run of a request at a server.
type attempt struct {
	server, request string
	epoch           uint64
	isRunning       bool
}

// modelKeys returns the keys of the test, and for each whether its work is repeatable.
func modelKeys() map[string]bool {
	return map[string]bool{"plain": false, "other": false, uuidv7(1_000_000): false, uuidv7(9_000_000): false, "again": true, "again2": true}
}

func newWorkload(t require.TestingT) *workload {
	l := newLog(t)
	l.replica = New()
	return &workload{
		log:          l,
		attempts:     make(map[string][]*attempt),
		cancelled:    make(map[[2]string]uint64),
		observed:     make(map[string]string),
		incarnations: make(map[string]uint64),
		ended:        make(map[string]uint64),
		epochs:       make(map[string]uint64),
	}
}

func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"plain", "other", uuidv7(1_000_000), uuidv7(9_000_000), "again", "again2"}).Draw(t, "key")
}

func drawEntry(t *rapid.T) string {
	return rapid.SampledFrom([]string{"e", "f", "g"}).Draw(t, "entry")
}

func (w *workload) startEntry(t *rapid.T) {
	name := drawEntry(t)
	w.incarnations[name]++
	w.accept(entry(name, w.incarnations[name]))
}

// reregisterEntry registers the same incarnation again, as a process does that was only disconnected. An incarnation
// that has ended must be refused.
func (w *workload) reregisterEntry(t *rapid.T) {
	name := drawEntry(t)
	switch {
	case w.incarnations[name] == 0:
	case w.ended[name] == w.incarnations[name]:
		w.refuse(result.AttemptSuperseded, entry(name, w.incarnations[name]))
	default:
		w.accept(entry(name, w.incarnations[name]))
	}
}

func (w *workload) endEntry(t *rapid.T) {
	name := drawEntry(t)
	w.accept(endEntry(name, w.incarnations[name]))
	w.ended[name] = w.incarnations[name]
}

func (w *workload) begin(t *rapid.T) {
	key, name := drawKey(t), drawEntry(t)
	w.requests++
	cmd := begin(key, name, w.incarnations[name], fmt.Sprint("r", w.requests), func(b *wire.BeginOperation) {
		b.Repeatable = modelKeys()[key]
		b.Candidates = []string{fmt.Sprint("server-", w.requests%4)}
	})
	w.beginCommands = append(w.beginCommands, cmd)
	res := w.apply(cmd)
	switch res.GetBegin() {
	case outcomeBegun:
		w.addPermit(cmd.GetBeginOperation(), res.GetOperation())
	case outcomeTakenOver:
		w.cancelEarlierAttempts(key, res.GetOperation())
		w.addPermit(cmd.GetBeginOperation(), res.GetOperation())
	case outcomeDone:
		w.observeAnswer(key, res.GetOperation())
	}
}

// repeatBegin commits an earlier begin command a second time; its result is lost.
func (w *workload) repeatBegin(t *rapid.T) {
	if len(w.beginCommands) > 0 {
		w.apply(proto.CloneOf(rapid.SampledFrom(w.beginCommands).Draw(t, "begin")))
	}
}

func (w *workload) addPermit(b *wire.BeginOperation, op *wire.Operation) {
	require.Greater(w.t, op.GetEpoch(), w.epochs[b.GetKey()], "attempt numbers of a key are reused")
	w.epochs[b.GetKey()] = op.GetEpoch()
	w.permits = append(w.permits, &permit{
		key:         b.GetKey(),
		entry:       b.GetEntry(),
		server:      b.GetCandidates()[0],
		request:     b.GetRequest(),
		incarnation: b.GetEntryIncarnation(),
		epoch:       op.GetEpoch(),
	})
}

// cancelEarlierAttempts cancels at the servers of the earlier epochs, as a new owner must.
func (w *workload) cancelEarlierAttempts(key string, op *wire.Operation) {
	for _, server := range op.GetEarlier() {
		w.cancelled[[2]string{server, key}] = op.GetEpoch() - 1
		for _, a := range w.attempts[key] {
			if a.server == server && a.epoch < op.GetEpoch() {
				a.isRunning = false
			}
		}
	}
}

// observeAnswer records the answer that a caller receives. It must equal the previous one unless it may change.
func (w *workload) observeAnswer(key string, op *wire.Operation) {
	answer := string(op.GetAnswer().GetBody())
	if old, ok := w.observed[key]; ok && !w.answerMayChange(key) {
		require.Equal(w.t, old, answer, "key %s", key)
	}
	w.observed[key] = answer
}

// answerMayChange reports whether the answer of a key may change: repeatable work runs again once its record has
// expired.
func (w *workload) answerMayChange(key string) bool {
	return modelKeys()[key]
}

func (w *workload) drawPermit(t *rapid.T) *permit {
	if len(w.permits) == 0 {
		t.Skip("no permit")
	}
	return rapid.SampledFrom(w.permits).Draw(t, "permit")
}

// dispatch uses a permit once, possibly long after it was given.
func (w *workload) dispatch(t *rapid.T) {
	p := w.drawPermit(t)
	if p.used || w.cancelled[[2]string{p.server, p.key}] >= p.epoch {
		return
	}
	p.used = true
	w.attempts[p.key] = append(w.attempts[p.key], &attempt{p.server, p.request, p.epoch, true})
}

// complete ends the running attempts of a permit and reports their outcome.
func (w *workload) complete(t *rapid.T) {
	p := w.drawPermit(t)
	for _, a := range w.attempts[p.key] {
		if a.request == p.request && a.isRunning {
			a.isRunning = false
			w.apply(complete(p.key, p.request, p.epoch, p.request))
		}
	}
}

// release releases a permit that was not used.
func (w *workload) release(t *rapid.T) {
	p := w.drawPermit(t)
	if !p.used {
		p.used = true
		w.apply(release(p.key, p.entry, p.incarnation, p.epoch))
	}
}

// giveBack releases ownership of the record instead of removing it. The permit is not used afterwards.
func (w *workload) giveBack(t *rapid.T) {
	p := w.drawPermit(t)
	if !p.used {
		p.used = true
		cmd := release(p.key, p.entry, p.incarnation, p.epoch)
		cmd.GetReleaseOperation().GiveBack = true
		w.apply(cmd)
	}
}

func (w *workload) expire(t *rapid.T) {
	w.now += uint64(rapid.IntRange(0, 2_000_000).Draw(t, "ms"))
	w.accept(expire(w.now))
}

// check verifies after each step that no key runs on two engines, and no non-repeatable key more than once.
func (w *workload) check(*rapid.T) {
	for key, isRepeatable := range modelKeys() {
		running := 0
		for _, a := range w.attempts[key] {
			if a.isRunning {
				running++
			}
		}
		require.LessOrEqual(w.t, running, 1, "key %s runs on two engines", key)
		if !isRepeatable {
			require.LessOrEqual(w.t, len(w.attempts[key]), 1, "key %s ran twice", key)
		}
	}
}

// Non-repeatable work must run at most once, and no request on two engines at the same time, in any order of deaths,
// takeovers, delayed dispatches and completions, releases, expiries and restarts.
func TestOperationsAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorkload(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"":          w.check,
			"start":     w.startEntry,
			"come back": w.reregisterEntry,
			"end":       w.endEntry,
			"begin":     w.begin,
			"begin2":    w.begin,
			"again":     w.repeatBegin,
			"dispatch":  w.dispatch,
			"complete":  w.complete,
			"release":   w.release,
			"give back": w.giveBack,
			"expire":    w.expire,
			"restart":   func(*rapid.T) { w.restart() },
		})
	})
}
