package control

import (
	"time"

	"github.com/carawaypitch/carawaypitch/poison"
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
