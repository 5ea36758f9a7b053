package settings

import "github.com/carawaypitch/carawaypitch/result"

// Inbound bounds what clients make a process hold, over all of its listeners.
type Inbound struct {
	// Bytes is the maximum total size, in bytes: 80 KiB for each connection, and what is read of requests until they have been answered.
	// It should be at most half of the memory of the process. Default 256 MiB.
	Bytes Size `json:"bytes"`
	// Connections is the maximum number of connections from clients. Default 0: half of the descriptors that the system allows the
	// process beyond 200.
	Connections int `json:"connections"`
}

const (
	defaultInboundBytes = 256 * MiB
	leastInboundBytes   = 16 * MiB
)

func defaultInbound() Inbound { return Inbound{Bytes: defaultInboundBytes} }

func (i Inbound) validate(c *checker) {
	if i.Bytes < leastInboundBytes {
		c.report(result.SettingsOutOfRange, "inbound.bytes", "want at least %d bytes, got %d", leastInboundBytes, i.Bytes)
	}
	if i.Connections < 0 {
		c.report(result.SettingsOutOfRange, "inbound.connections", "want a number of at least 0, got %d", i.Connections)
	}
}
