package plan

import "time"

// Growth says how many VMs of a wave may be out at once.
type Growth string

// The kinds of growth.
const (
	GrowDouble   Growth = "Double"   // from Batch, doubled after each full batch of successes, up to MaxBatch
	GrowConstant Growth = "Constant" // Batch, whatever MaxBatch is
	GrowNone     Growth = "None"     // MaxBatch at once from the start
	GrowSerial   Growth = "Serial"   // one VM at a time; a baseline of the experiments
	GrowPercent  Growth = "Percent"  // a tenth of each pool, at least one; a baseline of the experiments
)

// Config holds the times and bounds of the rules. Zero fields take the defaults.
type Config struct {
	// FillPools lets new VMs enter the pool that lacks most VMs; without it they enter the spare pool.
	FillPools bool
	Growth    Growth
	// GrowthFactor multiplies the batch of GrowDouble after each full batch of successes.
	GrowthFactor int

	ListMaxAge       time.Duration // an older list is no evidence
	ListLag          time.Duration // a VM must be gone from the list for that long
	MassLossHold     time.Duration // the loss of most VMs at once is believed after that
	DrainTimeout     time.Duration
	RebootTimeout    time.Duration
	RebootRepeat     time.Duration // a reboot that is not seen is asked for again after that
	TakeoverWait     time.Duration // a request of the planner before this one may arrive that late
	ReadyFor         time.Duration // a rebooted VM must answer probes for that long
	StableFor        time.Duration // a failed VM must answer probes for that long
	ProbeMaxAge      time.Duration // an older probe is no evidence
	SettleFor        time.Duration // reports on a VM that became active are ignored for that long
	FlapCount        int
	FlapWindow       time.Duration
	FlapHold         time.Duration
	ReplaceAfter     time.Duration // a failed VM is replaced after that
	ReplaceUrgent    time.Duration // the same where a budget is broken
	SurplusAfter     time.Duration
	LendDuration     time.Duration // a VM lent for a wave returns after that
	MoveHold         time.Duration
	MoveHoldTakeover time.Duration // for moves made before this planner began
	RecordTimeout    time.Duration // a record that is not folded is decided anew after that
	PlanGap          time.Duration // after a longer break the memory counts as empty

	WaveSpares   int // VMs of the spare pool that are lent to each pool of a running wave
	SpareReserve int // active VMs of the spare pool that are not lent

	MaxSick    int // VMs out for R-SICK, a pool
	MaxMoving  int // moves in progress, a region
	MaxRecords int // a call
}

// Defaults of Config. docs/rollout.md has the figures behind those that were measured.
const (
	defaultListMaxAge     = 30 * time.Second
	defaultListLag        = 30 * time.Second
	defaultMassLossHold   = 5 * time.Minute
	defaultDrainTimeout   = 10 * time.Minute
	defaultRebootTimeout  = 15 * time.Minute
	defaultRebootRepeat   = time.Minute
	defaultTakeoverWait   = 3 * time.Second // above the 2 s for which a request waits for its answer
	defaultReadyFor       = 5 * time.Second
	defaultStableFor      = 30 * time.Second
	defaultProbeMaxAge    = 10 * time.Second
	defaultSettleFor      = 15 * time.Second // reports cover the 10 s before them
	defaultGrowthFactor   = 2
	defaultFlapCount      = 3
	defaultFlapWindow     = 10 * time.Minute
	defaultFlapHold       = time.Hour
	defaultReplaceAfter   = 5 * time.Minute
	defaultReplaceUrgent  = 30 * time.Second
	defaultSurplusAfter   = 10 * time.Minute
	defaultLendBack       = 30 * time.Second
	defaultMoveHold       = 10 * time.Minute
	defaultMoveHoldUnsure = time.Minute
	defaultRecordTimeout  = 15 * time.Second
	defaultPlanGap        = 30 * time.Second
	defaultMaxSick        = 1
	defaultMaxMoving      = 4
	defaultMaxRecords     = 128 // leaves room in the log's several hundred appends a second
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
		{&c.ListLag, defaultListLag},
		{&c.MassLossHold, defaultMassLossHold},
		{&c.DrainTimeout, defaultDrainTimeout},
		{&c.RebootTimeout, defaultRebootTimeout},
		{&c.RebootRepeat, defaultRebootRepeat},
		{&c.TakeoverWait, defaultTakeoverWait},
		{&c.ReadyFor, defaultReadyFor},
		{&c.StableFor, defaultStableFor},
		{&c.ProbeMaxAge, defaultProbeMaxAge},
		{&c.SettleFor, defaultSettleFor},
		{&c.FlapWindow, defaultFlapWindow},
		{&c.FlapHold, defaultFlapHold},
		{&c.ReplaceAfter, defaultReplaceAfter},
		{&c.ReplaceUrgent, defaultReplaceUrgent},
		{&c.SurplusAfter, defaultSurplusAfter},
		{&c.LendDuration, defaultLendBack},
		{&c.MoveHold, defaultMoveHold},
		{&c.MoveHoldTakeover, defaultMoveHoldUnsure},
		{&c.RecordTimeout, defaultRecordTimeout},
		{&c.PlanGap, defaultPlanGap},
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
