package control

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// poisonJSON is a request, or a part of prompts, under which backend servers crashed.
type poisonJSON struct {
	Organisation string   `json:"organisation"`
	Target       string   `json:"target,omitempty"` // of a part: the model or service
	Fingerprint  string   `json:"fingerprint"`      // of a part: its ID
	Standing     string   `json:"standing"`         // "watched" or "quarantined"
	Servers      []string `json:"servers"`          // those that crashed
	LeftMS       int64    `json:"left_ms"`          // until its standing is lowered
}

// clearPoisonJSON is the body of POST /v1/poison/clear, with the fields that name a record in the status.
type clearPoisonJSON struct {
	Organisation string `json:"organisation"`
	Target       string `json:"target"`
	Fingerprint  string `json:"fingerprint"`
}

// clearPoison serves POST /v1/poison/clear: an operator knows that a request or part doesn't crash servers any more. The call
// is idempotent.
func (c *Control) clearPoison(call echo.Context) error {
	data, err := readBody(call)
	if err != nil {
		return err
	}
	var in clearPoisonJSON
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return result.Wrap(err, result.FieldRefused, "%s", describeFieldError(err))
	}
	number, err := strconv.ParseUint(in.Fingerprint, 16, 64)
	if err != nil {
		return result.Wrap(err, result.FieldRefused, "fingerprint is not hexadecimal")
	}
	key := poison.Key{Organisation: in.Organisation, Fingerprint: poison.Fingerprint(number)}
	if in.Target != "" {
		key = poison.PartKey(in.Target, number)
	}
	record := c.poisonRecord(key)
	if record == nil {
		return result.New(result.NotFound, "no crashes are known under %s", key)
	}
	command := &wire.Command{Kind: &wire.Command_ClearPoison{ClearPoison: &wire.ClearPoison{Cleared: []*wire.PoisonRecord{record}}}}
	if _, err := c.commitOperatorChange(call, command); err != nil {
		return err
	}
	if again := c.poisonRecord(key); again != nil && again.GetVersion() != record.GetVersion() {
		return result.New(result.VersionConflict, "another crash under %s was recorded meanwhile", key)
	}
	return call.JSON(http.StatusOK, in)
}

// poisonRecord returns the record of a request or part as this instance knows it, nil for none.
func (c *Control) poisonRecord(key poison.Key) *wire.PoisonRecord {
	var found *wire.PoisonRecord
	c.machine.read(func(s *state.State) { found = s.PoisonRecord(key) })
	return found
}

func poisonStatus(records []*wire.PoisonRecord, now time.Time) []poisonJSON {
	out := []poisonJSON{}
	for _, record := range records {
		out = append(out, poisonJSON{
			Organisation: record.GetOrganisation(),
			Target:       record.GetTarget(),
			Fingerprint:  poison.Fingerprint(record.GetFingerprint()).String(),
			Standing:     poison.StandingOf(record).String(),
			Servers:      poison.CrashedServers(record),
			LeftMS:       max(int64(record.GetUntilUnixMs())-now.UnixMilli(), 0),
		})
	}
	return out
}
