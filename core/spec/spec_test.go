package spec

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

// Guards against an invalid configuration that is not reported, or is reported at the wrong
// path or in the wrong order. Each line of the golden file that begins with a brace is a
// change to a valid fleet; the lines after it are the expected problems.
func TestValidate(t *testing.T) {
	script, err := os.ReadFile("testdata/faults.golden")
	assert.NilError(t, err)
	var out strings.Builder
	for line := range strings.Lines(string(script)) {
		if !strings.HasPrefix(line, "{") {
			continue
		}
		var change Fleet
		assert.NilError(t, json.Unmarshal([]byte(line), &change), line)
		f := validFleet()
		f.Pools = changedOr(change.Pools, f.Pools)
		f.Services = changedOr(change.Services, f.Services)
		f.Classes = changedOr(change.Classes, f.Classes)
		f.Tenants = changedOr(change.Tenants, f.Tenants)
		fmt.Fprintf(&out, "%s", line)
		for _, p := range Validate(f) {
			fmt.Fprintf(&out, "\t%v %s\n", p, p.Related)
		}
	}
	golden.Assert(t, out.String(), "faults.golden")
}

// changedOr returns the changed list, or the valid one if the line does not change it.
func changedOr[T any](changed, valid []T) []T {
	if changed == nil {
		return valid
	}
	return changed
}

// validFleet returns a valid configuration.
func validFleet() Fleet {
	return Fleet{
		Pools:    []Pool{{Name: "work", Size: 4}, {Name: "spare", Size: 1, Spare: true}},
		Services: []Service{{Name: "s", Pool: "work", Budget: Budget{MinAvailable: 3, MaxUnavailable: 1}}},
		Classes: []Class{
			{Name: "urgent", Share: 0.6}, {Name: "late", Rank: 9, Share: 0.3, Deferrable: true, FinishBy: "Sat 06:00"},
		},
		Tenants: []Tenant{{Name: "t", Rate: 0.5}},
	}
}

// Guards against a deadline in the past or a week late, in particular if now is exactly the deadline
// or is not in UTC.
func TestNextDeadline(t *testing.T) {
	c := Class{Deferrable: true, FinishBy: "Sat 06:00"}
	for now, want := range map[string]string{
		"2026-12-04T23:59:00Z":      "2026-12-05T06:00:00Z",
		"2026-12-05T05:59:59Z":      "2026-12-05T06:00:00Z",
		"2026-12-05T06:00:00Z":      "2026-12-12T06:00:00Z",
		"2026-12-05T07:30:00+02:00": "2026-12-05T06:00:00Z",
		"2026-12-31T00:00:00Z":      "2027-01-02T06:00:00Z",
	} {
		at, err := time.Parse(time.RFC3339, now)
		assert.NilError(t, err)
		assert.Equal(t, NextDeadline(c, at).Format(time.RFC3339), want, now)
	}
	assert.Assert(t, NextDeadline(Class{FinishBy: "Sat 06:00"}, time.Now()).IsZero())
	assert.Assert(t, NextDeadline(Class{Deferrable: true, FinishBy: "Sat 6"}, time.Now()).IsZero())
}

// Guards against a diff that reports explicit defaults or a new order as changes,
// or omits a changed field.
func TestDiff(t *testing.T) {
	a := validFleet()
	b := Normalize(a)
	b.Pools[0], b.Pools[1] = b.Pools[1], b.Pools[0]
	assert.Equal(t, len(Diff(a, b)), 0)
	b.Pools = b.Pools[1:]
	b.Services[0].Budget.MaxUnavailable = 2
	b.Classes[0].MaxWait = Duration(2500 * time.Millisecond)
	b.Tenants = append(b.Tenants, Tenant{Name: "n", Weight: 3})
	assert.DeepEqual(t, Diff(a, b), []Change{
		{Path: `Pools["spare"]`, Kind: Removed, Old: "Size=1 Spare=true Slots=8 Connections=64"},
		{Path: `Services["s"].Budget.MaxUnavailable`, Kind: Changed, Old: "1", New: "2"},
		{Path: `Classes["urgent"].MaxWait`, Kind: Changed, Old: "0s", New: "2.5s"},
		{Path: `Tenants["n"]`, Kind: Added, New: "Weight=3"},
	})
}

// Guards against a tenant with a rate below one request per second that could never send a request,
// and against defaults that are written into the caller's slices.
func TestNormalize(t *testing.T) {
	f := validFleet()
	n := Normalize(f)
	assert.Equal(t, n.Tenants[0].Burst, 1)
	assert.DeepEqual(t, f, validFleet())
}

// Guards against a configuration that passes validation although a service could never lose a VM
// to maintenance, a class could never get a slot, or the shares add up to more than all slots.
func TestValidFleetCanBeMaintained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		if len(Validate(f)) > 0 {
			return
		}
		n, sum := Normalize(f), 0.0
		for _, s := range n.Services {
			p, ok := n.Pool(s.Pool)
			assert.Assert(t, ok && s.Budget.MaxOut(p.Size) >= 1, "%+v on %+v", s, p)
			for _, c := range n.Classes {
				assert.Assert(t, c.Ceiling*float64(p.Size*p.Slots) >= 1, "%+v on %+v", c, p)
			}
		}
		for _, c := range n.Classes {
			sum += c.Share
		}
		assert.Assert(t, sum <= 1+shareTolerance)
		assert.Equal(t, len(Diff(f, n)), 0)
	})
}

// drawFleet generates a small configuration, which is often valid.
func drawFleet(t *rapid.T) Fleet {
	count, fraction := rapid.IntRange(0, 6), rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.5, 0.6})
	f := Fleet{Pools: []Pool{{Name: "work", Size: count.Draw(t, "size"), Slots: count.Draw(t, "slots")}}}
	f.Services = []Service{{Name: "s", Pool: "work", Budget: Budget{
		MinAvailable: count.Draw(t, "min"), MaxUnavailable: count.Draw(t, "max"),
		MinAvailablePercent: rapid.SampledFrom([]int{0, 40, 75, 90}).Draw(t, "percent"),
	}}}
	for i := range 2 {
		f.Classes = append(f.Classes, Class{
			Name: fmt.Sprint("c", i), Rank: i, Share: fraction.Draw(t, "share"), Ceiling: fraction.Draw(t, "ceiling"),
		})
	}
	return f
}

// Guards against a changed key that the diff does not show because the first digits are equal, a digest in formatted text, a clone
// whose keys are those of the original, and records of configurations without keys that differ from those of earlier versions.
func TestKeys(t *testing.T) {
	f := validFleet()
	f.Tenants[0].Keys = []KeyDigest{DigestKey("a"), DigestKey("b")}
	c := f.Clone()
	c.Tenants[0].Keys[1] = c.Tenants[0].Keys[1][:60] + "0000"
	assert.Equal(t, f.Tenants[0].Keys[1], DigestKey("b"))
	assert.DeepEqual(t, Diff(f, c), []Change{
		{Path: `Tenants["t"].Keys`, Kind: Changed, Old: "[3e23e816… ca978112…]", New: "[3e23e816… ca978112…]"},
	})
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%v %+v", f, f), string(DigestKey("a"))))
	old, err := json.Marshal(validFleet())
	assert.NilError(t, err)
	for _, key := range []string{"Keys", "Public", "MaxCPU", "MaxMemMB", "MaxGPU"} {
		assert.Assert(t, !strings.Contains(string(old), key), "%s is written without a value, which changes the record", key)
	}
}
