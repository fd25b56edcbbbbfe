package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/io/admin"
	"sassafrasvalve/io/oplog"
	"sassafrasvalve/io/stats"
)

// appender gives the operator API access to the log. It implements admin.Appender.
type appender struct{ d *Daemon }

// Append appends a record of an operator and returns its outcome.
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

// Entries returns the configuration status of this entry and its peers. It implements admin.Entries.
func (d *Daemon) Entries() []admin.EntryStatus {
	now := d.cfg.Clock.Now()
	reports := append(d.group.Peers(), peerReport{Digest: d.digest(), ReceivedAt: now})
	var out []admin.EntryStatus
	d.store.View(func(st *fleet.State) {
		for _, v := range reports {
			m := st.Members[v.Member]
			if m == nil {
				continue
			}
			out = append(out, admin.EntryStatus{
				Member: v.Member, Admin: m.Admin, Version: v.Version, Offset: v.Offset, AsOf: v.ReceivedAt,
				Silent: now.Sub(v.ReceivedAt) > member.SilenceTimeout,
			})
		}
	})
	return out
}

// Live always returns nil: a process that answers need not be replaced. It implements admin.Health.
func (d *Daemon) Live() error { return nil }

// Ready returns an error unless the balancer should send callers to this entry. It implements admin.Health.
func (d *Daemon) Ready() error {
	if !d.entry.Ready() {
		return eris.New("the entry is stopping or has no configuration")
	}
	return d.group.Check()
}

// serveAdmin serves the operator API until ctx ends.
func (d *Daemon) serveAdmin(ctx context.Context) {
	go func() {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = d.admin.Stop(ctx)
	}()
	if err := d.admin.Serve(d.adminListener); err != nil {
		d.log.Error("serving the operator API failed", zap.Error(err))
	}
}

// observer counts answered requests. It implements entry.Observer.
type observer struct{ stats *stats.Stats }

// Observe counts an answered request.
func (o observer) Observe(obs stats.Observation) { o.stats.Observe(obs) }
