package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault or planned work.
type kind string

// Kinds. Those of the store concern all machines.
const (
	kindStop         kind = "stop"          // SIGTERM and a new start
	kindKill         kind = "kill"          // SIGKILL and a new start
	kindKillAll      kind = "kill-all"      // SIGKILL of every proxy at once
	kindPause        kind = "pause"         // SIGSTOP and SIGCONT
	kindHangup       kind = "hangup"        // SIGHUP
	kindCutStore     kind = "cut-store"     // the machine's way to the store, both directions
	kindMuteStore    kind = "mute-store"    // the store's answers to the machine
	kindCutProxy     kind = "cut-proxy"     // the way of other proxies to the machine
	kindMuteProxy    kind = "mute-proxy"    // the machine's answers to other proxies
	kindSlowProxy    kind = "slow-proxy"    // delay on the way to the machine
	kindSilence      kind = "silence"       // open connections fall silent for good
	kindReset        kind = "reset"         // open connections are reset
	kindStoreRefuses kind = "store-refuses" // answers 503
	kindStoreSilent  kind = "store-silent"  // answers nothing
	kindStoreSlow    kind = "store-slow"    // answers late
	kindStoreLoses   kind = "store-loses"   // answers are lost
	kindCompact      kind = "compact"       // history is discarded
	kindLostAnswers  kind = "lost-answers"  // a backend server's answers are lost
	kindSlowBackend  kind = "slow-backend"  // a backend server works slowly
	kindRelease      kind = "release"       // a backend server leaves and another takes its address
	kindCrash        kind = "crash"         // a backend server ends at once and is replaced
	kindChange       kind = "change"        // a version
	kindStorm        kind = "storm"         // versions in quick succession
)

// weights tells how often each kind is drawn.
var weights = []struct {
	kind   kind
	weight int
}{
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
	{kindLostAnswers, 3},
	{kindSlowBackend, 2},
	{kindRelease, 5},
	{kindCrash, 2},
	{kindChange, 8},
	{kindStorm, 3},
}

// step is one fault of a plan.
type step struct {
	At      time.Duration
	Kind    kind
	Machine int
	For     time.Duration
}

const (
	// gapMin and gapMax bound the mean time between the beginnings of two
	// faults, which each plan draws: with the shortest, four overlap; with the
	// longest, machines are sound for long enough to be held to all bounds.
	gapMin = 500 * time.Millisecond
	gapMax = 4 * time.Second
	// faultMin and faultMax bound the length of a fault.
	faultMin = 300 * time.Millisecond
	faultMax = 4 * time.Second
	// seriesShare is the share of faults that come as a series over several
	// machines, each before the one before is over.
	seriesShare  = 0.2
	seriesLength = 3
	seriesGap    = 700 * time.Millisecond
)

// newPlan draws the faults of a run from the seed.
func newPlan(seed uint64, length time.Duration, machines int) []step {
	rng := rand.New(rand.NewPCG(seed, 11))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	var plan []step
	gap := gapMin + time.Duration(rng.Int64N(int64(gapMax-gapMin)))
	for at := gapMin; at < length; at += time.Duration(rng.ExpFloat64() * float64(gap)) {
		s := step{At: at, Kind: draw(rng.IntN(total)), Machine: rng.IntN(machines), For: faultMin + time.Duration(rng.Int64N(int64(faultMax-faultMin)))}
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

func draw(at int) kind {
	for _, w := range weights {
		if at -= w.weight; at < 0 {
			return w.kind
		}
	}
	return kindChange
}
