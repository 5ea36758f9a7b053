// Package holding counts the bytes that a process holds for calls: by call, by organisation and in total. It decides
// which calls end when the process holds as much as it may, and which organisations get no new work. It does no I/O,
// reads no clock and starts no goroutines.
//
// What a single call may hold is decided elsewhere, by the window of its reader. A Ledger only decides what all calls
// may hold together.
package holding

// Kind is what bytes are held for.
type Kind uint8

// The kinds.
const (
	// Body is a request's body, from when it is read until the request has ended.
	Body Kind = iota
	// Waiting are parts of an answer that wait to be written.
	Waiting
	// Assembled is an answer that is collected until it is whole.
	Assembled
	// Pinned is what ending the call doesn't free at once: what a blocked write refers to, and what an operation needs
	// that goes on without its caller. It stays counted until Close.
	Pinned

	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Body, Waiting, Assembled, Pinned} }

// String returns the name used in metrics and logs.
func (k Kind) String() string {
	switch k {
	case Body:
		return "body"
	case Waiting:
		return "waiting"
	case Assembled:
		return "assembled"
	default:
		return "pinned"
	}
}

// Limits bound what a Ledger counts.
type Limits struct {
	// Bytes is the most that all calls may hold together.
	Bytes int64
	// OrganisationShare is the share of Bytes that one organisation may hold while others hold anything too. Above it,
	// the organisation gets no new work.
	OrganisationShare float64
}

// Account is what one call holds. Its fields are changed by the Ledger only.
type Account struct {
	id           string
	organisation string
	bytes        [kinds]int64
	ended        bool
	heldAtEnd    int64
	closed       bool
}

// ID returns the name of the call.
func (a *Account) ID() string { return a.id }

// Organisation returns the organisation that the bytes count for.
func (a *Account) Organisation() string { return a.organisation }

// Bytes returns what the account holds.
func (a *Account) Bytes() int64 {
	total := int64(0)
	for _, n := range a.bytes {
		total += n
	}
	return total
}

// Of returns what the account holds of one kind.
func (a *Account) Of(kind Kind) int64 { return a.bytes[kind] }

// Ended reports whether the call was ended to make room.
func (a *Account) Ended() bool { return a.ended }

// HeldAtEnd returns what an ended call held before it was ended.
func (a *Account) HeldAtEnd() int64 { return a.heldAtEnd }

// freeable returns what ending the call frees at once.
func (a *Account) freeable() int64 {
	if a.ended {
		return 0
	}
	return a.Bytes() - a.bytes[Pinned]
}

// Ledger holds the accounts of all calls. It is not safe for concurrent use.
type Ledger struct {
	limits        Limits
	total         int64
	byKind        [kinds]int64
	organisations map[string]*organisation
}

type organisation struct {
	bytes    int64
	accounts map[*Account]struct{}
}

// New returns an empty Ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, organisations: make(map[string]*organisation)}
}

// Open adds an account. It has to be closed.
func (l *Ledger) Open(id, name string) *Account {
	a := &Account{id: id, organisation: name}
	l.organisation(name).accounts[a] = struct{}{}
	return a
}

func (l *Ledger) organisation(name string) *organisation {
	o := l.organisations[name]
	if o == nil {
		o = &organisation{accounts: make(map[*Account]struct{})}
		l.organisations[name] = o
	}
	return o
}

// Assign sets the name and the organisation of an account, once they are known.
func (l *Ledger) Assign(a *Account, id, name string) {
	a.id = id
	if a.closed || a.organisation == name {
		return
	}
	l.leave(a)
	a.organisation = name
	o := l.organisation(name)
	o.accounts[a] = struct{}{}
	o.bytes += a.Bytes()
}

// leave removes an account and its bytes from its organisation, and the organisation if it was the last.
func (l *Ledger) leave(a *Account) {
	o := l.organisations[a.organisation]
	delete(o.accounts, a)
	o.bytes -= a.Bytes()
	if len(o.accounts) == 0 {
		delete(l.organisations, a.organisation)
	}
}

// Close removes an account with all that it holds.
func (l *Ledger) Close(a *Account) {
	if a.closed {
		return
	}
	for kind := range kinds {
		l.change(a, kind, -a.bytes[kind])
	}
	l.leave(a)
	a.closed = true
}

func (l *Ledger) change(a *Account, kind Kind, n int64) {
	a.bytes[kind] += n
	l.byKind[kind] += n
	l.total += n
	l.organisations[a.organisation].bytes += n
}

