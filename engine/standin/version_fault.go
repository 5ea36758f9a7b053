package standin

import (
	"bytes"
	"io"
	"net/http"
	"strings"
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
			if err := s.delayRun(c, fault.Slow); err != nil {
				return abort()
			}
			return next(c)
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

// delayRun waits for as long as the request takes beyond its usual time.
func (s *Server) delayRun(c echo.Context, slow float64) error {
	if slow <= 1 {
		return nil
	}
	usual := s.options.ServiceTime
	if s.model != nil {
		body, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return err
		}
		c.Request().Body = io.NopCloser(bytes.NewReader(body))
		spec, err := s.model.batch.parse(body)
		if err != nil {
			return nil // the handler refuses it
		}
		usual = s.options.stepTime(spec.PromptTokens, 0) + time.Duration(spec.Total)*s.options.DecodePace
	}
	ctx, stop := s.untilCrash()
	defer stop()
	return pause(ctx, time.Duration((slow-1)*float64(usual)))
}
