package daemon

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/io/oplog"
)

const (
	appendTimeout = 30 * time.Second // after which the outcome of a record is left to the fold
	memberPeriod  = 250 * time.Millisecond
	// appenders bounds the records that wait for their outcome at once. They share group commits, so
	// that 128 records of one turn of the controller still go into a few appends.
	appenders       = 32
	submissionsSize = 1024
)

// submission is one record on its way to the log.
type submission struct {
	d    *Daemon
	rec  fleet.Record
	done func(oplog.Outcome)
}

// appendLoop appends what is submitted until ctx ends. Several run at once.
func (d *Daemon) appendLoop(ctx context.Context) {
	for {
		s, err := d.submissions.Get(ctx)
		if err != nil {
			return
		}
		s.run(ctx)
	}
}

func (s *submission) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	out, err := s.d.writer.Append(ctx, s.rec)
	if err != nil {
		s.d.log.Debug("append has no outcome", zap.String("Kind", string(s.rec.Kind)), zap.Error(err))
	}
	s.d.pending.End(s.rec)
	if s.done != nil {
		s.done(out)
	}
}

// submit appends a record in the background unless one like it is on its way. Without room
// the record is dropped: the loop that found it due finds it due again.
func (d *Daemon) submit(rec fleet.Record) {
	if !d.pending.Begin(rec) {
		return
	}
	if !d.submissions.TryPut(&submission{d: d, rec: rec}) {
		d.pending.End(rec)
	}
}

// memberLoop joins the fleet, and writes what the silence of others makes due.
func (d *Daemon) memberLoop(ctx context.Context) {
	tick := time.NewTicker(memberPeriod)
	defer tick.Stop()
	for {
		if r, due := d.group.Join(); due {
			d.submit(r)
		}
		for _, r := range d.group.Suspects() {
			d.suspect(r)
		}
		if d.group.Acting() {
			for _, r := range slices.Concat(d.group.Removals(), d.gone.Due()) {
				d.submit(r)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// suspect appends a Suspect until its place in the log is known: until then no promise may be given.
func (d *Daemon) suspect(r fleet.Record) {
	if r.ID == "" {
		r.ID = newID()
	}
	d.log.Warn("peer is silent", zap.String("Member", r.Suspect.Target))
	if !d.pending.Begin(r) {
		return
	}
	// It does not go through the ring, which may drop it: the target is marked until it is settled.
	s := &submission{d: d, rec: r, done: func(out oplog.Outcome) {
		if out.Verdict == oplog.Accepted || out.Verdict == oplog.Rejected {
			d.group.Settle(r.Suspect.Target, out.Offset)
			return
		}
		if d.ctx.Err() == nil {
			d.suspect(r)
		}
	}}
	go s.run(d.ctx)
}

// acknowledge appends the acknowledgement that is due.
func (d *Daemon) acknowledge() {
	if r, due := d.group.Ack(d.viewed.Load(), d.pools.inFlight); due {
		d.submit(r)
	}
}

// digest returns what the peers are told.
func (d *Daemon) digest() Digest {
	dg := d.group.Digest()
	dg.Leaving, dg.ListAge = d.leaving.Own(), -1
	if l, ok := d.vms.List(); ok {
		dg.ListAge = d.cfg.Clock.Now().Sub(l.Received).Milliseconds()
	}
	dg.Ejected, dg.Dead = d.health.Report(d.cfg.Clock.Now())
	return dg
}

// leaveLoop follows which VMs the platform takes away, so that they get no new work
// also while the log is down.
func (d *Daemon) leaveLoop(ctx context.Context) {
	tick := time.NewTicker(member.HeartbeatInterval)
	defer tick.Stop()
	for {
		if d.leaving.Update(d.listLeaving(), d.group.Peers()) {
			d.pushViews()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// snapshotLoop appends a snapshot when one is due. Entries act in turn, the acting one first.
func (d *Daemon) snapshotLoop(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last, seen := int64(-2), d.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := d.cfg.Clock.Now()
		var due bool
		d.store.View(func(st *fleet.State) {
			if st.Snapshots.Through != last {
				last, seen = st.Snapshots.Through, now
			}
			at, pending := st.NextSnapshotDue(seen)
			due = pending && !now.Before(at)
		})
		if due && d.group.Acting() {
			d.snapshot(ctx)
		}
	}
}

func (d *Daemon) snapshot(ctx context.Context) {
	var records []fleet.Record
	var err error
	d.store.View(func(st *fleet.State) { records, err = st.Snapshot(newID()) })
	if err != nil {
		d.log.Error("cannot encode a snapshot", zap.Error(err))
		return
	}
	for _, r := range records {
		if _, err := d.writer.Append(ctx, r); err != nil {
			d.log.Warn("snapshot is incomplete", zap.Error(err))
			return
		}
	}
	d.log.Info("snapshot appended", zap.Int64("Through", records[0].Snapshot.Through), zap.Int("Chunks", len(records)))
}
