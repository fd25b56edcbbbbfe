package daemon

import (
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/io/stats"
)

// buildMetrics registers the gauges that are read at each scrape.
func (d *Daemon) buildMetrics() {
	gauge := func(name, help string, read func() float64) {
		d.stats.Describe(name, help)
		d.stats.Gauge(name, nil, read)
	}
	gauge("sassafrasvalve_offset", "Offset of the last folded record.", func() float64 { return float64(d.store.Offset()) })
	gauge("sassafrasvalve_config_version", "Version of the configuration in force here.", func() float64 {
		return float64(d.digest().Version)
	})
	gauge("sassafrasvalve_lease_held", "1 while this entry holds a view lease.", func() float64 { return boolValue(d.group.MayStart()) })
	gauge("sassafrasvalve_acting", "1 while this entry runs the controller.", func() float64 { return boolValue(d.group.Acting()) })
	gauge("sassafrasvalve_read_age_seconds", "Age of the last fresh read of the log, own or relayed, -1 without one.", d.readAge)
	gauge("sassafrasvalve_claims_held", "Idempotency keys held here.", func() float64 { return float64(d.claims.ClaimCount()) })
	gauge("sassafrasvalve_log_appends", "Appends sent to the log.", func() float64 { return float64(d.client.Counters().Appends) })
	gauge("sassafrasvalve_log_bytes", "Bytes exchanged with the log.", func() float64 {
		c := d.client.Counters()
		return float64(c.SentBytes + c.ReceivedBytes)
	})
	gauge("sassafrasvalve_list_bytes", "Bytes exchanged for the VM list.", func() float64 {
		c := d.vms.Counters()
		return float64(c.SentBytes + c.ReceivedBytes)
	})
	d.poolMetrics()
	d.fleetMetrics()
	d.peerMetrics()
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// readAge returns the age of the last fresh read of the log in seconds, -1 without one.
func (d *Daemon) readAge() float64 {
	ms := d.group.Digest().ReadAge
	if ms < 0 {
		return -1
	}
	return (time.Duration(ms) * time.Millisecond).Seconds()
}

func (d *Daemon) peerMetrics() {
	d.stats.Describe("sassafrasvalve_peer_bytes", "Bytes exchanged with other entries, by method.")
	d.stats.Gauges("sassafrasvalve_peer_bytes", func(set func(stats.Labels, float64)) {
		for method, c := range d.traffic.Counts() {
			set(stats.Labels{{Name: "method", Value: method}}, float64(c.Sent+c.Received))
		}
	})
}

func (d *Daemon) poolMetrics() {
	d.stats.Describe("sassafrasvalve_pool_slots", "Slots of a pool that this entry may use.")
	d.stats.Gauges("sassafrasvalve_pool_slots", func(set func(stats.Labels, float64)) {
		for _, p := range d.pools.all() {
			set(stats.Labels{{Name: "pool", Value: p.Name()}}, float64(p.Status().Slots))
		}
	})
	d.stats.Describe("sassafrasvalve_pool_requests", "Requests of this entry in a pool, by class and whether they run or wait.")
	d.stats.Gauges("sassafrasvalve_pool_requests", func(set func(stats.Labels, float64)) {
		for _, p := range d.pools.all() {
			for _, c := range p.Status().Classes {
				for state, n := range map[string]int{"running": c.Running, "waiting": c.Waiting} {
					set(stats.Labels{{Name: "pool", Value: p.Name()}, {Name: "class", Value: c.Class}, {Name: "state", Value: state}}, float64(n))
				}
			}
		}
	})
}

func (d *Daemon) fleetMetrics() {
	d.stats.Describe("sassafrasvalve_vms", "VMs by pool and phase.")
	d.stats.Gauges("sassafrasvalve_vms", func(set func(stats.Labels, float64)) {
		type key struct{ pool, phase string }
		counts := map[key]int{}
		d.store.View(func(st *fleet.State) {
			for _, vm := range st.VMs {
				counts[key{vm.Pool, string(vm.Phase)}]++
			}
		})
		for p, n := range counts {
			set(stats.Labels{{Name: "pool", Value: p.pool}, {Name: "phase", Value: p.phase}}, float64(n))
		}
	})
	d.stats.Describe("sassafrasvalve_budget_room", "VMs of a service that voluntary acts may still take out.")
	d.stats.Gauges("sassafrasvalve_budget_room", func(set func(stats.Labels, float64)) {
		d.store.View(func(st *fleet.State) {
			for _, b := range st.Budgets() {
				set(stats.Labels{{Name: "service", Value: b.Service}}, float64(b.AllowedNow))
			}
		})
	})
	d.stats.Describe("sassafrasvalve_held_back", "Acts that the controller here holds back, by rule.")
	d.stats.Gauges("sassafrasvalve_held_back", func(set func(stats.Labels, float64)) {
		counts := map[string]int{}
		for _, n := range d.controller.Deferrals() {
			counts[n.Rule]++
		}
		for rule, n := range counts {
			set(stats.Labels{{Name: "rule", Value: rule}}, float64(n))
		}
	})
}
