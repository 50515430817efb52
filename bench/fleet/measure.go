package main

import (
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"heatherlift.example/heatherlift/internal/lab"
	"heatherlift.example/heatherlift/internal/standin/platform"
)

// row is one line of the result table.
type row struct {
	mode     string
	proxies  int
	scenario string
	// convergence holds the time until a proxy enforced a change, for each change
	// and each measured proxy. It is empty if none was measured.
	convergence []time.Duration
	// seconds is the duration of the measurement in seconds.
	seconds float64
	// sentBytes is the mean number of control-plane bytes that a proxy sent to its
	// peers.
	sentBytes float64
	changes   int
	// reads is the number of calls of all proxies to the platform, for the
	// configuration and for the instance list, including refused calls.
	reads uint64
	// peakReadsPerSecond is the highest number of these calls in one second since
	// the start of the platform, not only during the measurement.
	peakReadsPerSecond uint64
	// cpuTime is the mean CPU time per proxy.
	cpuTime time.Duration
	// residentBytes is the largest resident set size of any proxy.
	residentBytes int64
}

// sample is a snapshot of the counters, added up over the sampled proxies except
// for residentBytes, which is their maximum.
type sample struct {
	at            time.Time
	sentBytes     float64
	platformCalls platform.Counters
	cpuTime       time.Duration
	residentBytes int64
}

func (f *fleet) sample(instances []*lab.Instance) (sample, error) {
	s := sample{at: time.Now()}
	counters, err := f.lab.Counters()
	if err != nil {
		return s, err
	}
	s.platformCalls = counters
	for _, i := range instances {
		usage, err := i.Proxy.Usage()
		if err != nil {
			return s, err
		}
		bytes, err := f.lab.PeerBytesSent(i)
		if err != nil {
			return s, err
		}
		s.sentBytes += float64(bytes)
		s.cpuTime += usage.CPUTime
		s.residentBytes = max(s.residentBytes, usage.ResidentBytes)
	}
	return s, nil
}

// rowBetween returns the row for the interval between two samples, each of the
// same sampledProxies proxies.
func (f *fleet) rowBetween(mode, scenario string, before, after sample, sampledProxies int) row {
	return row{
		mode:               mode,
		proxies:            len(f.instances),
		scenario:           scenario,
		seconds:            after.at.Sub(before.at).Seconds(),
		sentBytes:          (after.sentBytes - before.sentBytes) / float64(sampledProxies),
		reads:              after.platformCalls.Total() - before.platformCalls.Total(),
		peakReadsPerSecond: after.platformCalls.PeakPerSecond,
		cpuTime:            (after.cpuTime - before.cpuTime) / time.Duration(sampledProxies),
		residentBytes:      after.residentBytes,
	}
}

// measure runs every scenario in one mode at one fleet size.
func measure(o options, mode string, size int) ([]row, error) {
	fmt.Fprintf(os.Stderr, "%s, %d proxies\n", mode, size)
	f, err := newFleet(o, mode, size)
	if f != nil {
		defer f.lab.Stop()
	}
	if err != nil {
		return nil, err
	}
	run := &runner{options: o, mode: mode, fleet: f}
	steps := []func() error{run.measureStart, run.measureSteadyState, run.measureChanges}
	if o.faults {
		steps = append(steps, run.measurePaused, run.measureSourceOutage, run.measureKilled, run.measureRestart)
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return run.rows, err
		}
	}
	return run.rows, nil
}

// runner runs the scenarios on one fleet.
type runner struct {
	options options
	mode    string
	fleet   *fleet
	rows    []row
}

// record runs do, which sets the convergence and changes of its row, and appends
// a row with these and with the resources that the instances used meanwhile.
func (r *runner) record(scenario string, instances []*lab.Instance, do func(*row) error) error {
	before, err := r.fleet.sample(instances)
	if err != nil {
		return err
	}
	var measured row
	if err := do(&measured); err != nil {
		return err
	}
	after, err := r.fleet.sample(instances)
	if err != nil {
		return err
	}
	result := r.fleet.rowBetween(r.mode, scenario, before, after, len(instances))
	result.convergence = measured.convergence
	result.changes = measured.changes
	r.rows = append(r.rows, result)
	return nil
}

// measureStart measures the time until every proxy is ready with the first
// version, counted from when all proxy processes have been started.
func (r *runner) measureStart() error {
	begin := time.Now()
	since, err := r.fleet.awaitVersion(1, r.fleet.instances)
	if err != nil {
		return err
	}
	counters, err := r.fleet.lab.Counters()
	if err != nil {
		return err
	}
	result := row{mode: r.mode, proxies: len(r.fleet.instances), scenario: "first start", reads: counters.Total(), peakReadsPerSecond: counters.PeakPerSecond}
	result.seconds = time.Since(begin).Seconds()
	result.convergence = elapsedSince(begin, since)
	r.rows = append(r.rows, result)
	time.Sleep(r.options.steadyDuration / 2) // let membership converge before the next scenario
	return nil
}

// elapsedSince returns the time from begin to each of times, or 0 for those
// before begin.
func elapsedSince(begin time.Time, times []time.Time) []time.Duration {
	out := make([]time.Duration, len(times))
	for n, t := range times {
		out[n] = max(0, t.Sub(begin))
	}
	return out
}

