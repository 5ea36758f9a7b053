package agent

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
)

// validAnnouncement returns an announcement that passes all checks.
func validAnnouncement() *engine.Announcement {
	return &engine.Announcement{
		Server:  "server-1",
		Kind:    engine.KindModel,
		Address: "10.0.0.7:9000",
		Models:  []string{"org/small"},
		Slots:   4,
		Capabilities: engine.Capabilities{
			Fencing:      engine.FencingIgnores,
			Resume:       true,
			OnDisconnect: engine.DisconnectContinues,
		},
	}
}

func TestCheckAnnouncementAccepts(t *testing.T) {
	for _, address := range []string{"10.0.0.7:9000", "http://10.0.0.7:9000", "http://10.0.0.7:9000/"} {
		announcement := validAnnouncement()
		announcement.Address = address
		announcement.Version = "v2.1"
		record, err := checkAnnouncement(announcement)
		require.NoError(t, err, address)
		assert.Equal(t, "http://10.0.0.7:9000", record.GetAddress())
		assert.Equal(t, uint32(4), record.GetSlots())
		assert.Equal(t, "v2.1", record.GetVersion())
		assert.True(t, record.GetCapabilities().GetResume())
	}
}

// An announcement with one invalid field must be refused as a whole. Otherwise the agent registers a server that can't
// be dialled, or takes work that the server can't do.
func TestCheckAnnouncementRefuses(t *testing.T) {
	tests := map[string]func(*engine.Announcement){
		"server":                     func(a *engine.Announcement) { a.Server = "" },
		"server: want printable":     func(a *engine.Announcement) { a.Server = "a/b" },
		"server: want 1 to":          func(a *engine.Announcement) { a.Server = strings.Repeat("s", maxNameBytes+1) },
		"version: want printable":    func(a *engine.Announcement) { a.Version = "v 2" },
		"kind":                       func(a *engine.Announcement) { a.Kind = "database" },
		"address: want IP:port":      func(a *engine.Announcement) { a.Address = "engine.example:9000" },
		"address: want IP":           func(a *engine.Announcement) { a.Address = "10.0.0.7" },
		"address: want IP:":          func(a *engine.Announcement) { a.Address = "10.0.0.7:0" },
		"address: want IP:p":         func(a *engine.Announcement) { a.Address = "0.0.0.0:9000" },
		"address: want http":         func(a *engine.Announcement) { a.Address = "ftp://10.0.0.7:9000" },
		"address: want no user":      func(a *engine.Announcement) { a.Address = "http://x@10.0.0.7:9000" },
		"address":                    func(a *engine.Announcement) { a.Address = "" },
		"models: want at most":       func(a *engine.Announcement) { a.Models = make([]string, maxModels+1) },
		"models: want 1 to":          func(a *engine.Announcement) { a.Models = []string{""} },
		"models: a service":          func(a *engine.Announcement) { a.Kind, a.Models = engine.KindService, nil },
		"slots: want 1 to":           func(a *engine.Announcement) { a.Slots = 0 },
		"slots: want":                func(a *engine.Announcement) { a.Slots = -1 },
		"slots":                      func(a *engine.Announcement) { a.Slots = maxSlots + 1 },
		"suspended_ms":               func(a *engine.Announcement) { a.SuspendedMs = maxSuspendedMs + 1 },
		"suspended_ms: want":         func(a *engine.Announcement) { a.SuspendedMs = -1 },
		"capabilities.fencing":       func(a *engine.Announcement) { a.Capabilities.Fencing = "maybe" },
		"capabilities.on_disconnect": func(a *engine.Announcement) { a.Capabilities.OnDisconnect = "" },
	}
	for message, invalidate := range tests {
		t.Run(message, func(t *testing.T) {
			announcement := validAnnouncement()
			invalidate(announcement)
			_, err := checkAnnouncement(announcement)
			require.Error(t, err)
			assert.True(t, result.Is(err, result.MalformedBody))
			assert.Contains(t, err.Error(), message)
		})
	}
}
