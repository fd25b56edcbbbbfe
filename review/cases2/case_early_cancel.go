//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowAnswer is the store's answer time while it is slow: 60 times the usual one.
	slowAnswer = 60 * answerTime
	slowFor    = 4 * time.Second
	// giveUpAfter is the time after which a client leaves that has no answer, and cancels its job.
	giveUpAfter = 60 * time.Millisecond
	cancelTime  = 3000 * time.Millisecond // cancel_ms
	contactTime = 3000 * time.Millisecond // contact_ms
)

// earlyCancel lets clients leave soon after they have handed a job in, and cancel it. The store is slow for a while.
func earlyCancel(p *Platform, trouble bool) error {
	var slow atomic.Bool
	p.store.Delay = func(*http.Request) time.Duration {
		if slow.Load() {
			return slowAnswer - answerTime
		}
		return 0
	}
	if err := p.StartEntries(6); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	chain := []wireStep{{Count: 2, CPU: 500, MemMB: 1000, EstimateMs: 2500}}
	for i := range 5 {
		chain = append(chain, wireStep{Count: 2, CPU: 500, MemMB: 1000, EstimateMs: 2500, After: []int{i}})
	}
	var wg sync.WaitGroup
	// The other clients wait for their answers and don't cancel.
	for n := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 200 * time.Millisecond)
			p.submit(n, fmt.Sprintf("%016x", 0x7a7a000000000000+n), []wireStep{{Count: 4, CPU: 500, MemMB: 1000, EstimateMs: 1000}}, 1000, 12*time.Second)
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		p.log.Printf("the store answers in %v", slowAnswer)
		slow.Store(true)
	}
	slowEnd := steadyMs() + slowFor.Milliseconds()
	var mu sync.Mutex
	ackedAt := map[string]int64{}
	status := map[string]int{}
	for n := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 250 * time.Millisecond)
			id := fmt.Sprintf("%016x", 0x1b9b000000000000+n)
			p.mu.Lock()
			for _, s := range chain {
				p.steps[id] = append(p.steps[id], Step{CPU: s.CPU, MemMB: s.MemMB, WorkMs: 2500})
			}
			p.mu.Unlock()
			p.call(n, http.MethodPost, id, map[string]any{"spec": "quote", "steps": chain}, giveUpAfter)
			for e := n + 1; ; e++ {
				s, _ := p.call(e, http.MethodDelete, id, nil, 3*time.Second)
				if s/100 == 2 || s == http.StatusGone {
					mu.Lock()
					ackedAt[id], status[id] = steadyMs(), s
					mu.Unlock()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	time.Sleep(slowFor)
	slow.Store(false)
	p.log.Printf("the store answers as usual")
	wg.Wait()
	time.Sleep(16 * time.Second)
	for id, at := range ackedAt {
		p.log.mu.Lock()
		last, starts := p.log.LastRun[id], p.log.Starts[id]
		p.log.printf("job %s: cancelling answered with %d at %.3f, %d starts, the last at %.3f", id, status[id], float64(at)/1000, starts, float64(last)/1000)
		// The machines are in touch contact_ms after the store has become usual again.
		if calm := slowEnd + contactTime.Milliseconds(); last > at+cancelTime.Milliseconds() && last > calm {
			p.log.breakf("UNASKED: a work item of job %s starts %d ms after its cancelling was acknowledged with %d", id, last-at, status[id])
		}
		p.log.mu.Unlock()
	}
	return nil
}
