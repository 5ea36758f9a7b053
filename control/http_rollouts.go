package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// rolloutsJSON is the answer of GET /v1/rollouts.
type rolloutsJSON struct {
	Rollouts []rolloutJSON `json:"rollouts"`
}

// rolloutJSON is a roll-out in the operators' interface.
type rolloutJSON struct {
	Service       string               `json:"service"`
	To            string               `json:"to"`
	State         string               `json:"state"` // "in_progress", "completed" or "reverted"
	Reason        string               `json:"reason,omitempty"`
	ID            uint64               `json:"id"`
	DurationMS    uint64               `json:"duration_ms"`
	OrderedUnixMS uint64               `json:"ordered_unix_ms"`
	EndedUnixMS   uint64               `json:"ended_unix_ms,omitempty"`
	Versions      []versionAnswersJSON `json:"versions"` // answers since the order, as recorded in the log
}

// versionAnswersJSON counts the answers of one version.
type versionAnswersJSON struct {
	Version  string `json:"version"`
	Answers  uint64 `json:"answers"`
	Failures uint64 `json:"failures"`
	Slow     uint64 `json:"slow"`
}

func toRolloutJSON(r *wire.Rollout) rolloutJSON {
	return rolloutJSON{
		Service:       r.GetPool(),
		To:            r.GetTo(),
		State:         r.GetState().Name(),
		Reason:        r.GetReason(),
		ID:            r.GetId(),
		DurationMS:    r.GetDurationMs(),
		OrderedUnixMS: r.GetOrderedUnixMs(),
		EndedUnixMS:   r.GetEndedUnixMs(),
		Versions:      answersByVersion(r.GetCounts()),
	}
}

func toRolloutsJSON(records []*wire.Rollout) []rolloutJSON {
	out := []rolloutJSON{}
	for _, record := range records {
		out = append(out, toRolloutJSON(record))
	}
	return out
}

// answersByVersion adds up counts over the classes. Counts are sorted by version.
func answersByVersion(counts []*wire.RolloutCount) []versionAnswersJSON {
	out := []versionAnswersJSON{}
	for _, c := range counts {
		if len(out) == 0 || out[len(out)-1].Version != c.GetVersion() {
			out = append(out, versionAnswersJSON{Version: c.GetVersion()})
		}
		last := &out[len(out)-1]
		last.Answers += c.GetAnswers()
		last.Failures += c.GetFailures()
		last.Slow += c.GetSlow()
	}
	return out
}

// startRolloutJSON is the body of POST /v1/rollouts.
type startRolloutJSON struct {
	Service    string `json:"service"`
	To         string `json:"to"`
	DurationMS uint64 `json:"duration_ms"`
}

// postRollout serves POST /v1/rollouts. It needs no Change-Id: an order that is sent again is the same order.
func (c *Control) postRollout(call echo.Context) error {
	data, err := readBody(call)
	if err != nil {
		return err
	}
	var in startRolloutJSON
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return result.Wrap(err, result.InvalidRollout, "%s", describeFieldError(err))
	}
	ctx, cancel := context.WithTimeout(call.Request().Context(), changeTimeout)
	defer cancel()
	held, err := c.StartRollout(ctx, &wire.StartRollout{Pool: in.Service, To: in.To, DurationMs: in.DurationMS})
	c.log.WithField("operator", operatorOf(call)).
		WithField("path", call.Request().URL.Path).
		WithField("method", call.Request().Method).
		WithField("code", uint16(result.CodeOf(err))).
		Info("operator_change")
	if err != nil {
		return err
	}
	return call.JSON(http.StatusOK, toRolloutJSON(held))
}

// getRollout serves GET /v1/rollouts/{service}.
func (c *Control) getRollout(call echo.Context) error {
	held, err := c.Rollout(call.Request().Context(), call.Param("service"))
	if err != nil {
		return err
	}
	return call.JSON(http.StatusOK, toRolloutJSON(held))
}

// getRollouts serves GET /v1/rollouts.
func (c *Control) getRollouts(call echo.Context) error {
	held, err := c.Rollouts(call.Request().Context())
	if err != nil {
		return err
	}
	return call.JSON(http.StatusOK, rolloutsJSON{toRolloutsJSON(held)})
}
