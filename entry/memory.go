package entry

import (
	"context"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/holding"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings"
)

// callMemory counts what the entry holds for callers and bounds it, see docs/design/slow-readers.md. It is nil if the
// setting memory.held_bytes is 0: its methods then do nothing, and hold reports that everything fits.
//
// The lock is held for the ledger's own work only. Calls that the ledger ends are ended afterwards, by the goroutine that
// caused it.
type callMemory struct {
	limits settings.EntryMemory
	log    log.Interface
	meter  *meter
	now    func() time.Time

	mu     sync.Mutex
	ledger *holding.Ledger
	calls  map[*holding.Account]*heldCall
}

// heldCall is the account of one call, with what is needed to end it.
type heldCall struct {
	memory  *callMemory
	account *holding.Account
	conn    *callerConn // nil if the call didn't come over a connection of this entry
	// bodySize is the announced size of the body, negative if it is not known.
	bodySize int64
	// detached is set for an operation that goes on without its caller. Nobody could read, and its record has to be closed,
	// so it is never ended.
	detached bool

	// Guarded by callMemory.mu.
	call     *call // nil until the call is submitted
	ended    bool
	closed   bool
	endedFor endCause // set if end was called

	reading readingState // used by checkReaders only
}

func newCallMemory(s settings.EntryMemory, logger log.Interface, m *meter, now func() time.Time) *callMemory {
	if s.HeldBytes <= 0 {
		return nil
	}
	return &callMemory{
		limits: s,
		log:    logger,
		meter:  m,
		now:    now,
		ledger: holding.New(holding.Limits{Bytes: int64(s.HeldBytes), OrganisationShare: s.OrganisationShare}),
		calls:  make(map[*holding.Account]*heldCall),
	}
}

// open opens the account of a call. It has to be closed.
func (m *callMemory) open(id, organisation string, conn *callerConn) *heldCall {
	if m == nil {
		return nil
	}
	return m.add(&heldCall{memory: m, conn: conn, bodySize: -1}, id, organisation)
}

// openDetached opens the account of an operation that goes on without its caller. It has to be closed.
func (m *callMemory) openDetached(id, organisation string) *heldCall {
	return m.add(&heldCall{memory: m, bodySize: -1, detached: true}, id, organisation)
}

func (m *callMemory) add(h *heldCall, id, organisation string) *heldCall {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.account = m.ledger.Open(id, organisation)
	m.calls[h.account] = h
	return h
}

// assign sets the request ID and the organisation, once they are known.
func (h *heldCall) assign(id, organisation string) {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.ledger.Assign(h.account, id, organisation)
}

// follow makes the account that of a call that is about to be submitted. It returns false if the account was ended before:
// the call must not be submitted then, since nothing could end it any more.
func (h *heldCall) follow(c *call) bool {
	if h == nil {
		return true
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if h.ended || h.account.Ended() {
		return false
	}
	h.call = c
	if c.request.Key != "" {
		h.memory.ledger.Move(h.account, holding.Body, holding.Pinned, h.account.Of(holding.Body))
	}
	return true
}

// account returns the call's account.
func (c *call) account() *heldCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// detach lets a request with a key go on without its caller, with an account of its own for what has been collected. The
// account has to be closed.
func (e *Entry) detach(c *call, collected int) *heldCall {
	if c.account() == nil {
		return nil
	}
	h := e.memory.openDetached(c.request.ID, c.request.Organisation)
	_ = h.follow(c) // the account is new
	h.hold(holding.Pinned, len(c.request.Body)+collected)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held, c.cut = h, nil
	if waiting := uint64(c.bytes); waiting < c.flow.delivered {
		c.flow.written = c.flow.delivered - waiting // what a failed write left is collected
	}
	return h
}

// close frees all that the call holds. It can't be ended afterwards.
func (h *heldCall) close() {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.ledger.Close(h.account)
	h.ended, h.closed = true, true
	delete(h.memory.calls, h.account)
}

// isClosed reports whether the request that the account was opened for is over.
func (h *heldCall) isClosed() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.closed
}

