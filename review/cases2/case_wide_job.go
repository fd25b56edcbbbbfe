//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// wideItems is the number of work items of the wide job. Its body has some 120 bytes.
	wideItems = 6000
	// finishTime is the time after the end of the traffic after which jobs are asked for (finish_s).
	finishTime = 14 * time.Second
	// answerWithin is the time in which a job's state has to be answered, over tries at all entries.
	answerWithin = 9 * time.Second
)

// wideJob hands in one job with wideItems small work items among ordinary ones.
func wideJob(p *Platform, trouble bool) error {
	refusedAppends := 0
	p.store.OnRefused = func(topic, part string, record int) {
		if refusedAppends++; refusedAppends < 20 {
			p.log.Printf("the store refuses an append to %s/%s: a record of %d bytes, above %d", topic, part, record, recordBytes)
		}
	}
	if err := p.StartEntries(6); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]string{}
	send := func(n int, kind string, step wireStep, workMs int64) {
		id := fmt.Sprintf("%016x", 0x3c3c000000000000+n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p.submit(n, id, []wireStep{step}, workMs, 9*time.Second) {
				mu.Lock()
				accepted[id] = kind
				mu.Unlock()
			}
		}()
	}
	for n := range 60 {
		if n == 12 {
			step := wireStep{Count: wideItems, CPU: 20, MemMB: 10, EstimateMs: 8000, Checkpoint: true}
			if !trouble {
				step.Count = 500
			}
			send(1000, "wide", step, 8000)
		}
		send(n, "ordinary", wireStep{Count: 4, CPU: 500, MemMB: 1000, EstimateMs: 1000}, 1000)
		time.Sleep(250 * time.Millisecond)
	}
	wg.Wait()
	p.log.Printf("end of the traffic, %d of 61 jobs accepted, %d ends listed, %d taken note of", len(accepted), p.log.Ends, p.log.Acked)
	time.Sleep(finishTime)
	states := map[string]int{}
	for id, kind := range accepted {
		wg.Add(1)
		go func() {
			defer wg.Done()
			state := ""
			for until, e := time.Now().Add(answerWithin), 0; state == "" && time.Now().Before(until); e++ {
				if status, body := p.call(e, http.MethodGet, id, nil, 3*time.Second); status == http.StatusOK || status == http.StatusGone {
					state = strings.TrimSpace(body)
				} else {
					time.Sleep(250 * time.Millisecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			states[kind+" "+state]++
			if state == "" {
				p.log.Break("LOST: the accepted job %s (%s) got no answer about its state in %v", id, kind, answerWithin)
			} else if !strings.Contains(state, `"state"`) {
				p.log.Break("LOST: the accepted job %s (%s) isn't known: %s", id, kind, state)
			}
		}()
	}
	wg.Wait()
	p.log.Printf("states at the end: %v", states)
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	p.log.printf("%d ends listed, %d taken note of, %d appends refused", p.log.Ends, p.log.Acked, refusedAppends)
	if open := p.log.Ends - p.log.Acked; open*5 > p.log.Ends {
		p.log.breakf("Acks: %d of %d ends that workers list aren't taken note of, with the store up all the time", open, p.log.Ends)
	}
	return nil
}
