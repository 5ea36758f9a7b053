// Package retry accounts for the repeats of requests that one entry sends to a service.
//
// A deployment bounds the repeats that reach a service: in any window, those of all entries together may number a share of
// the requests for it plus an allowance. Each entry keeps a [Budget] for each service. Entries exchange nothing, so what the
// budgets of all processes permit has to add up to the bound by itself:
//
//   - The share of requests is of the requests that the process itself has received. The requests credited to a window
//     are a weighted mean of those in windows that the bound may refer to, with the same weights everywhere, so that the
//     sum over all processes is within the bound.
//   - The allowance is divided by the number of entries, see [Members]. A process that starts has no part in windows that
//     began before it: its predecessor may have used the part.
//   - A repeat counts from the decision on, and in the windows of its arrival. One of which it isn't known whether it
//     arrived counts as arrived.
//
// The package is pure: it gets the time with each call and has no goroutines.
package retry
