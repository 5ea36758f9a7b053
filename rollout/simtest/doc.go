// Package simtest simulates roll-outs in virtual time: the schedulers of some entries, and the ledgers, trials and replicated
// states of three control instances. Its tests compare what happened, kept in an exact ledger, with the rules of roll-outs.
package simtest
