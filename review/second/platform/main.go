package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken matches the error of a case whose rule was broken.
var errBroken = errors.New("rule broken")

// cases holds the cases by name. trouble is whether the disruption is made.
var cases = map[string]func(r *record, trouble bool) error{
	"replaced-core":       replacedCore,
	"own-refusal":         ownRefusal,
	"many-changes":        manyChanges,
	"planned-replacement": plannedReplacement,
	"held-answers":        heldAnswers,
	"diskless-churn":      disklessChurn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		r.write("result: the rule held")
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		r.write("result: %v", err)
		fmt.Println(err)
		os.Exit(1)
	default:
		r.write("result: the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}
