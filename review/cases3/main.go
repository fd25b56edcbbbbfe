//go:build review

// Command cases3 plays the cases 11 to 15 of the review: it starts entries as separate processes beside stand-ins of the platform, and
// judges what clients, workers and the platform have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime bounds a case.
const maxCaseTime = 110 * time.Second

var errNotRun = errors.New("the case could not run")

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run to")
	flag.Parse()
	os.Exit(playCase(*name, *record))
}

func playCase(name, record string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %t", name, trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(w, trouble)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-signals:
		r.err = errNotRun
	case <-time.After(maxCaseTime):
		r.err = fmt.Errorf("%w: it took too long", errNotRun)
	}
	switch {
	case r.err != nil:
		w.note("RESULT not run: %v", r.err)
		return exitNotRun
	case r.broken:
		w.note("RESULT rule broken")
		return exitBroken
	}
	w.note("RESULT rule held")
	return exitHeld
}
