package engine

// Fencing states whether an engine checks the fence numbers of orders.
type Fencing string

// The behaviours towards fence numbers.
const (
	// FencingRefuses rejects orders with a stale fence number; FencingIgnores carries out every
	// order.
	FencingRefuses Fencing = "refuses"
	FencingIgnores Fencing = "ignores"
)

// OnDisconnect states what an engine does with a stream whose connection is lost.
type OnDisconnect string

// The behaviours at a lost connection.
const (
	// DisconnectCancels ends the stream; DisconnectContinues keeps generating.
	DisconnectCancels   OnDisconnect = "cancels"
	DisconnectContinues OnDisconnect = "continues"
)

// Capabilities are the optional features that a backend server declares.
type Capabilities struct {
	Fencing      Fencing      `json:"fencing"`
	KV           bool         `json:"kv"`
	Resume       bool         `json:"resume"`
	OnDisconnect OnDisconnect `json:"on_disconnect"`
}

// Announcement is the body that a backend server posts to its agent every second, at
// /v1/announce.
type Announcement struct {
	Server string `json:"server"`
	Kind   Kind   `json:"kind"`
	// Address is the base URL of the backend server.
	Address string `json:"address"`
	// Models lists the models that are loaded and ready; for a plain service, the service name.
	Models       []string     `json:"models"`
	Slots        int          `json:"slots"`
	Capabilities Capabilities `json:"capabilities"`
	// Version is the version of the server's software, empty if it doesn't say.
	Version string `json:"version,omitempty"`
	// SuspendedMs is how long the server keeps the memory of a suspended run, in milliseconds; 0 if
	// it can't suspend runs.
	SuspendedMs int64 `json:"suspended_ms,omitempty"`
}

// LeaveRequest is the body that a backend server posts to its agent, at /v1/leave, to start a
// graceful leave.
type LeaveRequest struct {
	Server string `json:"server"`
}

// LeaveState is the agent's response at /v1/leave/{server}.
type LeaveState string

// The states of a graceful leave.
const (
	LeaveDraining LeaveState = "draining"
	LeaveDrained  LeaveState = "drained"
)
