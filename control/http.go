package control

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Headers of operators' calls.
const (
	headerIfMatch  = "If-Match"
	headerChangeID = "Change-Id"
	headerETag     = "ETag"
)

// maxOperatorBody bounds the body of an operator's call, in bytes.
const maxOperatorBody = 64 << 10

// operatorContextKey is the key of the operator's name in the echo context of a call.
const operatorContextKey = "operator"

// routes returns the HTTP interface for operators and for the platform.
func (c *Control) routes() http.Handler {
	e := process.NewRouter(process.Probes{Ready: c.Ready, WriteMetrics: c.options.Metrics.WritePrometheus}, c.writeError)
	e.GET("/v1/classes", c.getClasses, c.authenticate)
	e.GET("/v1/classes/:name", c.getClass, c.authenticate)
	e.PUT("/v1/classes/:name", c.putClass, c.authenticate)
	e.DELETE("/v1/classes/:name", c.deleteClass, c.authenticate)
	e.GET("/v1/status", c.getStatus, c.authenticate)
	e.GET("/v1/servers", c.getServers, c.authenticate)
	e.POST("/v1/servers/:name/drain", c.drainServer, c.authenticate)
	e.POST("/v1/poison/clear", c.clearPoison, c.authenticate)
	e.GET("/v1/rollouts", c.getRollouts, c.authenticate)
	e.POST("/v1/rollouts", c.postRollout, c.authenticate)
	e.GET("/v1/rollouts/:service", c.getRollout, c.authenticate)
	e.GET("/v1/organisations", c.getOrganisations, c.authenticate)
	return e
}

// authenticate passes only calls with a valid operator key.
func (c *Control) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(call echo.Context) error {
		key, isBearer := process.BearerKey(call.Request())
		operator, known := c.keys.Find(key)
		if !isBearer || !known {
			return result.New(result.OperatorKeyWrong, "")
		}
		call.Set(operatorContextKey, operator)
		return next(call)
	}
}

func operatorOf(call echo.Context) string {
	name, _ := call.Get(operatorContextKey).(string)
	return name
}

// awaitQuorum waits until a quorum confirms that the state at this instance is at least as new as the call.
func (c *Control) awaitQuorum(call echo.Context) error {
	return c.reads.wait(call.Request().Context())
}

// errorBody is the JSON form of a refusal. Version is the version in force, set only with result.VersionConflict.
type errorBody struct {
	Error   json.RawMessage `json:"error"`
	Version *uint64         `json:"version,omitempty"`
}

// versionConflict is a refusal that names the version in force.
type versionConflict struct {
	refusal *result.Error
	version uint64
}

// Error implements error.
func (c versionConflict) Error() string { return c.refusal.Error() }

// Unwrap returns the refusal without the version.
func (c versionConflict) Unwrap() error { return c.refusal }

// writeError writes the response to a call whose handler returned an error.
func (c *Control) writeError(err error, call echo.Context) {
	if call.Response().Committed {
		return
	}
	failure := process.ResultFrom(err)
	c.counters.refused(failure.Code).Inc()
	var body errorBody
	encoded, _ := json.Marshal(failure)
	_ = json.Unmarshal(encoded, &body)
	var conflict versionConflict
	if errors.As(err, &conflict) {
		body.Version = &conflict.version
	}
	if failure.RetryAfter > 0 {
		seconds := (failure.RetryAfter + time.Second - 1) / time.Second
		call.Response().Header().Set(echo.HeaderRetryAfter, formatUint(uint64(seconds)))
	}
	_ = call.JSON(failure.Status(), body)
}

// resultError returns the error of a refused command, or nil.
func resultError(res *wire.CommandResult) error {
	code := result.Code(res.GetCode())
	if code == 0 {
		return nil
	}
	failure := result.New(code, "%s", res.GetMessage())
	if code != result.VersionConflict {
		return failure
	}
	version := res.GetClass().GetVersion()
	if version == 0 {
		version = res.GetVersion()
	}
	return versionConflict{failure, version}
}
