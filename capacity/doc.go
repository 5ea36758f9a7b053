// Package capacity measures what each role costs as the deployment grows, for docs/CAPACITY.md.
//
// Each benchmark runs one daemon in the process of the benchmark and everything it talks to in a second process, the
// far side, which is the same program started again. So processor time, memory and bytes are those of the daemon
// alone. Both talk over loopback. A benchmark repeats the measurement at several sizes and reports the slope of the
// line through them:
//
//	go test ./capacity -run '^$' -bench . -benchtime 1x
//
// Processor time is user and system time of the process, in seconds; bytes are those of the TCP streams, without the
// headers of TCP and IP; memory is the heap after a collection plus the stacks, in bytes.
package capacity
