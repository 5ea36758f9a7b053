// Package quota enforces the usage caps of organisations across all entries of a deployment: in any window, an
// organisation uses no more than its rate times the window plus its burst, and the overrun that operators tolerate
// beyond that.
//
// Each entry holds a share of each cap and uses no more than that share in any window. The shares are part of the
// replicated state, which never lets their sum exceed the cap, see [state.State]; an entry changes its own shares by
// proposals as its use rises and falls. The cap therefore holds whichever process is disconnected, paused or killed,
// and doesn't depend on an estimate of the use elsewhere.
//
// [Caps] is the entry's side, [Ledger] and [Releaser] are control's side. The package needs neither a network nor a
// clock of its own: the caller passes in the times.
package quota
