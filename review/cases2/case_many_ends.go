//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// downFor is how long the store is down.
const downFor = 4500 * time.Millisecond

// manyEnds hands in eight jobs a second with 24 small work items of 3 s each. The store is down for a while.
func manyEnds(p *Platform, trouble bool) error {
	var down atomic.Bool
	p.store.Down = down.Load
	if err := p.StartEntries(6); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	var wg sync.WaitGroup
	var accepted atomic.Int64
	const count = 96
	for n := range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p.submit(n, fmt.Sprintf("%016x", 0x2d2d000000000000+n), []wireStep{{Count: 24, CPU: 50, MemMB: 100, EstimateMs: 3000}}, 3000, 12*time.Second) {
				accepted.Add(1)
			}
		}()
		time.Sleep(125 * time.Millisecond)
		if n == 47 && trouble {
			p.log.Printf("the store is down")
			down.Store(true)
			time.AfterFunc(downFor, func() {
				down.Store(false)
				p.log.Printf("the store is back")
			})
		}
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	p.log.Printf("%d of %d jobs accepted", accepted.Load(), count)
	if accepted.Load() < count/2 {
		return fmt.Errorf("only %d of %d jobs were accepted", accepted.Load(), count)
	}
	return nil
}
