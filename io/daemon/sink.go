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

// logSink receives batches and errors from the log reader. It implements oplog.Sink.
type logSink struct{ d *Daemon }

// Batch folds the records and renews the view lease if the read was fresh.
func (s logSink) Batch(_ context.Context, b oplog.Batch) {
	read := time.Time{}
	if b.Fresh() {
		read = b.SentAt
	}
	s.d.fold(b.Records, read)
}

// Expired loads a newer state, from a snapshot in the log or from a peer, and returns the offset to read next.
func (s logSink) Expired(ctx context.Context, first, next int64) (int64, error) {
	s.d.log.Warn("the next record is no longer in the log", zap.Int64("First", first), zap.Int64("Next", next))
	if err := s.d.loadState(ctx, first, next); err != nil {
		return 0, err
	}
	return s.d.store.Offset() + 1, nil
}

// Failed logs a failed read. Without further reads the view lease expires.
func (s logSink) Failed(err error) { s.d.log.Debug("log read failed", zap.Error(err)) }

// fold folds records that were read from the log or relayed by a peer.
// read is the start of a fresh read of the log that ended with these records, or zero.
func (d *Daemon) fold(records []oplog.Entry, read time.Time) {
	d.foldMu.Lock()
	defer d.foldMu.Unlock()
	folded := d.store.Fold(records)
	next := d.store.Offset() + 1
	// End marks the batch as not fresh: this entry reports the age of its reads in its Digest, not with the records.
	d.recent.Add(oplog.Batch{Records: folded, Next: next, End: math.MaxInt64})
	if d.reader != nil && len(folded) > 0 {
		d.reader.Advance(next)
	}
	d.handleFold(read)
}

// replaceState replaces the folded state by a newer one from a snapshot or a peer.
func (d *Daemon) replaceState(st *fleet.State) {
	d.foldMu.Lock()
	defer d.foldMu.Unlock()
	if !d.store.Replace(st) {
		return
	}
	if d.reader != nil {
		d.reader.Advance(st.Offset + 1)
	}
	d.handleFold(time.Time{})
}

// handleFold updates the claim members, and then the group, whose lease allows work under the new state.
func (d *Daemon) handleFold(read time.Time) {
	d.setClaimMembers()
	if ended := d.group.HandleFold(read); ended != "" {
		d.log.Warn("membership ended, joining under a new ID", zap.String("Member", ended), zap.String("New", d.group.Self()))
	}
}

// lossWindow is how long a lost member counts as a loss of idempotency keys: the retention of a claim, plus a
// minute for clock differences.
const lossWindow = dedup.DefaultRetention + time.Minute

// setClaimMembers passes the members and recent losses of this region to the claim node.
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

// snapshotWindow is the number of newest records that are searched for a snapshot first: twice the distance
// between snapshots, plus 512 for their chunks.
const snapshotWindow = 2*fleet.SnapshotRecords + 512

// loadState loads the newest snapshot among the records [first, next) of the log, else the state of a peer.
// A log that still holds its first record needs neither.
func (d *Daemon) loadState(ctx context.Context, first, next int64) error {
	for _, from := range []int64{max(first, next-snapshotWindow), first} {
		st, err := d.findSnapshot(ctx, from, next)
		if err != nil {
			return err
		}
		// The records after the snapshot must still be in the log.
		if st != nil && st.Offset+1 >= first {
			d.replaceState(st)
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

// findSnapshot returns the newest complete snapshot among the records [from, to), or nil.
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
			if st := d.addChunk(asm, e); st != nil && (newest == nil || st.Offset > newest.Offset) {
				newest = st
			}
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
	return newest, nil
}

// addChunk adds a record to the assembler if it is part of a snapshot. It returns the state of a snapshot that
// this completes, else nil.
func (d *Daemon) addChunk(asm *fleet.Assembler, e oplog.Entry) *fleet.State {
	r, err := fleet.Decode(e.Data)
	if err != nil || r.Kind != fleet.KindSnapshot || r.Snapshot == nil {
		return nil
	}
	st, err := asm.Add(*r.Snapshot)
	if err != nil {
		d.log.Warn("snapshot chunk in the log is invalid", zap.Int64("Offset", e.Offset), zap.Error(err))
		return nil
	}
	return st
}

// loadFromPeers loads the state of the first peer that has one. It returns the error of the last peer if none has.
func (d *Daemon) loadFromPeers(ctx context.Context) error {
	err := eris.New("no peer address is known")
	for _, addr := range d.addrs.All() {
		if err = d.links.fetchState(ctx, addr); err == nil && d.store.Offset() >= 0 {
			return nil
		}
	}
	return err
}

// startRetryInterval is the wait between two attempts to load a state at the start.
const startRetryInterval = 300 * time.Millisecond

// awaitState retries until a state is loaded from the log or, while that is down, from a peer.
// It returns the error of ctx if that ends first.
func (d *Daemon) awaitState(ctx context.Context) error {
	for {
		err := d.loadInitialState(ctx)
		if err == nil {
			return nil
		}
		d.log.Info("loading the initial state failed, retrying", zap.Error(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.after(startRetryInterval):
		}
	}
}

func (d *Daemon) loadInitialState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	span, err := d.client.Bounds(ctx)
	if err != nil {
		return d.loadFromPeers(ctx)
	}
	return d.loadState(ctx, span.First, span.Next)
}