// hold counts n more bytes. If they don't fit, it ends other calls. It returns false if the bytes may not be held; the
// call has then ended.
func (h *heldCall) hold(kind holding.Kind, n int) bool {
	if h == nil || n == 0 {
		return true
	}
	return h.change(func(l *holding.Ledger) ([]*holding.Account, bool) { return l.Hold(h.account, kind, int64(n)) })
}

// set counts n bytes of a kind in all; otherwise it is like hold.
func (h *heldCall) set(kind holding.Kind, n int) bool {
	if h == nil {
		return true
	}
	return h.change(func(l *holding.Ledger) ([]*holding.Account, bool) { return l.Set(h.account, kind, int64(n)) })
}

// admit counts n bytes for a call that has not begun. It returns false if there is no room for it; the call goes on.
func (h *heldCall) admit(kind holding.Kind, n int64) bool {
	if h == nil || n <= 0 {
		return true
	}
	return h.change(func(l *holding.Ledger) ([]*holding.Account, bool) { return l.Admit(h.account, kind, n) })
}

func (h *heldCall) change(apply func(*holding.Ledger) ([]*holding.Account, bool)) bool {
	m := h.memory
	m.mu.Lock()
	ended, ok := apply(m.ledger)
	victims := make([]*heldCall, 0, len(ended))
	for _, a := range ended {
		victims = append(victims, m.calls[a])
	}
	m.mu.Unlock()
	for _, victim := range victims {
		victim.end(endedForMemory, 0)
	}
	return ok
}

// release subtracts n bytes.
func (h *heldCall) release(kind holding.Kind, n int) {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.ledger.Release(h.account, kind, int64(n))
}

// move changes the kind of n bytes.
func (h *heldCall) move(from, to holding.Kind, n int) {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.ledger.Move(h.account, from, to, int64(n))
}

// window returns the window of the call, 0 if nothing is counted.
func (h *heldCall) window() uint64 {
	if h == nil {
		return 0
	}
	return uint64(h.memory.limits.ReaderWindowBytes)
}

// kind returns the kind under which bytes of the call are counted. A request with a key goes on without its caller, and
// its record needs the whole answer: ending the call would free nothing.
func (h *heldCall) kind(kind holding.Kind) holding.Kind {
	if h != nil && h.call != nil && h.call.request.Key != "" {
		return holding.Pinned
	}
	return kind
}

// endCause is why a call is ended before its end.
type endCause string

// The causes.
const (
	endedForReading endCause = "reads_nothing"
	endedForMemory  endCause = "memory"
)

// code returns the code of the failure that a caller receives.
func (c endCause) code() result.Code {
	if c == endedForReading {
		return result.CallerReadsNothing
	}
	return result.EndedToFreeMemory
}

// cause returns why the call was ended, endedForMemory if it wasn't.
func (h *heldCall) cause() endCause {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if h.endedFor == "" {
		return endedForMemory
	}
	return h.endedFor
}

// end ends a call: what waits for its caller is dropped, and the goroutine that serves it tells the scheduler. unread is
// how long the caller has read nothing, if that is the cause.
func (h *heldCall) end(cause endCause, unread time.Duration) {
	m := h.memory
	m.mu.Lock()
	if h.ended || h.detached {
		m.mu.Unlock()
		return
	}
	h.ended, h.endedFor = true, cause
	m.ledger.End(h.account)
	c, organisation, id, held := h.call, h.account.Organisation(), h.account.ID(), h.account.HeldAtEnd()
	total := m.ledger.Total()
	m.mu.Unlock()
	delivered, written := uint64(0), uint64(0)
	if c != nil {
		owned := false
		if delivered, written, owned = c.cutOff(h, cause); !owned {
			return
		}
	}
	m.meter.countCallEnded(cause)
	m.log.WithField("request", id).
		WithField("organisation", organisation).
		WithField("cause", string(cause)).
		WithField("held", held).
		WithField("delivered", delivered).
		WithField("written", written).
		WithField("unread_ms", unread.Milliseconds()).
		WithField("held_by_all", total).
		WithField("limit", int64(m.limits.HeldBytes)).
		Warn("call_ended_early")
	h.conn.endWrites(m.limits.ReaderTimeout, h.isClosed)
}

