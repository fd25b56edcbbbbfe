package plan

import "time"

// Growth determines how many VMs of a wave may be out at once. With GrowDouble, each failed VM halves the number.
type Growth string

// The kinds of growth.
const (
	GrowDouble    Growth = "Double"   // from Batch up to MaxBatch, times GrowthFactor after each full batch of successes
	GrowConstant  Growth = "Constant" // Batch, without growth to MaxBatch
	GrowImmediate Growth = "None"     // MaxBatch from the start
	GrowSerial    Growth = "Serial"   // one VM at a time; a baseline of the experiments
	GrowPercent   Growth = "Percent"  // a tenth of each pool, at least one VM, up to MaxBatch; a baseline of the experiments
)

// Config holds the settings of the rules. Zero fields take their defaults, if they have one.
type Config struct {
	// FillPools lets new VMs enter the most urgent pool that lacks VMs. Otherwise they enter the spare pool.
	FillPools bool
	Growth    Growth
	// GrowthFactor multiplies the batch of GrowDouble after each full batch of successes.
	GrowthFactor int

	ListMaxAge         time.Duration // an older list does not prove that a VM is absent
	MinAbsence         time.Duration // a VM must be absent from the list for this time before it counts as lost
	MinMassLoss        time.Duration // the loss of more than half of the VMs must last for this time
	DrainTimeout       time.Duration // a longer drain fails the VM
	RebootTimeout      time.Duration // a longer reboot fails the VM
	RebootRepeat       time.Duration // a reboot that has not been seen is requested again after this time
	TakeoverWait       time.Duration // a request of the previous planner may still arrive within this time after the takeover
	ReadyFor           time.Duration // a rebooted VM must answer probes for this time
	StableFor          time.Duration // a failed VM must answer probes for this time
	ProbeMaxAge        time.Duration // an older probe does not prove that a VM answers
	ReportSettleTime   time.Duration // reports on a VM that became active are ignored for this time
	FlapCount          int           // number of failures within FlapWindow at which a VM counts as flapping
	FlapWindow         time.Duration
	FlapHold           time.Duration // a flapping VM stays out for this time
	ReplaceAfter       time.Duration // a failed VM is replaced after this time
	ReplaceUrgentAfter time.Duration // replaces ReplaceAfter in pools with a broken budget
	SurplusAfter       time.Duration // a pool above its size returns VMs after this time
	LendReturnAfter    time.Duration // replaces SurplusAfter in pools of a running wave
	MoveHold           time.Duration // a moved VM stays in its pool for this time
	MoveHoldTakeover   time.Duration // replaces MoveHold for moves before this planner started
	RecordTimeout      time.Duration // a record that has not been folded after this time is no longer pending
	MaxPlanGap         time.Duration // after a longer break between calls of Plan the local state is reset

	WaveSpares   int // maximum of VMs that the spare pool lends to each pool of a running wave
	SpareReserve int // active VMs of the spare pool that are not lent

	MaxSick    int // VMs of a pool that may be out at once because entries had ejected them
	MaxMoving  int // moves that may be in progress at once in a region
	MaxRecords int // records that one call of Plan may return
}

// Defaults of Config. docs/rollout.md has the figures behind several of them.
const (
	defaultListMaxAge         = 30 * time.Second
	defaultMinAbsence         = 30 * time.Second
	defaultMinMassLoss        = 5 * time.Minute
	defaultDrainTimeout       = 10 * time.Minute
	defaultRebootTimeout      = 15 * time.Minute
	defaultRebootRepeat       = time.Minute
	defaultTakeoverWait       = 3 * time.Second // above the 2 s timeout of a request
	defaultReadyFor           = 5 * time.Second
	defaultStableFor          = 30 * time.Second
	defaultProbeMaxAge        = 10 * time.Second
	defaultReportSettleTime   = 15 * time.Second // a report covers the 10 s before it
	defaultGrowthFactor       = 2
	defaultFlapCount          = 3
	defaultFlapWindow         = 10 * time.Minute
	defaultFlapHold           = time.Hour
	defaultReplaceAfter       = 5 * time.Minute
	defaultReplaceUrgentAfter = 30 * time.Second
	defaultSurplusAfter       = 10 * time.Minute
	defaultLendReturnAfter    = 30 * time.Second
	defaultMoveHold           = 10 * time.Minute
	defaultMoveHoldTakeover   = time.Minute
	defaultRecordTimeout      = 15 * time.Second
	defaultMaxPlanGap         = 30 * time.Second
	defaultMaxSick            = 1
	defaultMaxMoving          = 4
	defaultMaxRecords         = 128 // leaves capacity in the log, which takes several hundred appends a second
)

func (c Config) withDefaults() Config {
	if c.Growth == "" {
		c.Growth = GrowDouble
	}
	for _, f := range []struct {
		d   *time.Duration
		def time.Duration
	}{
		{&c.ListMaxAge, defaultListMaxAge},
		{&c.MinAbsence, defaultMinAbsence},
		{&c.MinMassLoss, defaultMinMassLoss},
		{&c.DrainTimeout, defaultDrainTimeout},
		{&c.RebootTimeout, defaultRebootTimeout},
		{&c.RebootRepeat, defaultRebootRepeat},
		{&c.TakeoverWait, defaultTakeoverWait},
		{&c.ReadyFor, defaultReadyFor},
		{&c.StableFor, defaultStableFor},
		{&c.ProbeMaxAge, defaultProbeMaxAge},
		{&c.ReportSettleTime, defaultReportSettleTime},
		{&c.FlapWindow, defaultFlapWindow},
		{&c.FlapHold, defaultFlapHold},
		{&c.ReplaceAfter, defaultReplaceAfter},
		{&c.ReplaceUrgentAfter, defaultReplaceUrgentAfter},
		{&c.SurplusAfter, defaultSurplusAfter},
		{&c.LendReturnAfter, defaultLendReturnAfter},
		{&c.MoveHold, defaultMoveHold},
		{&c.MoveHoldTakeover, defaultMoveHoldTakeover},
		{&c.RecordTimeout, defaultRecordTimeout},
		{&c.MaxPlanGap, defaultMaxPlanGap},
	} {
		if *f.d == 0 {
			*f.d = f.def
		}
	}
	for _, f := range []struct{ n, def *int }{
		{&c.GrowthFactor, new(defaultGrowthFactor)},
		{&c.FlapCount, new(defaultFlapCount)},
		{&c.MaxSick, new(defaultMaxSick)},
		{&c.MaxMoving, new(defaultMaxMoving)},
		{&c.MaxRecords, new(defaultMaxRecords)},
	} {
		if *f.n == 0 {
			*f.n = *f.def
		}
	}
	return c
}
