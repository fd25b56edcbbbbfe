package chaos

import (
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/plan"
	"sassafrasvalve/core/spec"
)

const (
	listPeriod   = 200 * time.Millisecond
	appendsASec  = 400 // the platform refuses more
	slowLogDelay = 900 * time.Millisecond
)

// platformLog is the append-only log. head is folded at once and tells which records took effect.
type platformLog struct {
	w       *world
	data    [][]byte
	records []fleet.Record // zero for damaged ones
	at      []time.Time
	results []fleet.Result
	head    *fleet.State

	down, swallow bool    // refuses all requests; or takes them without a response
	lose          float64 // share of appends whose response is lost after the effect
	slow          time.Duration
	cut           map[string]bool // by place
	second        int64
	inSecond      int
}

func newLog(w *world) *platformLog {
	return &platformLog{w: w, head: newState(), cut: map[string]bool{}}
}

func newState() *fleet.State { return fleet.NewState(fleet.StateConfig{Validate: spec.Validate}) }

// heal ends all faults of the log.
func (l *platformLog) heal() {
	l.down, l.swallow, l.lose, l.slow = false, false, 0, 0
	clear(l.cut)
}

// append adds data and lets the oracle judge what the record changed.
func (l *platformLog) append(data []byte) {
	offset := int64(len(l.data))
	r, err := fleet.Decode(data)
	l.data, l.records, l.at = append(l.data, data), append(l.records, r), append(l.at, l.w.now)
	before := l.w.oracle.before()
	var res fleet.Result
	if err != nil {
		res = l.head.ApplyRaw(offset, data)
	} else {
		res = l.head.Apply(offset, r)
	}
	l.results = append(l.results, res)
	l.w.counts.add("records", 1)
	if res.Duplicate {
		l.w.counts.add("duplicate records", 1)
	}
	if res.Accepted {
		l.w.oracle.accepted(r, before)
	}
}

// take appends unless the second's appends are used up.
func (l *platformLog) take(data []byte) bool {
	if s := l.w.now.Unix(); s != l.second {
		l.second, l.inSecond = s, 0
	}
	if l.inSecond++; l.inSecond > appendsASec {
		l.w.counts.add("appends over the limit", 1)
		return false
	}
	l.append(data)
	return true
}

// foldInto folds the records below next and reports each result.
func (l *platformLog) foldInto(st *fleet.State, from, next int64, observe func(fleet.Result)) {
	for o := max(from, st.Offset+1); o < next && o == st.Offset+1; o++ {
		res := l.results[o]
		var got fleet.Result
		if res.Skipped {
			got = st.ApplyRaw(o, l.data[o])
		} else {
			got = st.Apply(o, l.records[o])
		}
		if got != res {
			l.w.fail("R8: the fold of offset %d gives %+v, at the head %+v", o, got, res)
		}
		observe(got)
	}
}

// platform carries a request to the platform and its response. A refused request had no effect.
func (e *entry) platform(timeout time.Duration, lose float64, serve func() any, take func(any), refused, lost func()) {
	w, l := e.w, e.w.log
	over := false
	end := func(f func()) {
		if !over {
			over = true
			f()
		}
	}
	e.after(timeout, func() { end(lost) })
	w.after(w.hop()+w.slowness(), func() {
		switch {
		case l.cut[e.place.vm] || l.swallow:
			return
		case l.down:
			e.after(w.hop(), func() { end(refused) })
			return
		}
		reply := serve()
		if w.chance(lose) {
			w.counts.add("lost log responses", 1)
			return
		}
		back := w.hop() + w.slowness()
		e.after(back, func() {
			end(func() {
				if reply == nil {
					refused()
				} else {
					take(reply)
				}
			})
		})
	})
}

func (w *world) slowness() time.Duration {
	if w.log.slow == 0 {
		return 0
	}
	return w.between(0, w.log.slow/2)
}

// operate appends a record of an operator, whose connection to the log is never at fault.
func (w *world) operate(r fleet.Record) fleet.Result {
	r.ID, r.Version, r.At = w.newID("o"), fleet.RecordVersion, w.now
	if r.Writer == "" {
		r.Writer = "operator"
	}
	data, err := fleet.Encode(r)
	if err != nil {
		w.fail("encode: %v", err)
	}
	w.log.append(data)
	return w.log.results[len(w.log.results)-1]
}

// vmList is the platform's list of VMs as it is served: it lags behind the VMs.
type vmList struct {
	w       *world
	lag     time.Duration
	down    bool
	history []plan.VMList
	served  plan.VMList
	leaving map[string]time.Time // since when the served list has the VM leaving
}

func newVMList(w *world) *vmList { return &vmList{w: w, leaving: map[string]time.Time{}} }

// publish takes the present VMs down and serves the list of lag ago.
func (v *vmList) publish() {
	now := plan.VMList{Read: true, AsOf: v.w.now, VMs: map[string]plan.ListedVM{}}
	for _, id := range v.w.workerIDs() {
		if k := v.w.workers[id]; !k.gone {
			now.VMs[id] = k.listed()
		}
	}
	v.history = append(v.history, now)
	for len(v.history) > 0 && !v.history[0].AsOf.After(v.w.now.Add(-v.lag)) {
		v.served, v.history = v.history[0], v.history[1:]
	}
	for id := range v.leaving {
		if v.served.VMs[id].State != plan.Leaving {
			delete(v.leaving, id)
		}
	}
	for id, l := range v.served.VMs {
		if _, known := v.leaving[id]; l.State == plan.Leaving && !known {
			v.leaving[id] = v.w.now
		}
	}
	v.w.after(listPeriod, v.publish)
}
