package link

import "github.com/go-faster/errors"

// Errors that end a link, to be matched with errors.Is.
var (
	// ErrSilent: no heartbeat came for Timing.Silence.
	ErrSilent = errors.New("link: no heartbeat")
	// ErrProtocol: the peer sent what the protocol doesn't allow at that point.
	ErrProtocol = errors.New("link: protocol error")
	// ErrReplaced: the same entry opened a newer link.
	ErrReplaced = errors.New("link: replaced by a newer link")
	// ErrOtherInstance: another instance than the wanted one answered at the address.
	ErrOtherInstance = errors.New("link: another instance answers at this address")
	// ErrNoClientAuth: the TLS configuration of a server would let strangers in.
	ErrNoClientAuth = errors.New("link: TLS without required client certificates")
)
