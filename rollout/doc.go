// Package rollout decides whether a roll-out continues, is completed or is reverted, from the answers of the new version
// and of all others.
//
// It is pure: sums of evidence and the time go in, a verdict comes out. A [Ledger] adds up what entries report, [Merge]
// combines it with what the log recorded, and a [Judge] compares the versions class by class.
package rollout
