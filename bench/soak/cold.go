package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"heatherlift.example/heatherlift/platform/standin"
)

const (
	// warmUpTime and warmUpPerSecond are the warm-up that versions name for each
	// service, as in the users' deployments.
	warmUpTime      = 3 * time.Second
	warmUpPerSecond = 14
	// In any span of coldWindow, a cold backend server may get coldFactor times
	// warmUpPerSecond and coldTolerance more.
	coldFactor    = 1.5
	coldTolerance = 8
	coldWindow    = time.Second
	// coldNotice is the time until the proxies must know of a backend server that
	// became cold without a start or the end of an evacuation: a second between two
	// health checks, and as long as two checks may wait for a slot.
	coldNotice = 1500 * time.Millisecond
	// warmUpReportInterval is the interval at which the entry of a cold backend server
	// is written.
	warmUpReportInterval = 1500 * time.Millisecond
	// Machines that are slow for a moment: the share of them, by how much in per cent,
	// and for how long.
	stallShare   = 0.15
	stallPercent = 250
	stallTime    = 600 * time.Millisecond
	// minSpeed and maxSpeed bound how long work takes on a machine in a step of
	// kindUneven, in per cent of the usual.
	minSpeed, maxSpeed = 50, 150
)

// coldPeriod is a time in which a process of a backend server was cold.
type coldPeriod struct {
	process  string
	from, to time.Time
	// noticed is when the proxies must know of it.
	noticed time.Time
}

// allowedCold returns the number of requests that a cold backend server may get in
// coldWindow.
func allowedCold() float64 { return warmUpPerSecond*coldFactor*coldWindow.Seconds() + coldTolerance }

// serviceEntries returns the services as versions name them.
func (c *cluster) serviceEntries() []standin.Service {
	var list []standin.Service
	for _, name := range services {
		list = append(list, standin.Service{Name: name, WarmUp: c.warmUp})
	}
	return list
}

// cool makes the backend server cold. The proxies must know of it after the notice.
func (m *machine) cool(b *standin.Backend, notice time.Duration) {
	now := time.Now()
	b.Cool(m.warmUp)
	m.observed.recordCold(coldPeriod{process: b.Process, from: now, to: now.Add(m.warmUp.Duration), noticed: now.Add(notice)})
	go m.reportWarmUp(b)
}

// coolZone makes all backend servers of the machine's availability zone cold.
func (c *cluster) coolZone(s step) {
	for _, m := range c.machines {
		if m.zone() == c.machines[s.Machine].zone() {
			m.cool(m.backend.Load(), coldNotice)
		}
	}
}

// reportWarmUp writes the entry of a backend server while it is cold, and once more when
// it is warm.
func (m *machine) reportWarmUp(b *standin.Backend) {
	for pause := rand.N(warmUpReportInterval); m.ctx.Err() == nil; pause = warmUpReportInterval {
		time.Sleep(pause)
		m.written.mu.Lock()
		current := m.written.id == b.ID && m.backend.Load() == b && !m.written.removed
		left := b.WarmUpLeft()
		if current {
			m.written.entry.WarmUpLeft = left
			m.store.PutInstance(b.ID, m.written.entry)
		}
		m.written.mu.Unlock()
		if !current || left == 0 {
			return
		}
	}
}

// varySpeeds makes work take a different and changing time on each machine.
func (c *cluster) varySpeeds(s step) {
	c.forEachMachine(func(m *machine) {
		b := m.backend.Load()
		source := uint64(s.At) + uint64(m.index)<<8
		usual := minSpeed + c.newRand(speedStream, source).IntN(maxSpeed-minSpeed)
		b.SetSpeed(func(now time.Time) int {
			slot := uint64(now.UnixNano() / int64(stallTime))
			if rand.New(rand.NewPCG(c.seed+source, slot)).Float64() < stallShare {
				return usual * stallPercent / 100
			}
			return usual
		})
		time.Sleep(s.Duration)
		b.SetSpeed(nil)
	})
}

// coldSummary is what cold backend servers got.
type coldSummary struct {
	periods int
	// worst is the highest number of requests in coldWindow, text describes it.
	worst int
	text  string
	// breach describes the worst span with more than allowed after the proxies must know.
	breach      string
	breachCount int
}

func (s coldSummary) String() string {
	if s.periods == 0 {
		return ""
	}
	return fmt.Sprintf("\n  cold: %d times, %.0f allowed in %v; worst: %s", s.periods, allowedCold(), coldWindow, s.text)
}

// summariseCold judges the arrivals at cold backend servers.
func (c *checker) summariseCold() coldSummary {
	s := coldSummary{periods: len(c.cold)}
	byProcess := make(map[string][]*standin.Arrival)
	for _, r := range c.sortedArrivals() {
		if !r.Misdirected {
			byProcess[r.Process] = append(byProcess[r.Process], r)
		}
	}
	for _, p := range c.cold {
		var within []*standin.Arrival
		for _, r := range byProcess[p.process] {
			if !r.At.Before(p.from) && r.At.Before(p.to) {
				within = append(within, r)
			}
		}
		if n, at := worstSpan(within); n > s.worst || s.text == "" {
			s.worst, s.text = n, fmt.Sprintf("%s got %d from %s", p.process, n, at.Format("15:04:05.000"))
		}
		judged := slices.DeleteFunc(within, func(r *standin.Arrival) bool {
			return r.At.Before(p.noticed) || c.disturbed(r.Machine, r.At.Add(-undisturbedTime), r.At, backendKinds...)
		})
		if n, at := worstSpan(judged); float64(n) > allowedCold() && n > s.breachCount {
			s.breachCount = n
			s.breach = fmt.Sprintf("%s, cold since %s, got %d requests in %v from %s, %.0f allowed", p.process, p.from.Format("15:04:05.000"), n, coldWindow, at.Format("15:04:05.000"), allowedCold())
		}
	}
	return s
}

// worstSpan returns the highest number of arrivals in a span of coldWindow, and when it
// began.
func worstSpan(arrivals []*standin.Arrival) (worst int, from time.Time) {
	first := 0
	for i, r := range arrivals {
		for r.At.Sub(arrivals[first].At) >= coldWindow {
			first++
		}
		if n := i - first + 1; n > worst {
			worst, from = n, arrivals[first].At
		}
	}
	return worst, from
}

// checkCold checks that no cold backend server gets more than it tolerates.
func (c *checker) checkCold() {
	if s := c.summariseCold(); s.breach != "" {
		c.addViolation("cold", "%s", s.breach)
	}
}
