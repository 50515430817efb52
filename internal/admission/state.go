package admission

import (
	"cmp"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Counters holds event counts since the start of the process.
type Counters struct {
	Arrived      uint64                    `json:"arrived"`
	Run          uint64                    `json:"run"`
	Answered     uint64                    `json:"answered"`
	Abandoned    uint64                    `json:"abandoned"`
	Refused      map[outcome.Reason]uint64 `json:"refused,omitempty"`
	Fences       uint64                    `json:"fences"`
	FencesProven uint64                    `json:"fences_proven"`
	Crashes      uint64                    `json:"crashes"`
}

func (c *Counters) countRefusal(reason outcome.Reason) {
	if c.Refused == nil {
		c.Refused = make(map[outcome.Reason]uint64)
	}
	c.Refused[reason]++
}

// ShareState describes the requests and the slot time of one organisation.
type ShareState struct {
	Organisation string        `json:"organisation"`
	Waiting      int           `json:"waiting"`
	Running      int           `json:"running"`
	Served       time.Duration `json:"served_ns"`
}

// State is a snapshot for the state dump.
type State struct {
	Leaving       bool          `json:"leaving"`
	Draining      bool          `json:"draining"`
	Unhealthy     bool          `json:"unhealthy"`
	Overruled     bool          `json:"health_overruled"`
	Slots         int           `json:"slots"`
	Running       int           `json:"running"`
	Waiting       int           `json:"waiting"`
	Pending       int           `json:"pending_claims"`
	Remembered    int           `json:"remembered_requests"`
	ServiceMean   time.Duration `json:"service_mean_ns"`
	ServiceMargin time.Duration `json:"service_margin_ns"`
	Shares        []ShareState  `json:"shares,omitempty"`
	Counters      Counters      `json:"counters"`
}

// State returns a snapshot at the given time, with the organisations sorted by
// name.
func (a *Admission) State(now time.Time) State {
	s := State{
		Leaving:       a.leaving,
		Draining:      a.monitor.draining,
		Unhealthy:     a.monitor.suspended,
		Overruled:     a.monitor.overruled,
		Slots:         a.concurrencyLimit(now),
		Running:       len(a.running),
		Waiting:       len(a.waiting),
		Pending:       len(a.awaitingClaim),
		Remembered:    len(a.requests.entries),
		ServiceMean:   a.serviceTime.mean,
		ServiceMargin: a.serviceTime.margin,
		Counters:      a.Counters(),
	}
	for name, queue := range a.queue.organisations {
		s.Shares = append(s.Shares, ShareState{
			Organisation: name,
			Waiting:      queue.waiting.Len(),
			Running:      queue.running,
			Served:       queue.virtualTime,
		})
	}
	slices.SortFunc(s.Shares, func(a, b ShareState) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return s
}

// Counters returns a copy of the counters.
func (a *Admission) Counters() Counters {
	c := a.counters
	c.Refused = make(map[outcome.Reason]uint64, len(a.counters.Refused))
	for reason, n := range a.counters.Refused {
		c.Refused[reason] = n
	}
	return c
}
