package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/io/admin"
	"sassafrasvalve/io/oplog"
	"sassafrasvalve/io/stats"
)

// appender gives the operator API access to the log. It implements admin.Appender.
type appender struct{ d *Daemon }

// Append appends a record of an operator.
func (a appender) Append(ctx context.Context, r fleet.Record) (admin.Result, error) {
	out, err := a.d.writer.Append(ctx, r)
	res := admin.Result{Offset: out.Offset, Reason: out.Reason}
	switch out.Verdict {
	case oplog.Accepted:
		res.Outcome = admin.Accepted
	case oplog.Rejected:
		res.Outcome = admin.Rejected
	case oplog.NotAppended:
		res.Outcome = admin.NotAppended
	default:
		res.Outcome = admin.Unknown
	}
	return res, err
}

// Entries returns what the entries say about their configuration. It implements admin.Entries.
func (d *Daemon) Entries() []admin.EntryStatus {
	now := d.cfg.Clock.Now()
	views := append(d.group.Peers(), peerView{Digest: d.digest(), At: now})
	var out []admin.EntryStatus
	d.store.View(func(st *fleet.State) {
		for _, v := range views {
			m := st.Members[v.Member]
			if m == nil {
				continue
			}
			out = append(out, admin.EntryStatus{
				Member: v.Member, Admin: m.Admin, Version: v.Version, Offset: v.Offset, AsOf: v.At,
				Silent: now.Sub(v.At) > member.SilenceTimeout,
			})
		}
	})
	return out
}

// Live reports whether the process should be kept. It implements admin.Health.
func (d *Daemon) Live() error { return nil }

// Ready reports whether the balancer should send callers here.
func (d *Daemon) Ready() error {
	if !d.entry.Ready() {
		return eris.New("the entry is stopping or has no configuration")
	}
	return d.group.Check()
}

// serveAdmin serves operators until ctx ends.
func (d *Daemon) serveAdmin(ctx context.Context) {
	go func() {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = d.admin.Stop(ctx)
	}()
	if err := d.admin.Serve(d.adminListener); err != nil {
		d.log.Error("the operator API has ended: " + err.Error())
	}
}

// observer counts answered requests. It implements entry.Observer.
type observer struct{ stats *stats.Stats }

// Observe counts a request.
func (o observer) Observe(obs stats.Observation) { o.stats.Observe(obs) }
