// Package agent implements the daemon beside a backend server, through which all requests to that server go: it
// receives the server's announcements, registers it with control, admits work of all entries through one gate for each
// server, runs it on the engine, cancels it, and proves to entries and control how it ended.
//
// An Agent is a set of actors under oklog/run, one goroutine each:
//
//   - HTTP: announcements, leaves, and the platform's health and metrics endpoints;
//   - links: messages of entries;
//   - the session with control and what follows from it: the directory record, orders, and the outcomes of operations
//     whose entry has ended;
//   - recovery and graceful shutdown.
//
// Each backend server has an event loop, the only goroutine that uses the server's gate.Gate. It also has a prober,
// and one goroutine for each attempt that runs on the engine.
//
// An event loop never blocks: work that may block runs in another goroutine or goes through a bounded ring, and
// results arrive on the loop's own ring.
//
// # Restart
//
// After a start, the gates of all announced servers first list and cancel what their engines run, until the engines
// confirm that nothing is left. Only then does the new incarnation register with control, accept links of entries and
// admit work. It does not wait for a server that doesn't announce itself within announceWindow. Therefore entries take
// a newer incarnation as proof that attempts of older ones have ended only for the servers that it reports on: a gate
// reports nothing about its server until the engine is confirmed free. A plain service has no list of its calls and
// can't cancel them; its gate only waits for a while, and that proves nothing.
package agent