func (r *runner) measureSteadyState() error {
	return r.record("steady", r.fleet.instances, func(*row) error {
		time.Sleep(r.options.steadyDuration)
		return nil
	})
}

func (r *runner) measureChanges() error {
	return r.record("change", r.fleet.instances, func(m *row) error {
		return r.publishChanges(m, r.fleet.instances)
	})
}

// publishChanges publishes one change after the other, waits until the instances
// enforce each, and adds their convergence times to m.
func (r *runner) publishChanges(m *row, instances []*lab.Instance) error {
	for range r.options.changes {
		version, at, err := r.fleet.publishChange()
		if err != nil {
			return err
		}
		since, err := r.fleet.awaitVersion(version, instances)
		if err != nil {
			return err
		}
		m.convergence = append(m.convergence, elapsedSince(at, since)...)
		if r.options.verbose {
			r.printSlowest(version, elapsedSince(at, since), instances)
		}
		m.changes++
		time.Sleep(r.options.changePause)
	}
	return nil
}

// printSlowest prints which proxy was the last to enforce a version.
func (r *runner) printSlowest(version uint64, times []time.Duration, instances []*lab.Instance) {
	slowest := 0
	for n := range times {
		if times[n] > times[slowest] {
			slowest = n
		}
	}
	i := instances[slowest]
	head, err := r.fleet.lab.Head(i)
	if err != nil {
		return
	}
	fmt.Fprintf(os.Stderr, "version %d: slowest proxy %s (role %s, %s) after %v\n",
		version, i.Settings.ID, head.Role, i.Settings.AvailabilityZone, times[slowest])
}

// measurePaused measures changes at the other proxies while a quarter of them is
// stopped with SIGSTOP, and then how long that quarter takes to catch up after
// SIGCONT.
func (r *runner) measurePaused() error {
	pausedCount := len(r.fleet.instances) / 4
	paused, running := r.fleet.instances[:pausedCount], r.fleet.instances[pausedCount:]
	signalAll(paused, syscall.SIGSTOP)
	err := r.record("quarter frozen", running, func(m *row) error { return r.publishChanges(m, running) })
	signalAll(paused, syscall.SIGCONT)
	if err != nil {
		return err
	}
	begin := time.Now()
	return r.record("quarter woken", r.fleet.instances, func(m *row) error {
		since, err := r.fleet.awaitVersion(r.highestVersion(running), r.fleet.instances)
		m.convergence = elapsedSince(begin, since[:pausedCount])
		return err
	})
}

func signalAll(instances []*lab.Instance, s syscall.Signal) {
	for _, i := range instances {
		i.Proxy.Signal(s)
	}
}

// highestVersion returns the highest version in force at any of the instances.
func (r *runner) highestVersion(instances []*lab.Instance) uint64 {
	var highest uint64
	for _, i := range instances {
		if head, err := r.fleet.lab.Head(i); err == nil {
			highest = max(highest, head.Version)
		}
	}
	return highest
}

// measureSourceOutage takes the source down for the steady duration and measures
// changes published after it is back.
func (r *runner) measureSourceOutage() error {
	if err := r.fleet.lab.SetFault(platform.FaultDown); err != nil {
		return err
	}
	time.Sleep(r.options.steadyDuration)
	return r.record("source back", r.fleet.instances, func(m *row) error {
		if err := r.fleet.lab.SetFault(platform.FaultNone); err != nil {
			return err
		}
		return r.publishChanges(m, r.fleet.instances)
	})
}

// measureKilled kills a fifth of the proxies, measures changes at the others
// right afterwards, and restarts the killed ones.
func (r *runner) measureKilled() error {
	var dead, live []*lab.Instance
	for n, i := range r.fleet.instances {
		if n%5 == 0 {
			dead = append(dead, i)
		} else {
			live = append(live, i)
		}
	}
	signalAll(dead, syscall.SIGKILL)
	err := r.record("fifth killed", live, func(m *row) error { return r.publishChanges(m, live) })
	if err != nil {
		return err
	}
	return r.fleet.forEach(dead, r.fleet.lab.StartProxy)
}

// measureRestart kills all proxies, restarts them at the same time and measures
// how long each takes to enforce the version that was in force before.
func (r *runner) measureRestart() error {
	highest := r.highestVersion(r.fleet.instances)
	signalAll(r.fleet.instances, syscall.SIGKILL)
	for _, i := range r.fleet.instances {
		_ = i.Proxy.Wait()
	}
	begin := time.Now()
	before, err := r.fleet.lab.Counters()
	if err != nil {
		return err
	}
	if err := r.fleet.forEach(r.fleet.instances, r.fleet.lab.StartProxy); err != nil {
		return err
	}
	since, err := r.fleet.awaitVersion(highest, r.fleet.instances)
	if err != nil {
		return err
	}
	counters, err := r.fleet.lab.Counters()
	if err != nil {
		return err
	}
	r.rows = append(r.rows, row{
		mode: r.mode, proxies: len(r.fleet.instances), scenario: "herd restart",
		convergence:        elapsedSince(begin, since),
		seconds:            time.Since(begin).Seconds(),
		reads:              counters.Total() - before.Total(),
		peakReadsPerSecond: counters.PeakPerSecond,
	})
	return nil
}

// quantile returns the p-quantile (0 < p <= 1) by the nearest-rank method, or 0
// without values.
func quantile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	n := int(p*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(n, 0), len(sorted)-1)]
}