// cutOff drops what waits for the caller and makes the goroutine that serves it end the call. It returns the bytes that
// were delivered for the caller and written to it. It does nothing and returns false if the call has another account by
// now: it goes on without the caller whose account held is.
func (c *call) cutOff(held *heldCall, cause endCause) (delivered, written uint64, owned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held != held {
		return 0, 0, false
	}
	delivered, written = c.flow.delivered, c.flow.written
	ran := result.RanUnknown
	if delivered > 0 {
		ran = result.RanYes
	}
	if c.cut == nil {
		c.cut = result.New(cause.code(), "").WithRan(ran)
	}
	if c.request.Key == "" {
		c.events, c.bytes = nil, 0
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return delivered, written, true
}

// dropEvents records that events of the answer were dropped, so that it can't end as a whole one. The ledger ends an
// account before the call learns of it.
func (c *call) dropEvents() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut == nil {
		c.cut = result.New(c.held.cause().code(), "").WithRan(result.RanYes)
	}
}

// cutError returns why the call was ended by this process, nil if it wasn't.
func (c *call) cutError() *result.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// holdEvents counts events that were delivered. It returns false if they must be dropped because the call has ended.
func (c *call) holdEvents(events [][]byte) bool {
	held := c.account()
	if held == nil {
		return true
	}
	size := 0
	for _, event := range events {
		size += len(event)
	}
	if !c.request.Stream {
		held.release(holding.Assembled, size) // they were counted while the scheduler collected them
	}
	return held.hold(held.kind(holding.Waiting), size) || c.request.Key != ""
}

// admitsNew returns nil if an organisation's new calls are admitted, otherwise the refusal. The caller may come back once
// those that read nothing have been ended.
func (m *callMemory) admitsNew(organisation string) *result.Error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ledger.OverShare(organisation) {
		return nil
	}
	return m.refusal("the organisation holds %d bytes, %d are its share of %d",
		m.ledger.Organisation(organisation), int64(m.limits.OrganisationShare*float64(m.limits.HeldBytes)), int64(m.limits.HeldBytes))
}

func (m *callMemory) refusal(format string, args ...any) *result.Error {
	return result.New(result.OverMemoryShare, format, args...).WithRetryAfter(m.limits.ReaderTimeout)
}

// admitBody reserves the announced size of a body, unless it is over the limit and will be refused for that. It returns
// the refusal, nil if there is room or the size is not known yet.
func (h *heldCall) admitBody(limit int64) *result.Error {
	if h == nil || h.bodySize <= 0 || limit > 0 && h.bodySize > limit {
		return nil
	}
	if !h.admit(holding.Body, h.bodySize) {
		return h.memory.refusal("a body of %d bytes doesn't fit", h.bodySize)
	}
	return nil
}

type heldCallKey struct{}

// heldCallOf returns the account of a request, nil if there is none.
func heldCallOf(ctx context.Context) *heldCall {
	h, _ := ctx.Value(heldCallKey{}).(*heldCall)
	return h
}

// countRequests opens an account for each request of a handler, and closes it when the handler returns.
func (m *callMemory) countRequests(next http.Handler) http.Handler {
	if m == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := callerConnOf(r.Context())
		conn.resumeWrites()
		h := m.open("", "", conn)
		defer h.close()
		h.bodySize = r.ContentLength
		r = r.WithContext(context.WithValue(r.Context(), heldCallKey{}, h))
		if r.ContentLength < 0 {
			r.Body = &countedBody{ReadCloser: r.Body, held: h}
		}
		next.ServeHTTP(w, r)
	})
}

// countedBody counts a body whose size was not announced while it is read.
type countedBody struct {
	io.ReadCloser
	held *heldCall
}

// Read implements io.Reader. The error is an *result.Error if the body doesn't fit.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.held.admit(holding.Body, int64(n)) {
		return 0, b.held.memory.refusal("the body doesn't fit")
	}
	return n, err
}

// readingState is what checkReaders saw of a call when its caller last read, or had no reason to.
type readingState struct {
	since   time.Time
	written uint64
	network readerProgress
}

