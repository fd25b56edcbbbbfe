//go:build review

// Command cases2 plays one case of the second review: it starts stand-ins of the platform, the workers and the clients in
// this process, and the entries as separate processes.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNoResult = 2
)

// testCase plays a case. trouble tells whether the disruption happens. It returns an error if the case could not run.
type testCase func(p *Platform, trouble bool) error

var cases = map[string]struct {
	workers int
	play    testCase
}{
	"stale-start":  {9, staleStart},
	"wide-job":     {9, wideJob},
	"early-cancel": {9, earlyCancel},
	"many-ends":    {9, manyEnds},
	"label-lull":   {9, labelLull},
}

func main() { os.Exit(run1()) }

func run1() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		return exitNoResult
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNoResult
	}
	tmp, err := os.MkdirTemp("", "cases2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoResult
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	}
	p, err := NewPlatform(tmp, c.workers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoResult
	}
	watchdog := time.AfterFunc(110*time.Second, func() {
		p.Stop()
		os.Exit(exitNoResult)
	})
	defer watchdog.Stop()
	defer p.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	err = c.play(p, trouble)
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	fmt.Printf("%d violations, trouble %v\n", len(p.log.Broken), trouble)
	for i, b := range p.log.Broken {
		if i < 5 {
			fmt.Println(b)
		}
	}
	p.log.printf("%d violations, trouble %v, error %v", len(p.log.Broken), trouble, err)
	_ = p.log.f.Close()
	if text, rerr := os.ReadFile(tmp + "/record.txt"); rerr == nil {
		_ = os.WriteFile(os.Args[2]+"/record.txt", text, 0o644)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNoResult
	case len(p.log.Broken) > 0:
		return exitBroken
	default:
		return exitHeld
	}
}
