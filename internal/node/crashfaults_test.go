package node

import (
	"maps"
	"slices"
	"time"
)

// killProxy ends a proxy process and starts it again.
func (f *crashFleet) killProxy(p *crashProxy) {
	p.cut = false
	f.startProxy(p, proxyReturn+f.jitter(proxyReturn))
}

// pauseProxy stops a proxy process for d, like a suspended machine.
func (f *crashFleet) pauseProxy(p *crashProxy, d time.Duration) {
	if !p.up || p.paused {
		return
	}
	p.paused = true
	generation := p.generation
	f.after(d, func() {
		if p.generation != generation {
			return
		}
		p.paused, p.undisturbedSince = false, f.now
		pending := p.pending
		p.pending = nil
		for _, callback := range pending {
			callback()
		}
	})
}

// cutProxies separates proxies from the others for d.
func (f *crashFleet) cutProxies(d time.Duration, proxies ...*crashProxy) {
	for _, p := range proxies {
		p.cut = true
	}
	f.after(d, func() {
		for _, p := range proxies {
			p.cut, p.undisturbedSince = false, f.now
		}
	})
}

// redeploy replaces a backend server without a drain; its runs are lost.
func (f *crashFleet) redeploy(p *crashProxy) {
	if p.backendUp {
		f.endBackend(p)
	}
}

// random returns n different proxies.
func (f *crashFleet) random(n int) []*crashProxy {
	list := slices.Clone(f.proxies)
	f.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

// crashFaults are the kinds of faults that injectFaults draws from.
var crashFaults = map[string]func(f *crashFleet, share int){
	"kill": func(f *crashFleet, share int) {
		for _, p := range f.random(share) {
			f.killProxy(p)
		}
	},
	"cut": func(f *crashFleet, share int) {
		f.cutProxies(time.Second+f.jitter(5*time.Second), f.random(share)...)
	},
	"pause": func(f *crashFleet, share int) {
		for _, p := range f.random(share) {
			f.pauseProxy(p, time.Second+f.jitter(3*time.Second))
		}
	},
	"restart of the fleet": func(f *crashFleet, _ int) {
		for _, p := range f.proxies {
			f.killProxy(p)
		}
	},
	"redeployment": func(f *crashFleet, share int) {
		for _, p := range f.random(share) {
			f.redeploy(p)
		}
	},
}

// scenariosOf returns all kinds of faults together and each one alone.
func scenariosOf(faults map[string]func(f *crashFleet, share int)) [][]string {
	kinds := slices.Sorted(maps.Keys(faults))
	scenarios := [][]string{kinds}
	for _, kind := range kinds {
		scenarios = append(scenarios, []string{kind})
	}
	return scenarios
}

// injectFaults injects faults of the named kinds until the given time, one every
// pause on average, each on up to a quarter of the proxies.
func (f *crashFleet) injectFaults(until time.Time, pause time.Duration, kinds ...string) {
	f.injectFaultsOf(crashFaults, until, pause, kinds...)
}

func (f *crashFleet) injectFaultsOf(faults map[string]func(f *crashFleet, share int), until time.Time, pause time.Duration, kinds ...string) {
	f.after(time.Duration(f.rng.ExpFloat64()*float64(pause)), func() {
		if f.now.After(until) {
			return
		}
		faults[kinds[f.rng.IntN(len(kinds))]](f, 1+f.rng.IntN(max(1, len(f.proxies)/4)))
		f.injectFaultsOf(faults, until, pause, kinds...)
	})
}
