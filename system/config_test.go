package system

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/fake/cloud"
	"sassafrasvalve/io/admin"
)

// inForceLimit is the time within which an accepted configuration must be in force on all live entries.
const inForceLimit = 3 * time.Second

// configWorld is a world whose configuration changes add one tenant at a time.
type configWorld struct {
	*world
	fleet        spec.Fleet
	inForceTimes []time.Duration // times from acceptance until in force, by call of waitInForce
}

func newConfigWorld(t *testing.T, entries int) *configWorld {
	sizes := map[string]int{"alpha": 2, "beta": 2, "spare": 1}
	f := smallFleet(sizes)
	return &configWorld{world: newWorld(t, worldConfig{Entries: entries, Pools: sizes, Fleet: f}), fleet: f}
}

// addTenant returns a change of version base that adds a tenant.
func (w *configWorld) addTenant(base int, tenant string) admin.ApplyRequest {
	f := w.fleet
	f.Tenants = append(slices.Clone(f.Tenants), spec.Tenant{Name: tenant})
	return admin.ApplyRequest{ID: uuid.NewString(), Base: base, Fleet: f, Writer: "operator"}
}

// applyUntilKnown sends a change until its outcome is known, as an operator does.
func (w *configWorld) applyUntilKnown(req admin.ApplyRequest, entries ...*entryProc) admin.Decision {
	w.t.Helper()
	var d admin.Decision
	w.eventually("the outcome of a change is known", 15*time.Second, func() error {
		var err error
		if d, err = w.client(entries...).Apply(w.t.Context(), req); err == nil && d.Outcome == admin.Unknown {
			err = fmt.Errorf("unknown: %s", d.Reason)
		}
		return err
	})
	return d
}

