//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The workers of kind "b" are those with the indices from firstLabelled to lastLabelled; all others are of kind "a".
const firstLabelled, lastLabelled = 3, 5

// labelLull hands in jobs at a high rate. The rate falls to a twentieth when the queue's turn is over. Three small jobs that
// require the label "b" come seven seconds later.
func labelLull(p *Platform, trouble bool) error {
	for _, w := range p.workers[firstLabelled : lastLabelled+1] {
		w.mu.Lock()
		w.Kind = "b"
		w.mu.Unlock()
		w.report()
	}
	if err := p.StartEntries(6); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]bool{}
	send := func(n int, step wireStep) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%016x", 0x1a1a000000000000+n)
			if p.submit(n, id, []wireStep{step}, 1000, 12*time.Second) {
				mu.Lock()
				accepted[id] = step.Label != ""
				mu.Unlock()
			}
		}()
	}
	// Ten jobs a second of six work items of 4 cores and 1 s: 240 of the pool's 288 cores.
	const turn, after, interval = 10 * time.Second, 10 * time.Second, 100 * time.Millisecond
	for n := range int((turn + after) / interval) {
		at := time.Duration(n) * interval
		if trouble && at == turn {
			p.log.Printf("the turn is over")
		}
		if at < turn || !trouble || n%20 == 0 {
			send(n, wireStep{Count: 6, CPU: 4000, MemMB: 4000, EstimateMs: 1000})
		}
		if at == turn+7*time.Second {
			for i := range 3 {
				send(1000+i, wireStep{Count: 2, CPU: 1000, MemMB: 1000, EstimateMs: 1000, Label: "b"})
			}
		}
		time.Sleep(interval)
	}
	wg.Wait()
	p.log.Printf("end of the traffic, %d jobs accepted", len(accepted))
	time.Sleep(finishTime)
	for id, labelled := range accepted {
		status, state := p.call(0, http.MethodGet, id, nil, 3*time.Second)
		if status != http.StatusOK || strings.Contains(state, "complete") {
			continue
		}
		idle, used := 0, int64(0)
		for _, w := range p.workers {
			w.mu.Lock()
			if len(w.runs) == 0 && w.Kind == "b" {
				idle++
			}
			for _, r := range w.runs {
				used += r.step.CPU
			}
			w.mu.Unlock()
		}
		p.log.mu.Lock()
		if labelled && p.log.Starts[id] == 0 && idle >= 2 && used*2 < 9*32_000 {
			p.log.breakf("LOST: %s is accepted and has nothing running %v after the end of the traffic, though %d workers with its label run nothing: %s", id, finishTime, idle, state)
		}
		p.log.mu.Unlock()
	}
	return nil
}
