package link

import "github.com/go-faster/errors"

// Errors that end a link, for use with errors.Is.
var (
	// ErrSilent means that no heartbeat arrived within the silence timeout.
	ErrSilent = errors.New("link: no heartbeat")
	// ErrProtocol means that the peer sent a message that the protocol does not allow at that point.
	ErrProtocol = errors.New("link: protocol error")
	// ErrReplaced means that the same entry opened a newer link.
	ErrReplaced = errors.New("link: replaced by a newer link")
	// ErrOtherInstance means that another instance than the expected one answered at the address.
	ErrOtherInstance = errors.New("link: another instance answers at this address")
	// ErrNoClientAuth means that the TLS configuration of a server would accept untrusted clients.
	ErrNoClientAuth = errors.New("link: TLS without required client certificates")
)