// waitInForce waits until every entry serves a tenant, and records the time since the acceptance.
func (w *configWorld) waitInForce(tenant string, accepted time.Time, entries ...*entryProc) {
	w.t.Helper()
	for _, e := range entries {
		for {
			a, err := e.send(request{Tenant: tenant, Timeout: inForceLimit})
			if err == nil && a.Status == http.StatusOK {
				break
			}
			if time.Since(accepted) > inForceLimit {
				w.t.Fatalf("%s does not serve %s %v after its acceptance: %v %s", e.vm, tenant, time.Since(accepted), err, a.Body)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	w.inForceTimes = append(w.inForceTimes, time.Since(accepted))
}

// versions returns the configuration version in force on each entry that answers.
func (w *configWorld) versions() map[string]int {
	out := map[string]int{}
	for _, e := range w.entries {
		if st, err := w.client(e).Config(w.t.Context()); err == nil {
			out[e.vm] = st.Version
		}
	}
	return out
}

// Guards against a change that takes longer than 3 s to be in force, concurrent changes of the same version of which
// two are accepted, and an outcome that stays unknown after the reply to an append was lost.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	w := newConfigWorld(t, 4)
	version := 1
	for n := range 60 {
		switch n % 5 {
		case 1:
			w.fault(cloud.Fault{LoseNext: 1})
		case 3:
			w.fault(cloud.Fault{DuplicateN: 3})
		}
		tenant := fmt.Sprint("tenant-", n)
		d := w.applyUntilKnown(w.addTenant(version, tenant), w.entries[n%4], w.entries[(n+1)%4])
		assert.Equal(t, d.Outcome, admin.Accepted, d.Reason)
		assert.Equal(t, d.Version, version+1)
		version++
		w.waitInForce(tenant, time.Now(), w.entries...)
	}
	t.Logf("%d changes in force on 4 entries: p50 %v, p99 %v, max %v", len(w.inForceTimes),
		quantile(w.inForceTimes, 0.5).Round(time.Millisecond), quantile(w.inForceTimes, 0.99).Round(time.Millisecond),
		slices.Max(w.inForceTimes).Round(time.Millisecond))

	for race := range 15 {
		var wg sync.WaitGroup
		decisions := make([]admin.Decision, 4)
		for i, e := range w.entries {
			wg.Add(1)
			go func() {
				defer wg.Done()
				decisions[i] = w.applyUntilKnown(w.addTenant(version, fmt.Sprintf("race-%d-%d", race, i)), e)
			}()
		}
		wg.Wait()
		won := slices.DeleteFunc(slices.Clone(decisions), func(d admin.Decision) bool { return d.Outcome != admin.Accepted })
		assert.Equal(t, len(won), 1, "race %d: %v", race, decisions)
		version++
	}
	w.eventually("all have the last version", inForceLimit, func() error {
		for vm, v := range w.versions() {
			if v != version {
				return fmt.Errorf("%s has %d, not %d", vm, v, version)
			}
		}
		return nil
	})
}

// Guards against a configuration that reverts to an older version: when all entries are killed and restarted, when
// one starts during a platform outage, and when the log no longer retains the records with the changes.
func TestConfigurationNeverReverts(t *testing.T) {
	w := newConfigWorld(t, 3)
	w.eventually("all entries vote", 10*time.Second, func() error {
		for _, m := range w.state().Members {
			if !m.Voting {
				return fmt.Errorf("%s does not vote yet", m.ID)
			}
		}
		return nil
	})
	accept := func(base int, tenant string) {
		t.Helper()
		d := w.applyUntilKnown(w.addTenant(base, tenant))
		assert.Equal(t, d.Outcome, admin.Accepted, d.Reason)
		w.waitInForce(tenant, time.Now(), w.entries...)
	}
	accept(1, "first")
	w.restartAll()
	w.waitServesTenant("first", w.entries...)
	accept(2, "second")

	// During the outage two entries keep their leases by promises of their peers, and the third starts from their state.
	w.entries[2].kill()
	w.fault(cloud.Fault{Outage: cloud.OutageRefuse})
	w.entries[2].start()
	w.waitServesTenant("second", w.entries[:2]...)
	w.eventually("the started entry has the state of a peer", 10*time.Second, func() error {
		if v := w.versions()[w.entries[2].vm]; v != 3 {
			return fmt.Errorf("version %d", v)
		}
		return nil
	})
	req := w.addTenant(3, "third")
	d, err := w.client().Apply(t.Context(), req)
	assert.Assert(t, err != nil || d.Outcome == admin.Unknown, "accepted without the log: %v", d)
	w.fault(cloud.Fault{Clear: true})
	assert.Equal(t, w.applyUntilKnown(req).Outcome, admin.Accepted)
	w.waitInForce("third", time.Now(), w.entries[:2]...)
	w.eventually("the started entry is a member", 10*time.Second, func() error {
		if st, err := w.client(w.entries[2]).Config(t.Context()); err != nil || st.Version != 4 {
			return fmt.Errorf("version %d, error %w", st.Version, err)
		}
		return nil
	})
	w.waitServesTenant("third", w.entries...)

	w.fillLog(fleet.SnapshotRecords)
	w.eventually("a snapshot is in the log", 15*time.Second, func() error {
		if st := w.state(); st.Snapshots.Through < fleet.SnapshotRecords {
			return fmt.Errorf("newest through %d", st.Snapshots.Through)
		}
		return nil
	})
	retain := 100
	w.fault(cloud.Fault{Retain: &retain})
	w.restartAll()
	w.waitServesTenant("third", w.entries...)
	for vm, v := range w.versions() {
		assert.Equal(t, v, 4, vm)
	}
}

// waitServesTenant waits until every entry serves a tenant. It fails at once if an entry does not know the tenant.
func (w *configWorld) waitServesTenant(tenant string, entries ...*entryProc) {
	w.t.Helper()
	for _, e := range entries {
		w.eventually(e.vm+" serves "+tenant, 25*time.Second, func() error {
			a, err := e.send(request{Tenant: tenant, Timeout: 2 * time.Second})
			switch {
			case err != nil:
				return err
			case a.Status == http.StatusBadRequest:
				w.t.Fatalf("%s does not know %s: %s", e.vm, tenant, a.Body)
			case a.Status != http.StatusOK:
				return fmt.Errorf("status %d: %s", a.Status, a.Body)
			}
			return nil
		})
	}
}

// restartAll kills all entries before it starts the first one again, so that their state can only come from the log.
func (w *configWorld) restartAll() {
	for _, e := range w.entries {
		e.kill()
	}
	for _, e := range w.entries {
		e.start()
	}
}

// fillLog appends n records that have no effect.
func (w *configWorld) fillLog(n int) {
	w.t.Helper()
	const batch = 200
	for first := 0; first < n; first += batch {
		var records [][]byte
		for i := range batch {
			data, err := fleet.Encode(fleet.Record{
				ID: fmt.Sprint("fill-", first+i), Version: fleet.RecordVersion, Kind: fleet.KindLeave, Writer: "test",
				At: time.Now(), Leave: &fleet.Leave{Member: "nobody#1"},
			})
			assert.NilError(w.t, err)
			records = append(records, data)
		}
		_, err := w.log.Append(w.t.Context(), records)
		assert.NilError(w.t, err)
	}
}
