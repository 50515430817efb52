package source

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// platformRateLimit is the platform's rate limit in calls per second; reads of
// the list may use half of it.
const platformRateLimit = 2000

// schedule is the part of PollSchedule that the host uses: it waits, reads and
// asks for the next delay.
type schedule interface {
	InitialDelay() time.Duration
	NextDelay(size int) time.Duration
	FailureDelay() time.Duration
}

// fixedSchedule reads immediately, then at a fixed interval, and retries every
// second.
type fixedSchedule struct{}

func (fixedSchedule) InitialDelay() time.Duration { return 0 }
func (fixedSchedule) NextDelay(int) time.Duration { return 10 * time.Second }
func (fixedSchedule) FailureDelay() time.Duration { return time.Second }
func newFixed(int, uint64) schedule               { return fixedSchedule{} }
func newJittered(size int, seed uint64) schedule  { return NewPollSchedule(10*time.Second, size, seed) }

// simulateFleetStart starts n proxies simultaneously while the list is
// unavailable for the given time. It returns the peak number of calls per
// second and the time by which every proxy has read the list.
func simulateFleetStart(n int, outage time.Duration, newSchedule func(int, uint64) schedule) (peak int, last time.Duration) {
	const horizon = 3 * time.Minute
	perSecond := map[time.Duration]int{}
	for i := range n {
		p := newSchedule(n, uint64(i))
		first := time.Duration(0)
		for at := p.InitialDelay(); at < horizon; {
			perSecond[at.Truncate(time.Second)]++
			if at < outage {
				at += p.FailureDelay()
				continue
			}
			if first == 0 {
				first = at
			}
			at += p.NextDelay(n)
		}
		last = max(last, first)
	}
	for _, calls := range perSecond {
		peak = max(peak, calls)
	}
	return peak, last
}

func TestPollScheduleStaysWithinRateLimit(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{770, 7700} {
		for _, outage := range []time.Duration{0, 30 * time.Second} {
			peak, last := simulateFleetStart(n, outage, newJittered)
			t.Logf("%d proxies, list unavailable for %v: peak %d calls per second, all proxies have the list after %v", n, outage, peak, last)
			is.True(peak <= platformRateLimit/2)
		}
	}
	peaks := make([]int, 0, 2)
	for _, n := range []int{770, 7700} {
		peak, _ := simulateFleetStart(n, 30*time.Second, newFixed)
		peaks = append(peaks, peak)
	}
	t.Logf("peaks with a fixed schedule: %v", peaks)
	is.True(slices.Max(peaks) > platformRateLimit)
}
