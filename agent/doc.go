// Package agent is the daemon beside a backend server, and the only way to it: it takes the server's announcements,
// registers it with control, admits work of all entries through one gate for each server, runs it on the engine,
// cancels it, and proves to entries and control how it ended.
//
// An Agent is a set of duties, one goroutine each, under oklog/run:
//
//   - HTTP: announcements, leaves and what the platform asks (http*.go);
//   - links: messages of entries (entries.go);
//   - for each backend server a gate duty, which alone touches that server's gate.Gate (server*.go), a prober
//     (probe.go), and one goroutine for each attempt that runs on the engine (run*.go);
//   - the session with control and what follows from it: the directory record (control.go), orders (orders.go,
//     order_call.go, fence.go), outcomes of operations whose entry is gone (report.go);
//   - release and stop (release.go, stop.go).
//
// A gate duty never waits: what it has to do elsewhere goes to a goroutine or a bounded ring, and what comes back
// arrives on its own ring.
//
// # Restart
//
// A new incarnation first lets the gates of all announced servers list and cancel what their engines run, until the
// engines confirm that nothing is left. Only then it registers with control, says hello to entries and admits work. A
// server that doesn't announce itself within announceWindow is not waited for. So entries take a newer incarnation for
// the proof that the attempts of older ones are over only at the servers that it speaks of: a gate says nothing of its
// server before the engine is proved free. A plain service has no list of its calls and can't cancel them; its gate only
// waits for a while, and that is no proof.
package agent
