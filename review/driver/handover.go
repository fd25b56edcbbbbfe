//go:build review

package main

import (
	"regexp"
	"strconv"
	"syscall"
	"time"
)

func init() {
	cases["second-hand-over"] = scenario{[]string{"desk", "till"}, secondHandOver}
}

var shardOf = regexp.MustCompile(`"shard":(\d+),"service":"till"`)

// secondHandOver kills the owner of a shard whose partition is down, and restarts the next owner before that has taken over.
func secondHandOver(d *deployment, trouble bool) verdict {
	routes := []route{newRoute("hold", "desk"), newRoute("deposit", "till")}
	if err := d.start(routes); err != nil {
		return verdict{problem: err.Error()}
	}
	d.fleet.mu.Lock()
	d.fleet.zoneTime = 2800 * time.Microsecond // 1.4 ms one way
	d.fleet.mu.Unlock()
	stop := make(chan struct{})
	wg := d.load(routes, 120*time.Millisecond, stop,
		step{Count: 6, CPU: 3500, MemMB: 1024, EstimateMs: 800, workMs: 800},
		step{Count: 6, CPU: 3500, MemMB: 1024, EstimateMs: 800, After: []int{0}, workMs: 800})
	time.Sleep(6 * time.Second)
	shard := -1
	for _, l := range d.ownerOf("till").logLines() {
		if m := shardOf.FindStringSubmatch(l); m != nil {
			shard, _ = strconv.Atoi(m[1])
		}
	}
	if trouble {
		d.rec.log("store: partition %d of the jobs is silent for 4.5 s", shard)
		d.store.setMode(func(topic string, part int) mode {
			if topic == "keyed.sassafrasvalve-jobs" && part == shard {
				return silent
			}
			return serving
		})
		time.Sleep(time.Second)
		a := d.ownerOf("till")
		a.setHold(true)
		a.signal(syscall.SIGKILL)
		time.Sleep(1500 * time.Millisecond)
		if b := d.ownerOf("till"); b != a {
			b.signal(syscall.SIGTERM)
		}
		time.Sleep(2 * time.Second)
		d.store.setMode(nil)
		d.rec.log("store: serves")
		a.setHold(false)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	time.Sleep(4 * time.Second)
	return verdict{broken: d.fleet.twice()}
}
