package daemon

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"sassafrasvalve/core/dedup"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/io/oplog"
)

// newID returns a new record ID.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

// logSink takes what the reader of the log delivers. It implements oplog.Sink.
type logSink struct{ d *Daemon }

// Batch folds the records and renews the view lease if the read was fresh.
func (s logSink) Batch(_ context.Context, b oplog.Batch) {
	read := time.Time{}
	if b.Fresh() {
		read = b.Began
	}
	s.d.fold(b.Records, read)
}

// Expired loads a newer state, from a snapshot in the log or from a peer.
func (s logSink) Expired(ctx context.Context, first, next int64) (int64, error) {
	s.d.log.Warn("the next record has left the log", zap.Int64("First", first), zap.Int64("Next", next))
	if err := s.d.load(ctx, first, next); err != nil {
		return 0, err
	}
	return s.d.store.Offset() + 1, nil
}

// Failed logs a failed read. The view lease then runs out by itself.
func (s logSink) Failed(err error) { s.d.log.Debug("log read failed", zap.Error(err)) }

// fold folds records that were read from the log or relayed by a peer.
// read is when a fresh read of the log began that these records end, or zero.
func (d *Daemon) fold(records []oplog.Entry, read time.Time) {
	d.foldMu.Lock()
	defer d.foldMu.Unlock()
	folded := d.store.Fold(records)
	next := d.store.Offset() + 1
	d.tail.Add(oplog.Batch{Records: folded, Next: next, End: math.MaxInt64})
	if d.reader != nil && len(folded) > 0 {
		d.reader.Advance(next)
	}
	d.folded(read)
}

// replace puts a state from a snapshot or a peer in force.
func (d *Daemon) replace(st *fleet.State) {
	d.foldMu.Lock()
	defer d.foldMu.Unlock()
	if !d.store.Replace(st) {
		return
	}
	if d.reader != nil {
		d.reader.Advance(st.Offset + 1)
	}
	d.folded(time.Time{})
}

// folded tells what depends on the membership, before the view lease allows work under the new state.
func (d *Daemon) folded(read time.Time) {
	d.setClaimMembers()
	if ended := d.group.Folded(read); ended != "" {
		d.log.Warn("membership has ended, joining again", zap.String("Member", ended), zap.String("New", d.group.Self()))
	}
}

// lossWindow is how long a lost member counts against the idempotency keys: the retention of a
// claim, and a minute for the difference of clocks.
const lossWindow = dedup.DefaultRetention + time.Minute

func (d *Daemon) setClaimMembers() {
	now := d.cfg.Clock.Now()
	region := d.cfg.Settings.Region
	var members []string
	var offset int64
	lost := 0
	d.store.View(func(st *fleet.State) {
		offset = st.Offset
		for id, m := range st.Members {
			if m.Region == region {
				members = append(members, id)
			}
		}
		for _, l := range st.Losses {
			if l.Region == region && now.Sub(l.At) < lossWindow {
				lost++
			}
		}
	})
	slices.Sort(members)
	d.claims.SetMembers(offset, members, d.group.Self(), lost)
}

// snapshotWindow is the number of records searched for a snapshot first: twice the distance
// between snapshots, and room for their chunks.
const snapshotWindow = 2*fleet.SnapshotRecords + 512

// load loads the newest state that the log's records [first, next) hold as a snapshot,
// else that of a peer. A log that still holds its first record needs neither.
func (d *Daemon) load(ctx context.Context, first, next int64) error {
	for _, from := range []int64{max(first, next-snapshotWindow), first} {
		st, err := d.findSnapshot(ctx, from, next)
		if err != nil {
			return err
		}
		// The records after the snapshot must still be in the log.
		if st != nil && st.Offset+1 >= first {
			d.replace(st)
			return nil
		}
	}
	if first == 0 {
		return nil
	}
	if err := d.loadFromPeers(ctx); err != nil {
		return eris.Wrapf(err, "the log starts at offset %d and holds no snapshot", first)
	}
	return nil
}

// findSnapshot returns the newest whole snapshot among the records [from, to), or nil.
func (d *Daemon) findSnapshot(ctx context.Context, from, to int64) (*fleet.State, error) {
	asm := fleet.NewAssembler(stateConfig())
	var newest *fleet.State
	for from < to {
		page, err := d.client.Read(ctx, from, 512, 0)
		if err != nil {
			return nil, eris.Wrap(err, "search the log for a snapshot")
		}
		if len(page.Records) == 0 {
			break
		}
		for _, e := range page.Records {
			if st := d.chunk(asm, e); st != nil && (newest == nil || st.Offset > newest.Offset) {
				newest = st
			}
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
	return newest, nil
}

// chunk adds a record to the assembler if it is part of a snapshot.
func (d *Daemon) chunk(asm *fleet.Assembler, e oplog.Entry) *fleet.State {
	r, err := fleet.Decode(e.Data)
	if err != nil || r.Kind != fleet.KindSnapshot || r.Snapshot == nil {
		return nil
	}
	st, err := asm.Add(*r.Snapshot)
	if err != nil {
		d.log.Warn("snapshot in the log is not usable", zap.Int64("Offset", e.Offset), zap.Error(err))
		return nil
	}
	return st
}

// loadFromPeers takes the state of the first peer that has one.
func (d *Daemon) loadFromPeers(ctx context.Context) error {
	err := eris.New("no peer answers")
	for _, addr := range d.addrs.All() {
		if err = d.links.fetchState(ctx, addr); err == nil && d.store.Offset() >= 0 {
			return nil
		}
	}
	return err
}

// startPause is the wait between two tries to find a state at the start.
const startPause = 300 * time.Millisecond

// start waits until there is a state to serve from: from the log, or while it is down from a peer.
func (d *Daemon) start(ctx context.Context) error {
	for {
		err := d.tryStart(ctx)
		if err == nil {
			return nil
		}
		d.log.Info("no state to start from yet", zap.Error(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.after(startPause):
		}
	}
}

func (d *Daemon) tryStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	span, err := d.client.Bounds(ctx)
	if err != nil {
		return d.loadFromPeers(ctx)
	}
	return d.load(ctx, span.First, span.Next)
}
