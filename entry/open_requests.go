package entry

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/apex/log"
)

// requestPhase is how far a connection has got with a request.
type requestPhase int

// The phases of a request. A connection between two requests, or before its first one, is idle.
const (
	phaseIdle   requestPhase = iota
	phaseHead                // a byte of the head was read
	phaseCall                // the handler runs: admission, queue, attempts, answer
	phaseBody                // the handler reads the body
	phaseAnswer              // the handler has returned, and the end of its answer is being written
	phaseLate                // the handler runs for a request whose head was read while the entry was stopping, and which is refused
	requestPhases
)

// String implements fmt.Stringer.
func (p requestPhase) String() string {
	return [requestPhases]string{"idle", "head", "call", "body", "answer", "late"}[p]
}

// openRequests are the requests that this process has read a byte of, and whose answers it hasn't written to the end.
//
// The entry ends nothing that a request needs while there are any, see Entry.runStop.
type openRequests struct {
	log      log.Interface
	stopping *atomic.Bool // of the entry

	mu      sync.Mutex
	conns   map[*requestConn]struct{}
	count   [requestPhases]int // connections
	closing bool               // no further request is read
}

func newOpenRequests(logger log.Interface, stopping *atomic.Bool) *openRequests {
	return &openRequests{log: logger, stopping: stopping, conns: make(map[*requestConn]struct{})}
}

// listen returns a listener whose connections are counted. They have to be what the HTTP server sees, since TLS reads bytes
// that belong to no request.
func (o *openRequests) listen(listener net.Listener) net.Listener {
	return requestListener{Listener: listener, requests: o}
}

type requestListener struct {
	net.Listener
	requests *openRequests
}

// Accept implements net.Listener.
func (l requestListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &requestConn{Conn: conn, requests: l.requests}
	l.requests.mu.Lock()
	defer l.requests.mu.Unlock()
	l.requests.conns[c] = struct{}{}
	l.requests.count[phaseIdle]++
	_ = c.applyDeadline()
	return c, nil
}

// stateChanged is the hook of the HTTP server for the states of its connections.
func (o *openRequests) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*requestConn)
	if !ok || state != http.StateIdle {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	c.used = true
	c.enter(phaseIdle)
	_ = c.applyDeadline()
}

// track follows the requests of a handler.
func (o *openRequests) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := requestConnOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.begin() {
			panic(http.ErrAbortHandler) // refused while its head was read
		}
		defer c.move(phaseAnswer)
		r = r.WithContext(r.Context()) // the HTTP server looks at the body of its own request
		r.Body = &followedBody{ReadCloser: r.Body, conn: c}
		next.ServeHTTP(w, r)
	})
}

// closeKept closes the kept connections between two requests, once the entry is stopping.
func (o *openRequests) closeKept() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyDeadlines()
}

// close closes all connections without a request, and reads none on new ones.
func (o *openRequests) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
	o.applyDeadlines()
}

// applyDeadlines makes connections read nothing more that are to be closed, so that the HTTP server closes them. The lock must
// be held.
func (o *openRequests) applyDeadlines() {
	for c := range o.conns {
		_ = c.applyDeadline()
	}
}

func (o *openRequests) isClosing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closing
}

// refuseUnread ends the reading of requests that have not been read whole, also of those whose refusal waits for the rest of
// their bodies. Those with a head are refused by their handlers.
func (o *openRequests) refuseUnread() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.conns {
		isUnread := c.phase == phaseHead || c.phase == phaseBody || c.phase == phaseLate
		if c.refused || c.closed || !isUnread {
			continue
		}
		c.refused = true
		if c.phase == phaseHead {
			c.refuseHead()
		}
		_ = c.applyDeadline()
	}
}

// inDrain returns the number of requests that a stopping entry still serves.
func (o *openRequests) inDrain() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count[phaseCall] + o.count[phaseBody] + o.count[phaseAnswer]
}

// open returns the number of requests that have begun and not ended.
func (o *openRequests) open() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.conns) - o.count[phaseIdle]
}

// inPhase returns the number of connections in a phase.
func (o *openRequests) inPhase(phase requestPhase) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count[phase]
}

// fields returns the number of connections in each phase, for logs.
func (o *openRequests) fields() log.Fields {
	o.mu.Lock()
	defer o.mu.Unlock()
	fields := log.Fields{}
	for phase := phaseIdle; phase < requestPhases; phase++ {
		fields["open_"+phase.String()] = o.count[phase]
	}
	return fields
}
