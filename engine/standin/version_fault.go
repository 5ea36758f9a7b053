package standin

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
)

// VersionFault makes a stand-in behave as a bad version of its software: some of its answers are
// failures, or take several times as long. The other fields limit when; together they cover versions
// that are bad at once, later, under load only, or on one route only.
type VersionFault struct {
	// Failures is the share of requests, 0 to 1, that get a status 500.
	Failures float64
	// Slow is how many times as long a request takes; 0 means 1.
	Slow float64
	// After is the time from the start of the server at which the fault begins.
	After time.Duration
	// MinRunning is the number of running requests, the present one included, from which on the
	// fault applies; 0 means any.
	MinRunning int
	// PathPrefix limits the fault to requests whose path begins with it; empty means all.
	PathPrefix string
}

// Validate returns all problems, joined, or nil.
func (f VersionFault) Validate() error {
	var problems []error
	if !isShare(f.Failures) {
		problems = append(problems, errors.New("version fault failures: must be from 0 to 1"))
	}
	if f.Slow != 0 && f.Slow < 1 {
		problems = append(problems, errors.New("version fault slow: must be 0 or at least 1"))
	}
	if f.After < 0 || f.MinRunning < 0 {
		problems = append(problems, errors.New("version fault after and min running: must not be negative"))
	}
	return errors.Join(problems...)
}

// applies reports whether the fault affects a request.
func (f VersionFault) applies(path string, running int, uptime time.Duration) bool {
	return (f.Failures > 0 || f.Slow > 1) && uptime >= f.After && running >= f.MinRunning && strings.HasPrefix(path, f.PathPrefix)
}

// applyVersionFault returns middleware that applies the fault of the stand-in's version to runs. It
// works outside of the handlers of runs: a failure is answered before the run begins, and a slow
// request waits before it, since its other steps are shared with other requests.
func (s *Server) applyVersionFault() echo.MiddlewareFunc {
	started := time.Now()
	var running, requests atomic.Int64
	var pace paceRatio
	fault := s.options.VersionFault
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if !s.isRun(c.Request()) {
				return next(c)
			}
			now := running.Add(1)
			defer running.Add(-1)
			s.options.RunLog.began()
			if !fault.applies(c.Request().URL.Path, int(now), time.Since(started)) {
				return next(c)
			}
			if fault.Failures > 0 && s.faults.random("version_failure", uint64(requests.Add(1))) < fault.Failures {
				defer s.options.RunLog.spoiled()
				return respondInternalError(c)
			}
			if fault.Slow > 1 {
				defer s.options.RunLog.spoiled()
			}
			nominal, err := s.delayRun(c, fault.Slow, pace.get())
			if err != nil {
				return abort()
			}
			begun := time.Now()
			err = next(c)
			if err == nil && c.Request().Context().Err() == nil {
				pace.add(time.Since(begun), nominal)
			}
			return err
		}
	}
}

// isRun reports whether a call is a completion or the call of a plain service.
func (s *Server) isRun(request *http.Request) bool {
	if request.Method != http.MethodPost || isControlPath(request.URL.Path) {
		return false
	}
	if s.options.Kind == engine.KindService {
		return true
	}
	return request.URL.Path == "/v1/chat/completions" || request.URL.Path == "/v1/completions"
}

// delayRun waits for as long as the request takes beyond its usual time, and returns the time that the request would take alone at
// the server, 0 if that is not known. pace is by how much the usual time exceeds that.
func (s *Server) delayRun(c echo.Context, slow, pace float64) (nominal time.Duration, err error) {
	if slow <= 1 {
		return 0, nil
	}
	nominal = s.options.ServiceTime
	if s.model != nil {
		body, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return 0, err
		}
		c.Request().Body = io.NopCloser(bytes.NewReader(body))
		spec, err := s.model.batch.parse(body)
		if err != nil {
			return 0, nil // the handler refuses it
		}
		nominal = s.options.stepTime(spec.PromptTokens, 0) + time.Duration(spec.Total)*s.options.DecodePace
	}
	ctx, stop := s.untilCrash()
	defer stop()
	return nominal, pause(ctx, time.Duration((slow-1)*pace*float64(nominal)))
}

// paceRatio is a running average of the time that runs took over the time that they would take alone: other runs share the
// steps of an engine, and timers of a busy machine fire late. Without it, a version that is to take four times as long would take
// two to three times as long.
type paceRatio struct {
	mu    sync.Mutex
	ratio float64 // 0 before the first run
}

// paceWeight is the weight of a new run.
const paceWeight = 1.0 / 16

func (p *paceRatio) get() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ratio == 0 {
		return 1
	}
	return p.ratio
}

func (p *paceRatio) add(took, nominal time.Duration) {
	if nominal <= 0 {
		return
	}
	sample := float64(took) / float64(nominal)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ratio == 0 {
		p.ratio = sample
		return
	}
	p.ratio += paceWeight * (sample - p.ratio)
}
