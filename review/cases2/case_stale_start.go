//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// darkFor is how long the worker is down without a word.
const darkFor = 4 * time.Second

// staleStart hands jobs in at a steady rate. One worker crashes silently and starts again under its id after darkFor.
func staleStart(p *Platform, trouble bool) error {
	if err := p.StartEntries(6); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	var wg sync.WaitGroup
	n, accepted := 0, 0
	var mu sync.Mutex
	send := func(count int) {
		for range count {
			n++
			id := fmt.Sprintf("%016x", 0x5a5a000000000000+n)
			wg.Add(1)
			go func(n int) {
				defer wg.Done()
				if p.submit(n, id, []wireStep{{Count: 12, CPU: 500, MemMB: 1000, EstimateMs: 4000}}, 5000, 12*time.Second) {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}(n)
		}
	}
	// Twelve items of half a core and 5 s each: the pool of 288 cores holds 48 jobs.
	for range 7 {
		send(1)
		time.Sleep(250 * time.Millisecond)
	}
	victim := p.workers[0]
	var most int64 = -1
	for _, w := range p.workers {
		w.mu.Lock()
		var used int64
		for _, r := range w.runs {
			used += r.step.CPU
		}
		w.mu.Unlock()
		// the worker with most work that has room for another item
		if used > most && used <= w.CPU-24*500 {
			victim, most = w, used
		}
	}
	p.log.Printf("worker %s has %d thousandths of a core in use", victim.ID, most)
	if trouble {
		p.log.Printf("worker %s goes down silently", victim.ID)
		victim.Crash()
	}
	for i := range 32 {
		send(1 + 2*max(2-i, 0))
		time.Sleep(250 * time.Millisecond)
		if trouble && time.Duration(i+1)*250*time.Millisecond == darkFor {
			p.log.Printf("worker %s starts again under its id", victim.ID)
			victim.Restart()
		}
	}
	wg.Wait()
	time.Sleep(8 * time.Second)
	p.log.Printf("%d of %d jobs accepted", accepted, n)
	if accepted < n/2 {
		return fmt.Errorf("only %d of %d jobs were accepted", accepted, n)
	}
	return nil
}
