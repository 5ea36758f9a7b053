package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/result"
)

// Limits of an HTTP connection.
const (
	httpHeaderTimeout = 5 * time.Second
	httpReadTimeout   = time.Minute
	httpIdleTimeout   = 2 * time.Minute
)

// Request and response headers.
const (
	headerRequestID      = "Carawaypitch-Request-Id"
	headerClass          = "Carawaypitch-Class"
	headerDeadline       = "Carawaypitch-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
)

func (e *Entry) listen() (net.Listener, error) {
	config, err := e.settings.CallerTLS.ServerConfig()
	if err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	listener, err := e.network.Listen(e.settings.Listen.Callers)
	if err != nil {
		return nil, errors.Wrap(err, "entry: listen")
	}
	if config == nil {
		listener = e.options.Inbound.Listen(listener)
	} else {
		listener = e.options.Inbound.ListenForTLS(listener)
	}
	turned := new(turnedAwayLog)
	listener = turningListener{Listener: listener, turnsAway: e.turnsAway, turnedAway: func(reason turnAwayReason) {
		e.noteTurnedAway(turned, reason)
	}}
	if e.memory != nil {
		listener = callerListener{Listener: listener, bufferBytes: int(e.settings.Memory.ReaderWindowBytes)}
	}
	wait := e.meter.set.GetOrCreateHistogram(metricConnectionWait)
	listener = intakeListener{Listener: listener, began: func(waited time.Duration) {
		wait.Update(waited.Seconds())
		e.intake.observe(time.Now(), waited)
	}}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return e.requests.listen(listener), nil
}

// runHTTP serves callers until ctx ends.
func (e *Entry) runHTTP(ctx context.Context) error {
	server := &http.Server{
		Handler:           e.options.Inbound.Handler(e.closeConnectionsWhenStopping(e.requests.track(e.memory.countRequests(e.handler())))),
		ReadHeaderTimeout: httpHeaderTimeout,
		ReadTimeout:       httpReadTimeout,
		IdleTimeout:       httpIdleTimeout,
		MaxHeaderBytes:    inbound.MaxHeaderBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return withCallerConn(inbound.ConnContext(ctx, conn), conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			inbound.ConnState(conn, state)
			e.requests.stateChanged(conn, state)
		},
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		e.answerRemaining(context.WithoutCancel(ctx))
		server.Close()
	})
	err := server.Serve(e.listener)
	if e.requests.isClosing() {
		<-ctx.Done() // the last requests have their answers by then
	}
	if !stop() {
		<-stopped
		return nil
	}
	server.Close()
	return errors.Wrap(err, "entry: http")
}

// closeConnectionsWhenStopping closes the caller's connection after each response while the entry is stopping.
//
// Load balancers choose an entry for new connections only. A caller that kept its connection would send on it until the
// process ends, and be refused each time.
func (e *Entry) closeConnectionsWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() || e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// handler returns the handler for callers: the product's own HTTP interface, unless Options.Callers replaces it.
func (e *Entry) handler() http.Handler {
	if e.options.Callers != nil {
		return e.options.Callers(e)
	}
	return e.routes()
}

func (e *Entry) routes() *echo.Echo {
	r := process.NewRouter(process.Probes{Ready: e.Ready, WriteMetrics: e.meter.set.WritePrometheus}, e.httpError)
	r.Use(assignRequestID)
	r.POST("/v1/chat/completions", e.postCompletion)
	r.POST("/v1/completions", e.postCompletion)
	r.POST("/v1/services/:service/*", e.postService)
	r.GET("/v1/models", e.getModels)
	r.GET("/v1/requests", e.getRequests)
	r.GET("/v1/requests/:id", e.getRequest)
	return r
}

// assignRequestID sets the request ID on each response before anything can fail.
func assignRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(headerRequestID, uuid.NewString())
		return next(c)
	}
}

func requestID(c echo.Context) string {
	return c.Response().Header().Get(headerRequestID)
}

// httpError responds with the result code of an error.
func (e *Entry) httpError(err error, c echo.Context) {
	refusal := process.ResultFrom(err)
	e.meter.countRefusal(refusal.Code, 0)
	e.replyError(c, refusal)
}

// authenticate returns the organisation whose key was sent.
func (e *Entry) authenticate(c echo.Context) (string, *result.Error) {
	key, ok := process.BearerKey(c.Request())
	if !ok {
		return "", result.New(result.MissingKey, "")
	}
	name, ok := e.keys.Find(key)
	if !ok {
		return "", result.New(result.WrongKey, "")
	}
	return name, nil
}

// Ready returns the reason that the entry may not receive requests, or nil if it may.
func (e *Entry) Ready() error {
	if successor := e.successor.Load(); successor != nil {
		return successor.Ready()
	}
	if e.leaving.Load() {
		return result.New(result.Stopping, "")
	}
	if err := e.notReady(); err != nil {
		return err
	}
	if kind := e.catalogue.Load().missingKind(); kind != "" && e.now().Sub(e.started) < directoryWait {
		return result.New(result.Starting, "the directory lists no backend server of kind %s yet", kind)
	}
	return nil
}

// directoryWait is how long after its start an entry is not ready because the directory lists no backend server of a kind
// that a class is for. Agents that start with the entry register within a second or two; a deployment may also have none
// of that kind.
const directoryWait = 5 * time.Second
