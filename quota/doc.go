// Package quota keeps the usage caps of organisations over all entries of a deployment: in any window, an organisation uses
// no more than its rate times the window plus its burst, and what operators tolerate beyond that.
//
// An entry holds [Caps] and admits requests by them. It tells the control instances what it has used with each poll, and
// they answer with what the others have used, from a [Ledger] each. The package needs no network and no clock of its own:
// times come from the caller.
package quota
