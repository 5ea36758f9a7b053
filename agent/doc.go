// Package agent is the daemon beside a backend server, and the only way to it: it takes the server's announcements,
// registers it with control, admits work of all entries through one gate for each server, runs it on the engine,
// cancels it, and proves to entries and control how it ended.
//
// An Agent is a set of duties, one goroutine each, under oklog/run:
//
//   - HTTP: announcements, leaves and what the platform asks (http*.go);
//   - links: messages of entries (entries.go);
//   - for each backend server a gate duty, which alone touches that server's gate.Gate (server*.go), a prober
//     (probe.go), and one goroutine for each attempt that runs on the engine (run.go);
//   - the session with control and what follows from it: the directory record (directory.go), orders (orders.go),
//     outcomes of operations whose entry is gone (report.go).
//
// A gate duty never waits: what it has to do elsewhere goes to a goroutine or a bounded ring, and what comes back
// arrives on its own ring.
//
// # Restart
//
// A new incarnation first lists and cancels every stream on the engine of an announced server, and repeats it until
// the engine confirms. Only then it registers the server, says hello to entries and admits work. So a directory
// record or a Room of a model server, under a newer incarnation of its agent, proves that all attempts of earlier
// incarnations on that server are over. For a plain service it proves nothing: a service has no list of its calls and
// can't cancel them.
package agent
