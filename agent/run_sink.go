package agent

import (
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
)

// errRunClosed ends a run whose events are not accepted any more.
var errRunClosed = errors.New("agent: run is closed and accepts no events")

// runSink receives a run's events and notifies the event loop once for all events that are waiting. A burst of events
// costs the loop one step, and a single event is passed on at once.
type runSink struct {
	run *engineRun
	// notify puts an input on the event loop's ring. It blocks while the ring is full, which slows the engine down.
	notify func(*engineRun) error
	// waits tells the event loop that the run has to wait for its caller. It is called once at most; nil means never.
	waits func(*engineRun) error
	held  *held
}

var _ engine.Sink = (*runSink)(nil)

// Chunk implements engine.Sink.
func (s *runSink) Chunk(chunk engine.Chunk) error {
	if chunk.UsageOnly && !s.run.wantsUsage {
		return nil
	}
	if s.run.isRepeated(chunk) {
		return nil
	}
	event := slices.Clone(chunk.Data)
	return s.put(event, chunk.Tokens, func(p *position) {
		p.receive(s.run.dispatch.GetVerbatim(), event, chunk.Index+chunk.Tokens)
	})
}

// isRepeated reports whether an event was sent by an earlier attempt that ended before its first token, such as the event that names
// the role. An attempt that begins anew sends it again. It is called by the goroutine of the run only.
func (r *engineRun) isRepeated(chunk engine.Chunk) bool {
	if chunk.Tokens > 0 {
		r.repeated = 0
	}
	if r.repeated == 0 {
		return false
	}
	r.repeated--
	return true
}

// Answer implements engine.Sink. The body of a model engine's answer with a status other than 200 is a refusal and not
// passed on; a service's answer is passed on with any status.
func (s *runSink) Answer(answer engine.Answer) error {
	s.run.setContentType(answer.ContentType)
	if !s.run.isService && answer.Status != http.StatusOK {
		return nil
	}
	for chunk := range slices.Chunk(answer.Body, serviceChunkBytes) {
		if err := s.put(chunk, 0, nil); err != nil {
			return err
		}
	}
	return nil
}

func (s *runSink) put(event []byte, tokens int, record func(*position)) error {
	if s.waits != nil && s.run.beginsToWait(len(event)) {
		if err := s.waits(s.run); err != nil {
			return err
		}
	}
	notify, err := s.run.put(event, tokens, record, s.held)
	if err != nil || !notify {
		return err
	}
	return s.notify(s.run)
}

// put appends an event, and blocks while the buffer or the caller's window is full, or the agent holds too much. It reports
// whether the event loop must be notified. record records an accepted event; nil if it is not part of a stream. The error is
// errRunClosed.
func (r *engineRun) put(event []byte, tokens int, record func(*position), held *held) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && (r.isBufferFull(len(event)) || r.window.isFull(len(event)) || !held.holdEvent(r, len(event))) {
		r.changed.Wait()
	}
	if r.closed {
		return false, errRunClosed
	}
	if record != nil {
		record(&r.received)
	}
	r.events = append(r.events, event)
	r.bufferedBytes += len(event)
	r.window.position += uint64(len(event))
	r.tokens = append(r.tokens, uint32(tokens))
	notify := !r.notified
	r.notified = true
	return notify, nil
}

func (r *engineRun) isBufferFull(size int) bool {
	return r.bufferedBytes > 0 && r.bufferedBytes+size > runBufferBytes
}

// take returns and clears the waiting events, and the number of tokens in each.
func (r *engineRun) take() ([][]byte, []uint32) {
	events, tokens, _ := r.takeCounted()
	return events, tokens
}

// takeCounted is take, with the number of bytes.
func (r *engineRun) takeCounted() ([][]byte, []uint32, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events, tokens, size := r.events, r.tokens, r.bufferedBytes
	r.events = nil
	r.tokens = nil
	r.bufferedBytes = 0
	r.notified = false
	r.changed.Broadcast()
	return events, tokens, size
}

// close makes put return errRunClosed.
func (r *engineRun) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.changed.Broadcast()
}

func (r *engineRun) setContentType(contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contentType = contentType
}

// contentTypeOrDefault returns the content type that the engine gave, or that of an event stream if it gave none.
func (r *engineRun) contentTypeOrDefault() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.contentType == "" {
		return engine.ContentTypeStream
	}
	return r.contentType
}
