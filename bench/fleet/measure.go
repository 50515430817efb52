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

// row is one line of the result.
type row struct {
	mode     string
	proxies  int
	scenario string
	// convergence of the changes measured; empty if there were none.
	convergence []time.Duration
	// seconds is the length of the measurement.
	seconds float64
	// sentBytes is the mean of the control bytes sent by one proxy.
	sentBytes float64
	changes   int
	reads     uint64
	peakReads uint64
	// processor is the mean processor time of one proxy.
	processor time.Duration
	// resident is the largest memory of one proxy in bytes.
	resident int64
}

// sample is the state of the counters at one time.
type sample struct {
	at        time.Time
	sent      float64
	reads     platform.Counters
	processor time.Duration
	resident  int64
}

func (f *fleet) sample(instances []*lab.Instance) (sample, error) {
	s := sample{at: time.Now()}
	counters, err := f.lab.Counters()
	if err != nil {
		return s, err
	}
	s.reads = counters
	for _, i := range instances {
		usage, err := i.Proxy.Usage()
		if err != nil {
			return s, err
		}
		bytes, err := f.lab.ControlBytes(i)
		if err != nil {
			return s, err
		}
		s.sent += float64(bytes)
		s.processor += usage.Processor
		s.resident = max(s.resident, usage.ResidentBytes)
	}
	return s, nil
}

// between returns the row of what happened from a to b.
func (f *fleet) between(mode, scenario string, a, b sample, instances int) row {
	return row{
		mode:      mode,
		proxies:   len(f.instances),
		scenario:  scenario,
		seconds:   b.at.Sub(a.at).Seconds(),
		sentBytes: (b.sent - a.sent) / float64(instances),
		reads:     b.reads.Total() - a.reads.Total(),
		peakReads: b.reads.PeakPerSecond,
		processor: (b.processor - a.processor) / time.Duration(instances),
		resident:  b.resident,
	}
}

// measure runs every scenario at one size.
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
	steps := []func() error{run.start, run.steadyState, run.underChange}
	if o.faults {
		steps = append(steps, run.frozen, run.sourceDown, run.killed, run.herdRestart)
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return run.rows, err
		}
	}
	return run.rows, nil
}

// runner measures the scenarios of one fleet.
type runner struct {
	options options
	mode    string
	fleet   *fleet
	rows    []row
}

// record measures what happens during do.
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
	result := r.fleet.between(r.mode, scenario, before, after, len(instances))
	result.convergence = measured.convergence
	result.changes = measured.changes
	r.rows = append(r.rows, result)
	return nil
}

// start waits until all proxies are ready.
func (r *runner) start() error {
	begin := time.Now()
	since, err := r.fleet.awaitVersion(1, r.fleet.instances)
	if err != nil {
		return err
	}
	counters, err := r.fleet.lab.Counters()
	if err != nil {
		return err
	}
	result := row{mode: r.mode, proxies: len(r.fleet.instances), scenario: "first start", reads: counters.Total(), peakReads: counters.PeakPerSecond}
	result.seconds = time.Since(begin).Seconds()
	result.convergence = after(begin, since)
	r.rows = append(r.rows, result)
	time.Sleep(r.options.steady / 2) // the membership settles
	return nil
}

// after returns how long after begin each time is.
func after(begin time.Time, times []time.Time) []time.Duration {
	out := make([]time.Duration, len(times))
	for n, t := range times {
		out[n] = max(0, t.Sub(begin))
	}
	return out
}

func (r *runner) steadyState() error {
	return r.record("steady", r.fleet.instances, func(*row) error {
		time.Sleep(r.options.steady)
		return nil
	})
}

func (r *runner) underChange() error {
	return r.record("change", r.fleet.instances, func(m *row) error {
		return r.change(m, r.fleet.instances)
	})
}

