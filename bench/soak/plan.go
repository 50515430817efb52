package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault or planned operation.
type kind string

// The kinds store-*, compact, kill-all, change and storm affect all machines.
const (
	kindStop         kind = "stop"          // SIGTERM, then a restart
	kindKill         kind = "kill"          // SIGKILL, then a restart
	kindKillAll      kind = "kill-all"      // SIGKILL of every proxy at once, then restarts
	kindPause        kind = "pause"         // SIGSTOP, later SIGCONT
	kindHangup       kind = "hangup"        // SIGHUP
	kindCutStore     kind = "cut-store"     // blocks traffic between the machine and the store in both directions
	kindMuteStore    kind = "mute-store"    // blocks traffic from the store to the machine
	kindCutProxy     kind = "cut-proxy"     // blocks traffic between other proxies and the machine in both directions
	kindMuteProxy    kind = "mute-proxy"    // blocks the machine's answers to other proxies
	kindSlowProxy    kind = "slow-proxy"    // delays traffic between other proxies and the machine
	kindSilence      kind = "silence"       // open connections stall for good without being closed
	kindReset        kind = "reset"         // open connections are reset
	kindStoreRefuses kind = "store-refuses" // the store answers 503
	kindStoreSilent  kind = "store-silent"  // the store does not answer while the fault lasts
	kindStoreSlow    kind = "store-slow"    // the store delays its answers
	kindStoreLoses   kind = "store-loses"   // the store closes connections instead of answering
	// kindRestore makes the store unavailable for a moment and restores it from a copy
	// that is as old as the duration of the step; what was lost is written again.
	kindRestore     kind = "restore"
	kindCompact     kind = "compact"      // the store discards its change history
	kindLostAnswers kind = "lost-answers" // a backend server closes some connections instead of answering
	kindSlowBackend kind = "slow-backend" // a backend server takes longer for each request
	kindRelease     kind = "release"      // a backend server drains and another takes its address
	kindCrash       kind = "crash"        // a backend server closes without draining and is replaced
	// kindCrashingRequest starts the sends of a request that ends each backend server
	// that runs it. They go on until the run ends.
	kindCrashingRequest kind = "crashing-request"
	kindRestartBackend  kind = "restart-backend" // a backend server ends and starts again under its identifier
	kindLimit           kind = "limit"           // a backend server names a rate limit that changes, ends and returns
	kindLimitService    kind = "limit-service"   // all backend servers of a service name a rate limit
	// kindAnnouncedEnd lets a backend server announce its end in its responses, before
	// the store lists it as leaving or without that.
	kindAnnouncedEnd kind = "announced-end"
	kindChange       kind = "change"     // a new version is published
	kindStorm        kind = "storm"      // several versions are published in quick succession
	kindBurst        kind = "burst"      // every machine has several times as many callers
	kindImpatience   kind = "impatience" // further callers repeat refused and failed requests at once and often

	kindCold      kind = "cold"      // a backend server becomes cold
	kindColdZone  kind = "cold-zone" // all backend servers of an availability zone become cold
	kindEvacuate  kind = "evacuate"  // an availability zone is evacuated and taken back
	kindDownloads kind = "downloads" // further callers fetch large responses, some read them slowly
	kindStopAll   kind = "stop-all"  // SIGTERM to the proxies of all machines in turn, then restarts
	kindUneven    kind = "uneven"    // work takes a different and changing time on each machine
)

// kindWeight is the relative frequency of a kind.
type kindWeight struct {
	kind   kind
	weight int
}

// allWeights holds all kinds.
var allWeights = []kindWeight{
	{kindStop, 8},
	{kindKill, 4},
	{kindKillAll, 1},
	{kindPause, 3},
	{kindHangup, 4},
	{kindCutStore, 3},
	{kindMuteStore, 3},
	{kindCutProxy, 3},
	{kindMuteProxy, 3},
	{kindSlowProxy, 2},
	{kindSilence, 3},
	{kindReset, 3},
	{kindStoreRefuses, 2},
	{kindStoreSilent, 2},
	{kindStoreSlow, 2},
	{kindStoreLoses, 2},
	{kindCompact, 3},
	{kindRestore, 3},
	{kindLostAnswers, 3},
	{kindSlowBackend, 2},
	{kindRelease, 5},
	{kindCrash, 2},
	{kindCrashingRequest, 2},
	{kindRestartBackend, 2},
	{kindLimit, 5},
	{kindLimitService, 1},
	{kindAnnouncedEnd, 4},
	{kindChange, 8},
	{kindStorm, 3},
	{kindBurst, 3},
	{kindImpatience, 3},
}

