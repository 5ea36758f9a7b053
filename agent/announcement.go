package agent

import (
	"net/netip"
	"net/url"
	"strings"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of an announcement. A server beyond them is misconfigured: one would notice it as an agent whose memory, or
// whose directory record at control, grows with what a stranger posts.
const (
	maxNameBytes = 128
	maxModels    = 256
	maxSlots     = 65536
)

// schemeHTTP is put before an address that is only IP and port.
const schemeHTTP = "http://"

// checkAnnouncement checks an announcement whole and returns it as a directory record without a condition. Its
// address becomes a base URL. The error is a *result.Error of code malformed_body that names the field: nothing of a
// faulty announcement is taken over, since a server with half a record would get work that it can't do.
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
	}, nil
}

func malformed(format string, args ...any) error {
	return result.New(result.MalformedBody, format, args...)
}

// checkName checks a name that becomes a part of paths, logs and metrics.
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

// checkModels checks the names of models, which may hold slashes. A model server without a model is one that
// waits for an order to load one; a service without a name could never be asked for.
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

// baseURL reads "IP:port", or a base URL whose host is such, and returns the base URL. Host names are refused: the
// agent resolves none, and a name could lead to another machine than the one that announced.
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