// change publishes changes one by one and adds the convergence at instances.
func (r *runner) change(m *row, instances []*lab.Instance) error {
	for range r.options.changes {
		version, at, err := r.fleet.change()
		if err != nil {
			return err
		}
		since, err := r.fleet.awaitVersion(version, instances)
		if err != nil {
			return err
		}
		m.convergence = append(m.convergence, after(at, since)...)
		if r.options.verbose {
			r.explainSlowest(version, after(at, since), instances)
		}
		m.changes++
		time.Sleep(r.options.interval)
	}
	return nil
}

// explainSlowest prints the proxy that was last to enforce a version.
func (r *runner) explainSlowest(version uint64, times []time.Duration, instances []*lab.Instance) {
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
	fmt.Fprintf(os.Stderr, "version %d: %s, a %s in %s, was last after %v\n",
		version, i.Settings.ID, head.Role, i.Settings.AvailabilityZone, times[slowest])
}

// frozen stops a quarter of the proxies during changes and wakes them.
func (r *runner) frozen() error {
	cut := len(r.fleet.instances) / 4
	asleep, awake := r.fleet.instances[:cut], r.fleet.instances[cut:]
	signal(asleep, syscall.SIGSTOP)
	err := r.record("quarter frozen", awake, func(m *row) error { return r.change(m, awake) })
	signal(asleep, syscall.SIGCONT)
	if err != nil {
		return err
	}
	begin := time.Now()
	return r.record("quarter woken", r.fleet.instances, func(m *row) error {
		since, err := r.fleet.awaitVersion(r.version(awake), r.fleet.instances)
		m.convergence = after(begin, since[:cut])
		return err
	})
}

func signal(instances []*lab.Instance, s syscall.Signal) {
	for _, i := range instances {
		i.Proxy.Signal(s)
	}
}

// version returns the highest version in force at the instances.
func (r *runner) version(instances []*lab.Instance) uint64 {
	var highest uint64
	for _, i := range instances {
		if head, err := r.fleet.lab.Head(i); err == nil {
			highest = max(highest, head.Version)
		}
	}
	return highest
}

// sourceDown publishes a change while the source is down and brings it back.
func (r *runner) sourceDown() error {
	if err := r.fleet.lab.SetFault(platform.FaultDown); err != nil {
		return err
	}
	time.Sleep(r.options.steady)
	return r.record("source back", r.fleet.instances, func(m *row) error {
		if err := r.fleet.lab.SetFault(platform.FaultNone); err != nil {
			return err
		}
		return r.change(m, r.fleet.instances)
	})
}

// killed ends a fifth of the proxies and changes the configuration at once.
func (r *runner) killed() error {
	var dead, live []*lab.Instance
	for n, i := range r.fleet.instances {
		if n%5 == 0 {
			dead = append(dead, i)
		} else {
			live = append(live, i)
		}
	}
	signal(dead, syscall.SIGKILL)
	err := r.record("fifth killed", live, func(m *row) error { return r.change(m, live) })
	if err != nil {
		return err
	}
	return r.fleet.each(dead, r.fleet.lab.StartProxy)
}

// herdRestart kills all proxies and starts them at once.
func (r *runner) herdRestart() error {
	highest := r.version(r.fleet.instances)
	signal(r.fleet.instances, syscall.SIGKILL)
	for _, i := range r.fleet.instances {
		_ = i.Proxy.Wait()
	}
	begin := time.Now()
	before, err := r.fleet.lab.Counters()
	if err != nil {
		return err
	}
	if err := r.fleet.each(r.fleet.instances, r.fleet.lab.StartProxy); err != nil {
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
		convergence: after(begin, since),
		seconds:     time.Since(begin).Seconds(),
		reads:       counters.Total() - before.Total(),
		peakReads:   counters.PeakPerSecond,
	})
	return nil
}

// percentile returns the smallest value that is not below the share p.
func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	n := int(p*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(n, 0), len(sorted)-1)]
}
