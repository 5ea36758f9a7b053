package engine

// Fencing says whether an engine checks the fence numbers of orders.
type Fencing string

// The behaviours towards fence numbers.
const (
	FencingRefuses Fencing = "refuses"
	FencingIgnores Fencing = "ignores"
)

// OnDisconnect says what an engine does with a stream whose connection is lost.
type OnDisconnect string

// The behaviours at a lost connection.
const (
	DisconnectCancels   OnDisconnect = "cancels"
	DisconnectContinues OnDisconnect = "continues"
)

// Capabilities are what a backend server says it can do.
type Capabilities struct {
	Fencing      Fencing      `json:"fencing"`
	KV           bool         `json:"kv"`
	Resume       bool         `json:"resume"`
	OnDisconnect OnDisconnect `json:"on_disconnect"`
}

// Announcement is what a backend server posts to its agent each second, at
// /v1/announce.
type Announcement struct {
	Server string `json:"server"`
	Kind   Kind   `json:"kind"`
	// Address is the base URL of the backend server.
	Address string `json:"address"`
	// Models are the models that are ready; of a plain service, its name.
	Models       []string     `json:"models"`
	Slots        int          `json:"slots"`
	Capabilities Capabilities `json:"capabilities"`
}

// LeaveRequest is what a backend server posts to its agent to leave gracefully, at
// /v1/leave.
type LeaveRequest struct {
	Server string `json:"server"`
}

// LeaveState is the agent's answer at /v1/leave/{server}.
type LeaveState string

// The states of a graceful leave.
const (
	LeaveDraining LeaveState = "draining"
	LeaveDrained  LeaveState = "drained"
)
