// Package quota keeps the usage caps of organisations over all entries of a deployment: in any window, an organisation uses
// no more than its rate times the window plus its burst, and what operators tolerate beyond that.
//
// Each entry holds a share of each cap and uses no more than it in any window. The shares are part of the replicated state,
// which never lets them add up to more than the cap, see [state.State]; an entry moves its own by proposals, as its use
// rises and falls. So the cap holds whoever is cut off, frozen or killed, with no estimate of what others use.
//
// [Caps] is an entry's side, [Ledger] and [Releaser] are control's. The package needs no network and no clock of its own:
// times come from the caller.
package quota