// checkReaders ends the calls whose callers have read nothing for the timeout while their window was full.
func (m *callMemory) checkReaders(now time.Time) {
	for _, h := range m.submitted() {
		if h.detached {
			continue
		}
		c, network := h.call, h.conn.progress()
		c.mu.Lock()
		// No credit follows the last event, so the window of an ended stream that was written stays full.
		full, written := c.flow.isFull(network.unsent > 0 && !c.ended) && c.cut == nil, c.flow.written
		c.mu.Unlock()
		seen := readingState{since: now, written: written, network: network}
		if !full || h.reading.since.IsZero() || seen.written != h.reading.written || seen.network != h.reading.network {
			h.reading = seen
			if !full {
				h.reading.since = time.Time{}
			}
			continue
		}
		if unread := now.Sub(h.reading.since); unread >= m.limits.ReaderTimeout {
			h.end(endedForReading, unread)
		}
	}
}

// submitted returns the calls that were submitted and not ended.
func (m *callMemory) submitted() []*heldCall {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*heldCall, 0, len(m.calls))
	for _, h := range m.calls {
		if h.call != nil && !h.ended {
			list = append(list, h)
		}
	}
	return list
}

// heldOf returns what all calls hold of a kind.
func (m *callMemory) heldOf(kind holding.Kind) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.OfKind(kind)
}

// heldByOrganisation returns what each organisation's calls hold.
func (m *callMemory) heldByOrganisation() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Organisations()
}

// consumed counts events that were written to the caller, and those that are collected instead of it or for a record.
func (e *Entry) consumed(c *call, events [][]byte, collected *collector) {
	held := c.account()
	if held == nil || len(events) == 0 {
		return
	}
	size := 0
	for _, event := range events {
		size += len(event)
	}
	e.wrote(c, size)
	if kept := collected.keptBytes(); kept > collected.counted {
		held.hold(held.kind(holding.Assembled), kept-collected.counted)
		collected.counted = kept
	} else if kept < collected.counted {
		held.release(held.kind(holding.Assembled), collected.counted-kept)
		collected.counted = kept
	}
}

// keptBytes returns how many bytes the collector holds.
func (k *collector) keptBytes() int {
	if k.request.Stream {
		return k.stream.Len()
	}
	return k.size
}

// assembled counts the body of a whole answer instead of its events. It returns the outcome, which is a failure if the
// body doesn't fit.
func (e *Entry) assembled(c *call, out *outcome, collected *collector) *outcome {
	held := c.account()
	if held == nil || c.request.Stream {
		return out
	}
	collected.events = nil
	held.release(held.kind(holding.Assembled), collected.counted)
	if !held.hold(held.kind(holding.Assembled), len(out.body)) && c.request.Key == "" {
		err := c.cutError()
		if err == nil {
			err = result.New(result.EndedToFreeMemory, "").WithRan(result.RanYes)
		}
		return &outcome{err: err, attempts: attemptSummary{anySent: true, allEnded: true}}
	}
	return out
}

// beginFinal records that a whole answer is about to be written. Until then its caller has nothing to read: an answer of
// an operation with a key waits for its commit.
func (c *call) beginFinal(out *outcome) {
	if c.request.Stream || out.err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flow.beginFinal(len(out.body))
}

// memoryStatus is what an entry holds for callers.
type memoryStatus struct {
	Held          int64            `json:"held_bytes"`
	Limit         int64            `json:"limit_bytes"`
	Kinds         map[string]int64 `json:"kinds"`
	Organisations map[string]int64 `json:"organisations"`
}

// status returns what is held, nil if it is not counted.
func (m *callMemory) status() *memoryStatus {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &memoryStatus{
		Held:          m.ledger.Total(),
		Limit:         int64(m.limits.HeldBytes),
		Kinds:         make(map[string]int64),
		Organisations: m.ledger.Organisations(),
	}
	maps.DeleteFunc(s.Organisations, func(_ string, held int64) bool { return held == 0 })
	for _, kind := range holding.Kinds() {
		s.Kinds[kind.String()] = m.ledger.OfKind(kind)
	}
	return s
}