// Hold adds n bytes to an account whose call is being served. While they don't fit, the call that holds most of the
// organisation that holds most ends; Hold returns these calls, of which the caller has to drop all that they hold. ok is
// false if the bytes are not held: the account's own call is among those that ended, or had ended before, or nothing
// that could end is left.
func (l *Ledger) Hold(a *Account, kind Kind, n int64) (ended []*Account, ok bool) {
	if a.closed || a.ended {
		return nil, false
	}
	if n > l.limits.Bytes {
		l.end(a)
		return []*Account{a}, false
	}
	for !l.fits(n) {
		victim := l.largest()
		if victim == nil {
			return ended, false
		}
		l.end(victim)
		ended = append(ended, victim)
		if victim == a {
			return ended, false
		}
	}
	l.change(a, kind, n)
	return ended, true
}

// Admit adds n bytes to the account of a call that has not begun. Only calls of organisations over their share end to
// make room for it; otherwise the new call is the one that has to wait. Hold describes the results.
func (l *Ledger) Admit(a *Account, kind Kind, n int64) (ended []*Account, ok bool) {
	if a.closed || a.ended || n > l.limits.Bytes {
		return nil, false
	}
	for !l.fits(n) {
		victim := l.largest()
		if victim == nil || victim.organisation == a.organisation || !l.OverShare(victim.organisation) {
			return ended, false
		}
		l.end(victim)
		ended = append(ended, victim)
	}
	l.change(a, kind, n)
	return ended, true
}

// Set sets what an account holds of a kind. Hold describes the results.
func (l *Ledger) Set(a *Account, kind Kind, n int64) (ended []*Account, ok bool) {
	if a.closed || a.ended {
		return nil, false
	}
	if more := n - a.bytes[kind]; more > 0 {
		return l.Hold(a, kind, more)
	}
	l.change(a, kind, n-a.bytes[kind])
	return nil, true
}

// Add adds n bytes to an account whether they fit or not, for what can neither be refused nor dropped.
func (l *Ledger) Add(a *Account, kind Kind, n int64) {
	if !a.closed {
		l.change(a, kind, n)
	}
}

// Release subtracts up to n bytes.
func (l *Ledger) Release(a *Account, kind Kind, n int64) {
	if a.closed {
		return
	}
	l.change(a, kind, -min(n, a.bytes[kind]))
}

// Move changes the kind of up to n bytes.
func (l *Ledger) Move(a *Account, from, to Kind, n int64) {
	if a.closed {
		return
	}
	n = min(n, a.bytes[from])
	l.change(a, from, -n)
	l.change(a, to, n)
}

// End ends a call for another reason than a lack of room. What Close would free later, except for Pinned, is free at
// once.
func (l *Ledger) End(a *Account) {
	if !a.closed && !a.ended {
		l.end(a)
	}
}

func (l *Ledger) end(a *Account) {
	a.ended = true
	a.heldAtEnd = a.Bytes()
	for kind := range kinds {
		if kind != Pinned {
			l.change(a, kind, -a.bytes[kind])
		}
	}
}

func (l *Ledger) fits(n int64) bool { return l.total+n <= l.limits.Bytes }

// largest returns the call that frees most, of the organisation that holds most. Organisations that can free nothing
// are passed over. Ties are broken by name, so that the same history gives the same decisions.
func (l *Ledger) largest() *Account {
	var found *Account
	var most int64
	for name, o := range l.organisations {
		if found != nil && (o.bytes < most || o.bytes == most && name > found.organisation) {
			continue
		}
		if a := o.largest(); a != nil {
			found, most = a, o.bytes
		}
	}
	return found
}

// largest returns the call that frees most, nil if none frees anything.
func (o *organisation) largest() *Account {
	var found *Account
	for a := range o.accounts {
		n := a.freeable()
		if n == 0 || found != nil && (n < found.freeable() || n == found.freeable() && a.id > found.id) {
			continue
		}
		found = a
	}
	return found
}

// OverShare reports whether an organisation holds more than its share while others hold anything too.
func (l *Ledger) OverShare(name string) bool {
	held := l.Organisation(name)
	return l.total > held && float64(held) > l.limits.OrganisationShare*float64(l.limits.Bytes)
}

// Total returns what all calls hold.
func (l *Ledger) Total() int64 { return l.total }

// OfKind returns what all calls hold of a kind.
func (l *Ledger) OfKind(kind Kind) int64 { return l.byKind[kind] }

// Organisation returns what the calls of an organisation hold.
func (l *Ledger) Organisation(name string) int64 {
	if o := l.organisations[name]; o != nil {
		return o.bytes
	}
	return 0
}

// Organisations returns what each organisation with open calls holds.
func (l *Ledger) Organisations() map[string]int64 {
	held := make(map[string]int64, len(l.organisations))
	for name, o := range l.organisations {
		held[name] = o.bytes
	}
	return held
}
