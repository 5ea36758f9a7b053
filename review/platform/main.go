// Command platform plays the cases of the review: it starts the project's programs as separate processes on loopback
// addresses, with stand-ins of servers, requesters and the operator.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxBrokenLines bounds the lines in a record that say what broke the rule.
const maxBrokenLines = 50

// caseTimeout bounds a case, below the 120 s that a script may take.
const caseTimeout = 100 * time.Second

// caseFunc plays a case, with its disruption if trouble is set. It returns what broke the rule.
type caseFunc func(ctx context.Context, log *record, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{
	"repeated-get": repeatedGet,
	"foreign-ping": foreignPing,
	"late-copy":    lateCopy,
	"quick-return": quickReturn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(one caseFunc, path string, trouble bool) int {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer log.file.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	log.printf("disruption: %t", trouble)
	broken, err := one(ctx, log, trouble)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		log.printf("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return exitCannotRun
	}
	for _, line := range broken[:min(len(broken), maxBrokenLines)] {
		log.printf("broken: %s", line)
	}
	if len(broken) > 0 {
		fmt.Printf("rule broken, %d times; the first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	fmt.Println("rule held")
	log.printf("rule held")
	return exitHeld
}
