package node

import (
	"container/heap"
	"time"
)

// timer is a callback scheduled in virtual time.
type timer struct {
	at       time.Time
	seq      int
	callback func()
}

// timerQueue is a heap of timers, ordered by time and then by creation.
type timerQueue []timer

func (a timerQueue) Len() int { return len(a) }
func (a timerQueue) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a timerQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *timerQueue) Push(x any)   { *a = append(*a, x.(timer)) }
func (a *timerQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// virtualTime runs callbacks in virtual time.
type virtualTime struct {
	now    time.Time
	timers timerQueue
	seq    int
}

// after schedules a callback.
func (v *virtualTime) after(d time.Duration, callback func()) {
	v.seq++
	heap.Push(&v.timers, timer{at: v.now.Add(d), seq: v.seq, callback: callback})
}

// run advances virtual time and runs the timers that expire.
func (v *virtualTime) run(d time.Duration) {
	end := v.now.Add(d)
	for len(v.timers) > 0 && !v.timers[0].at.After(end) {
		next := heap.Pop(&v.timers).(timer)
		v.now = next.at
		next.callback()
	}
	v.now = end
}
