package agent

import (
	"net/netip"
	"net/url"
	"strings"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of an announcement. A server that exceeds them is misconfigured. Without them any caller could grow the
// agent's memory and its directory record at control.
const (
	maxNameBytes = 128
	maxModels    = 256
	maxSlots     = 65536
	// maxSuspendedMs is the longest time, in milliseconds, for which a server keeps a suspended run.
	maxSuspendedMs = 10 * 60 * 1000
)

// schemeHTTP is prepended to an address that is only IP and port.
const schemeHTTP = "http://"

// checkAnnouncement validates a whole announcement and converts it to a directory record without a condition, whose
// address is a base URL. The error is a *result.Error with the code malformed_body that names the field. Nothing of an
// invalid announcement is used: a server with an incomplete record would get work that it can't do.
func checkAnnouncement(a *engine.Announcement) (*wire.ServerRecord, error) {
	if err := checkName("server", a.Server); err != nil {
		return nil, err
	}
	if a.Kind != engine.KindModel && a.Kind != engine.KindService {
		return nil, malformed("kind: want %q or %q, got %q", engine.KindModel, engine.KindService, a.Kind)
	}
	address, err := baseURL(a.Address)
	if err != nil {
		return nil, err
	}
	if err := checkModels(a); err != nil {
		return nil, err
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return nil, malformed("slots: want 1 to %d, got %d", maxSlots, a.Slots)
	}
	if a.Version != "" {
		if err := checkName("version", a.Version); err != nil {
			return nil, err
		}
	}
	if a.SuspendedMs < 0 || a.SuspendedMs > maxSuspendedMs {
		return nil, malformed("suspended_ms: want 0 to %d, got %d", maxSuspendedMs, a.SuspendedMs)
	}
	capabilities, err := checkCapabilities(a.Capabilities)
	if err != nil {
		return nil, err
	}
	return &wire.ServerRecord{
		Server:       a.Server,
		Kind:         string(a.Kind),
		Address:      address,
		Models:       a.Models,
		Slots:        uint32(a.Slots),
		Capabilities: capabilities,
		Version:      a.Version,
		Suspends:     a.SuspendedMs > 0,
		SuspendedMs:  uint32(a.SuspendedMs),
	}, nil
}

func malformed(format string, args ...any) error {
	return result.New(result.MalformedBody, format, args...)
}

// checkName validates a name that becomes a part of paths, logs and metrics.
func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return malformed("%s: want 1 to %d bytes, got %d", field, maxNameBytes, len(name))
	}
	if strings.ContainsFunc(name, isForbiddenInName) {
		return malformed("%s: want printable ASCII without spaces, quotes and slashes, got %q", field, name)
	}
	return nil
}

func isForbiddenInName(r rune) bool {
	return r <= ' ' || r > '~' || strings.ContainsRune(`"'\/?#%`, r)
}

// checkModels validates the names of models, which may contain slashes. A model server may have no model yet and wait
// for an order to load one; a service without a name could never be addressed.
func checkModels(a *engine.Announcement) error {
	if len(a.Models) > maxModels {
		return malformed("models: want at most %d, got %d", maxModels, len(a.Models))
	}
	if a.Kind == engine.KindService && len(a.Models) == 0 {
		return malformed("models: a service names itself here")
	}
	for _, model := range a.Models {
		if err := checkName("models", strings.ReplaceAll(model, "/", "-")); err != nil {
			return err
		}
	}
	return nil
}

func checkCapabilities(c engine.Capabilities) (*wire.Capabilities, error) {
	if c.Fencing != engine.FencingRefuses && c.Fencing != engine.FencingIgnores {
		return nil, malformed("capabilities.fencing: want %q or %q, got %q",
			engine.FencingRefuses, engine.FencingIgnores, c.Fencing)
	}
	if c.OnDisconnect != engine.DisconnectCancels && c.OnDisconnect != engine.DisconnectContinues {
		return nil, malformed("capabilities.on_disconnect: want %q or %q, got %q",
			engine.DisconnectCancels, engine.DisconnectContinues, c.OnDisconnect)
	}
	return &wire.Capabilities{
		Fencing:      string(c.Fencing),
		Kv:           c.KV,
		Resume:       c.Resume,
		OnDisconnect: string(c.OnDisconnect),
	}, nil
}

// baseURL converts "IP:port", or a base URL with such a host, to a base URL. Host names are refused: the agent
// resolves none, and a name could lead to another machine than the one that sent the announcement.
func baseURL(address string) (string, error) {
	text := address
	if !strings.Contains(text, "://") {
		text = schemeHTTP + text
	}
	base, err := url.Parse(text)
	if err != nil {
		return "", malformed("address: %q can't be read", address)
	}
	if base.Scheme != "http" && base.Scheme != "https" {
		return "", malformed("address: want http or https, got %q", address)
	}
	if base.User != nil || base.RawQuery != "" || base.Fragment != "" {
		return "", malformed("address: want no user, query or fragment, got %q", address)
	}
	host, err := netip.ParseAddrPort(base.Host)
	if err != nil || host.Port() == 0 || host.Addr().IsUnspecified() {
		return "", malformed("address: want IP:port, got %q", address)
	}
	return strings.TrimSuffix(base.String(), "/"), nil
}