// optionalWeights holds the kinds that are drawn only if they are named, as they need
// behaviour that is not complete.
var optionalWeights = []kindWeight{
	{kindCold, 4},
	{kindColdZone, 2},
	{kindEvacuate, 2},
	{kindDownloads, 4},
	{kindUneven, 3},
	{kindStopAll, 2},
}

// kindsOf returns the names of kinds.
func kindsOf(weights []kindWeight) []kind {
	var kinds []kind
	for _, w := range weights {
		kinds = append(kinds, w.kind)
	}
	return kinds
}

// step is one fault or operation of a plan. At counts from the start of the plan.
// Kinds that do not last or that affect all machines ignore Duration or Machine.
type step struct {
	At       time.Duration
	Kind     kind
	Machine  int
	Duration time.Duration
}

const (
	// meanGapMin and meanGapMax bound the mean time between the starts of two
	// faults, which is random for each plan. At the minimum about four faults
	// overlap; at the maximum machines are undisturbed for long enough that all
	// time bounds apply.
	meanGapMin = 500 * time.Millisecond
	meanGapMax = 4 * time.Second
	// faultDurationMin and faultDurationMax bound the duration of a fault.
	faultDurationMin = 300 * time.Millisecond
	faultDurationMax = 4 * time.Second
	// seriesShare is the share of faults that are repeated on seriesLength machines,
	// one every seriesGap, so that they may overlap.
	seriesShare  = 0.2
	seriesLength = 3
	seriesGap    = 700 * time.Millisecond
)

// newPlan generates the steps of a run in the order of their start, of the given kinds
// or, without any, of allWeights. The plan depends only on the arguments.
func newPlan(seed uint64, length time.Duration, machines int, kinds ...kind) []step {
	rng := rand.New(rand.NewPCG(seed, planStream))
	total := 0
	var weights []kindWeight
	if len(kinds) == 0 {
		kinds = kindsOf(allWeights)
	}
	for _, w := range slices.Concat(allWeights, optionalWeights) {
		if slices.Contains(kinds, w.kind) {
			weights = append(weights, w)
			total += w.weight
		}
	}
	var plan []step
	gap := meanGapMin + time.Duration(rng.Int64N(int64(meanGapMax-meanGapMin)))
	for at := meanGapMin; at < length; at += time.Duration(rng.ExpFloat64() * float64(gap)) {
		s := step{At: at, Kind: kindAt(weights, rng.IntN(total)), Machine: rng.IntN(machines), Duration: faultDurationMin + time.Duration(rng.Int64N(int64(faultDurationMax-faultDurationMin)))}
		n := 1
		if rng.Float64() < seriesShare {
			n = seriesLength
		}
		for i := range n {
			next := s
			next.At += time.Duration(i) * seriesGap
			next.Machine = (s.Machine + i) % machines
			plan = append(plan, next)
		}
	}
	slices.SortStableFunc(plan, func(a, b step) int { return int(a.At - b.At) })
	return plan
}

// includeSteps adds a step of each kind that every plan includes, within the middle half
// of the plan.
func includeSteps(plan []step, o options) []step {
	rng := rand.New(rand.NewPCG(o.seed, includedStream))
	for _, k := range o.include {
		at := o.length/4 + time.Duration(rng.Int64N(int64(o.length/2)))
		plan = append(plan, step{At: at, Kind: k, Machine: rng.IntN(o.machines), Duration: faultDurationMin + time.Duration(rng.Int64N(int64(faultDurationMax-faultDurationMin)))})
	}
	slices.SortStableFunc(plan, func(a, b step) int { return int(a.At - b.At) })
	return plan
}

// kindAt returns the kind at an offset in the cumulative weights.
func kindAt(weights []kindWeight, offset int) kind {
	for _, w := range weights {
		if offset -= w.weight; offset < 0 {
			return w.kind
		}
	}
	return kindChange
}
