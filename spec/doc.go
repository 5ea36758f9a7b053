// Package spec is a small specification of the core protocols and its exhaustive check.
//
// Four models are explored: the attempts of a request (an operation that a caller may send again at another entry),
// the replicated log, orders with a fence number, and roll-outs of a version. An explorer visits every state that a model can reach within its
// bounds, breadth first, and looks at the invariants in each of them, so that the first violation found has a shortest
// trace. It then looks whether from every state some path leads to where the model is done.
//
// Requests, attempts, servers and orders follow the same chart files as the code, see package chart: a change of a
// chart changes the specification.
//
// Each rule that the protocols rely on is a named Guard. With all of them every invariant holds; without any one of
// them the checker finds a violation, which shows that the invariants can fail and that the rule is needed.
//
// docs/SPEC.md says what is modelled, with which bounds, and what isn't.
package spec
