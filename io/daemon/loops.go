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
	appendTimeout  = 30 * time.Second // after which an append is given up; the fold still shows its outcome
	memberInterval = 250 * time.Millisecond
	// appenders is the number of append loops, and so of submitted records that wait for their outcome at
	// once. They share group commits, so 128 records of one run of the controller still need only a few appends.
	appenders       = 32
	submissionsSize = 1024 // records
)

// submission is one record to be appended to the log.
type submission struct {
	d    *Daemon
	rec  fleet.Record
	done func(oplog.Outcome) // called with the outcome; may be nil
}

// appendLoop appends submitted records until ctx ends. Several loops run at once.
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
		s.d.log.Debug("append not confirmed", zap.String("Kind", string(s.rec.Kind)), zap.Error(err))
	}
	s.d.pending.End(s.rec)
	if s.done != nil {
		s.done(out)
	}
}

// submit queues a record for the append loops unless a record with the same key is pending. If the queue is
// full, the record is dropped; the loop that found it due will submit it again.
func (d *Daemon) submit(rec fleet.Record) {
	if !d.pending.Begin(rec) {
		return
	}
	if !d.submissions.TryPut(&submission{d: d, rec: rec}) {
		d.pending.End(rec)
	}
}

// memberLoop submits the Join of this process, the Suspects of silent members and, while this entry acts, the
// Evicts and Fences that are due.
func (d *Daemon) memberLoop(ctx context.Context) {
	tick := time.NewTicker(memberInterval)
	defer tick.Stop()
	for {
		if r, due := d.group.DueJoin(); due {
			d.submit(r)
		}
		for _, r := range d.group.DueSuspects() {
			d.appendSuspect(r)
		}
		if d.group.Acting() {
			for _, r := range slices.Concat(d.group.DueRemovals(), d.missing.DueEvicts()) {
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

// appendSuspect appends a Suspect and retries until its offset in the log is known: before that, no promise may
// be given.
func (d *Daemon) appendSuspect(r fleet.Record) {
	if r.ID == "" {
		r.ID = newID()
	}
	d.log.Warn("peer is silent", zap.String("Member", r.Suspect.Target))
	if !d.pending.Begin(r) {
		return
	}
	// This bypasses the submissions queue, which may drop records: the target stays marked until RecordSuspect.
	s := &submission{d: d, rec: r, done: func(out oplog.Outcome) {
		if out.Verdict == oplog.Accepted || out.Verdict == oplog.Rejected {
			d.group.RecordSuspect(r.Suspect.Target, out.Offset)
			return
		}
		if d.ctx.Err() == nil {
			d.appendSuspect(r)
		}
	}}
	go s.run(d.ctx)
}

// acknowledge submits the acknowledgement that is due, if any.
func (d *Daemon) acknowledge() {
	if r, due := d.group.DueAck(d.routedOffset.Load(), d.pools.inProgress); due {
		d.submit(r)
	}
}

// digest returns the state of this entry for its peers, including its VM list and worker health.
func (d *Daemon) digest() Digest {
	dg := d.group.Digest()
	dg.Leaving, dg.ListAge = d.leaving.Own(), -1
	if l, ok := d.vms.List(); ok {
		dg.ListAge = d.cfg.Clock.Now().Sub(l.Received).Milliseconds()
	}
	dg.Ejected, dg.Dead = d.health.Report(d.cfg.Clock.Now())
	return dg
}

// leaveLoop updates the set of leaving VMs, so that they get no new work even while the log is down.
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

// snapshotLoop appends a snapshot when one is due and this entry is the acting one.
func (d *Daemon) snapshotLoop(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	lastThrough, lastSeenAt := int64(-2), d.cfg.Clock.Now() // -2 is not the offset of any snapshot
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := d.cfg.Clock.Now()
		var due bool
		d.store.View(func(st *fleet.State) {
			if st.Snapshots.Through != lastThrough {
				lastThrough, lastSeenAt = st.Snapshots.Through, now
			}
			at, pending := st.NextSnapshotDue(lastSeenAt)
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
		d.log.Error("encode of the snapshot failed", zap.Error(err))
		return
	}
	for _, r := range records {
		if _, err := d.writer.Append(ctx, r); err != nil {
			d.log.Warn("append of a snapshot chunk failed, the snapshot is incomplete", zap.Error(err))
			return
		}
	}
	d.log.Info("snapshot appended", zap.Int64("Through", records[0].Snapshot.Through), zap.Int("Chunks", len(records)))
}
