package source

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// platformLimit is the platform's rate in calls a second, of which the list may
// take a half.
const platformLimit = 2000

// pacer is what the host does: it waits, reads and asks for the next wait.
type pacer interface {
	First() time.Duration
	Read(size int) time.Duration
	Failed() time.Duration
}

// naivePace reads at once, then at a fixed interval, and retries each second.
type naivePace struct{}

func (naivePace) First() time.Duration     { return 0 }
func (naivePace) Read(int) time.Duration   { return 10 * time.Second }
func (naivePace) Failed() time.Duration    { return time.Second }
func newNaive(int, uint64) pacer           { return naivePace{} }
func newPaced(size int, seed uint64) pacer { return NewPace(10*time.Second, size, seed) }

// herd starts n proxies at once while the list is down for the given time. It
// returns the peak of calls a second and the time of the last first reading.
func herd(n int, down time.Duration, make func(int, uint64) pacer) (peak int, last time.Duration) {
	const horizon = 3 * time.Minute
	perSecond := map[time.Duration]int{}
	for i := range n {
		p := make(n, uint64(i))
		first := time.Duration(0)
		for at := p.First(); at < horizon; {
			perSecond[at.Truncate(time.Second)]++
			if at < down {
				at += p.Failed()
				continue
			}
			if first == 0 {
				first = at
			}
			at += p.Read(n)
		}
		last = max(last, first)
	}
	for _, calls := range perSecond {
		peak = max(peak, calls)
	}
	return peak, last
}

func TestPaceKeepsHerdWithinRate(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{770, 7700} {
		for _, down := range []time.Duration{0, 30 * time.Second} {
			peak, last := herd(n, down, newPaced)
			t.Logf("%d proxies, down %v: peak %d calls a second, list known to all after %v", n, down, peak, last)
			is.True(peak <= platformLimit/2)
		}
	}
	peaks := make([]int, 0, 2)
	for _, n := range []int{770, 7700} {
		peak, _ := herd(n, 30*time.Second, newNaive)
		peaks = append(peaks, peak)
	}
	t.Logf("naive peaks: %v", peaks)
	is.True(slices.Max(peaks) > platformLimit)
}
