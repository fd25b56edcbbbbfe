package chaos

import (
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/plan"
	"sassafrasvalve/core/spec"
)

const (
	listPeriod     = 200 * time.Millisecond
	maxAppendsPerS = 400 // the platform refuses further appends
	slowLogDelay   = 900 * time.Millisecond
)

// platformLog is the append-only log. Each record is folded into head at once, which shows whether it was accepted.
type platformLog struct {
	w          *world
	data       [][]byte
	records    []fleet.Record // zero for corrupted records
	appendedAt []time.Time
	results    []fleet.Result
	head       *fleet.State

	down, silent    bool    // refuses all requests; sends no response to any
	loseShare       float64 // share of appends whose response is lost after the effect
	slow            time.Duration
	cutPlaces       map[string]bool // VMs of places that are disconnected from the platform
	currentSecond   int64
	appendsInSecond int
}

func newLog(w *world) *platformLog {
	return &platformLog{w: w, head: newState(), cutPlaces: map[string]bool{}}
}

func newState() *fleet.State { return fleet.NewState(fleet.StateConfig{Validate: spec.Validate}) }

// heal removes all faults of the log.
func (l *platformLog) heal() {
	l.down, l.silent, l.loseShare, l.slow = false, false, 0, 0
	clear(l.cutPlaces)
}

// append adds data and has the oracle check the effect of an accepted record.
func (l *platformLog) append(data []byte) {
	offset := int64(len(l.data))
	r, err := fleet.Decode(data)
	l.data, l.records, l.appendedAt = append(l.data, data), append(l.records, r), append(l.appendedAt, l.w.now)
	before := l.w.oracle.activityByPool()
	var res fleet.Result
	if err != nil {
		res = l.head.ApplyEncoded(offset, data)
	} else {
		res = l.head.Apply(offset, r)
	}
	l.results = append(l.results, res)
	l.w.counts.add("records", 1)
	if res.Duplicate {
		l.w.counts.add("duplicate records", 1)
	}
	if res.Accepted {
		l.w.oracle.checkAccepted(r, before)
	}
}

// appendLimited appends data. It returns false if maxAppendsPerS is reached in the current second.
func (l *platformLog) appendLimited(data []byte) bool {
	if s := l.w.now.Unix(); s != l.currentSecond {
		l.currentSecond, l.appendsInSecond = s, 0
	}
	if l.appendsInSecond++; l.appendsInSecond > maxAppendsPerS {
		l.w.counts.add("appends over the limit", 1)
		return false
	}
	l.append(data)
	return true
}

// foldInto folds the records from offset from to below next, checks R8 for each result and passes it to observe.
func (l *platformLog) foldInto(st *fleet.State, from, next int64, observe func(fleet.Result)) {
	for o := max(from, st.Offset+1); o < next && o == st.Offset+1; o++ {
		res := l.results[o]
		var got fleet.Result
		if res.Skipped {
			got = st.ApplyEncoded(o, l.data[o])
		} else {
			got = st.Apply(o, l.records[o])
		}
		if got != res {
			l.w.fail("R8: the fold of offset %d gives %+v, at the head %+v", o, got, res)
		}
		observe(got)
	}
}

// platform delivers a request to the platform and its response to the entry. A refused request has no effect.
func (e *entry) platform(timeout time.Duration, lose float64, serve func() any, handleReply func(any),
	handleRefusal, handleLoss func(),
) {
	w, l := e.w, e.w.log
	ended := false
	end := func(f func()) {
		if !ended {
			ended = true
			f()
		}
	}
	e.after(timeout, func() { end(handleLoss) })
	w.after(w.networkDelay()+w.logDelay(), func() {
		switch {
		case l.cutPlaces[e.place.vm] || l.silent:
			return
		case l.down:
			e.after(w.networkDelay(), func() { end(handleRefusal) })
			return
		}
		reply := serve()
		if w.chance(lose) {
			w.counts.add("lost log responses", 1)
			return
		}
		back := w.networkDelay() + w.logDelay()
		e.after(back, func() {
			end(func() {
				if reply == nil {
					handleRefusal()
				} else {
					handleReply(reply)
				}
			})
		})
	})
}

func (w *world) logDelay() time.Duration {
	if w.log.slow == 0 {
		return 0
	}
	return w.randomDuration(0, w.log.slow/2)
}

// operate appends a record of an operator, whose connection to the log has no faults.
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

// vmList is the platform's list of VMs. The served list lags behind the state of the VMs.
type vmList struct {
	w            *world
	lag          time.Duration
	down         bool
	history      []plan.VMList
	served       plan.VMList
	leavingSince map[string]time.Time // by VM: since when the served list shows it as leaving
}

func newVMList(w *world) *vmList { return &vmList{w: w, leavingSince: map[string]time.Time{}} }

// publish records the current VMs and serves the list that was recorded a lag ago.
func (v *vmList) publish() {
	now := plan.VMList{Read: true, AsOf: v.w.now, VMs: map[string]plan.ListedVM{}}
	for _, id := range v.w.workerIDs() {
		if k := v.w.workers[id]; !k.removed {
			now.VMs[id] = k.listed()
		}
	}
	v.history = append(v.history, now)
	for len(v.history) > 0 && !v.history[0].AsOf.After(v.w.now.Add(-v.lag)) {
		v.served, v.history = v.history[0], v.history[1:]
	}
	for id := range v.leavingSince {
		if v.served.VMs[id].State != plan.ListLeaving {
			delete(v.leavingSince, id)
		}
	}
	for id, l := range v.served.VMs {
		if _, known := v.leavingSince[id]; l.State == plan.ListLeaving && !known {
			v.leavingSince[id] = v.w.now
		}
	}
	v.w.after(listPeriod, v.publish)
}
