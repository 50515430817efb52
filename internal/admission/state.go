package admission

import (
	"cmp"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Counters holds event counts since the start of the process.
type Counters struct {
	Arrived uint64 `json:"arrived"`
	// Calls counts the arrived requests that are calls of backend servers.
	Calls     uint64                    `json:"calls,omitempty"`
	Run       uint64                    `json:"run"`
	Answered  uint64                    `json:"answered"`
	Abandoned uint64                    `json:"abandoned"`
	Refused   map[outcome.Reason]uint64 `json:"refused,omitempty"`
	// Fences counts received fences, FencesProvenNotRun those whose reply proved
	// that the request was not run.
	Fences             uint64 `json:"fences"`
	FencesProvenNotRun uint64 `json:"fences_proven"`
	// Crashes counts the emitted Crashed effects.
	Crashes uint64 `json:"crashes"`
	// RateLimitReports counts the responses that name a rate limit, LeavingReports
	// those that announce the end of the backend server, InvalidReports those with
	// a statement that could not be read.
	RateLimitReports uint64 `json:"rate_limit_reports"`
	LeavingReports   uint64 `json:"leaving_reports"`
	// LoadReports counts the responses that state the load of the backend server.
	LoadReports    uint64 `json:"load_reports"`
	InvalidReports uint64 `json:"invalid_reports"`
	// WarmUpChecks counts the health checks requested because of the warm-up.
	WarmUpChecks uint64 `json:"warm_up_checks,omitempty"`
}

func (c *Counters) countRefusal(reason outcome.Reason) {
	if c.Refused == nil {
		c.Refused = make(map[outcome.Reason]uint64)
	}
	c.Refused[reason]++
}

// OrganisationState describes the requests and the slot time of one organisation in
// one class.
type OrganisationState struct {
	Organisation string `json:"organisation"`
	// Priority is that of the class; Calls means that it holds calls of backend
	// servers.
	Priority int  `json:"priority,omitempty"`
	Calls    bool `json:"calls,omitempty"`
	Waiting  int  `json:"waiting"`
	Running  int  `json:"running"`
	// VirtualTime is the virtual time of the organisation: the slot time charged
	// to it, raised to the virtual clock whenever it becomes active.
	VirtualTime time.Duration `json:"served_ns"`
}

// State is a snapshot for the state dump.
type State struct {
	// Leaving reports that this instance admits no more requests.
	Leaving bool `json:"leaving"`
	// Draining is the value of the latest Draining event.
	Draining bool `json:"draining"`
	// Evacuated reports that the availability zone of the backend server is evacuated.
	Evacuated bool `json:"evacuated"`
	// Unhealthy reports that the backend server is suspended because of failed
	// health checks or a reported drain.
	Unhealthy bool `json:"unhealthy"`
	// HealthOverruled reports that failed health checks and reported drains do
	// not suspend the backend server, because it answered requests in spite of
	// them.
	HealthOverruled bool `json:"health_overruled"`
	// Slots is the current concurrency limit.
	Slots int `json:"slots"`
	// RateLimit is the rate limit that the backend server names, in requests per
	// second, nil if it names none.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	// WarmUp describes the warm-up of the backend server, nil if its service names
	// none.
	WarmUp *WarmUpState `json:"warm_up,omitempty"`
	// ReportedLeaving reports that the backend server states that it is about to
	// end.
	ReportedLeaving bool `json:"reported_leaving"`
	// Running, Waiting and AwaitingClaim count the requests that run, wait for a
	// slot and wait for a claim.
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	AwaitingClaim int `json:"pending_claims"`
	// TrackedRequests is the number of requests kept for duplicate detection and
	// fencing.
	TrackedRequests int `json:"remembered_requests"`
	// ServiceMean is the mean service time, ServiceMargin the time that a request
	// must have left at its start.
	ServiceMean   time.Duration       `json:"service_mean_ns"`
	ServiceMargin time.Duration       `json:"service_margin_ns"`
	Organisations []OrganisationState `json:"shares,omitempty"`
	Counters      Counters            `json:"counters"`
}

// State returns a snapshot at the given time, with the organisations sorted by
// name and class.
func (a *Admission) State(now time.Time) State {
	s := State{
		Leaving:         a.leaving,
		Draining:        a.monitor.listedAsDraining,
		Evacuated:       !a.evacuatedSince.IsZero(),
		Unhealthy:       a.monitor.suspended,
		HealthOverruled: a.monitor.overruled,
		ReportedLeaving: a.departure != nil,
		Slots:           a.concurrencyLimit(now),
		Running:         len(a.running),
		Waiting:         len(a.waiting),
		AwaitingClaim:   len(a.awaitingClaim),
		TrackedRequests: len(a.requests.entries),
		ServiceMean:     a.serviceTime.mean,
		ServiceMargin:   a.serviceTime.margin,
		Counters:        a.Counters(),
	}
	if a.rate.named.limited {
		limit := a.rate.named.perSecond
		s.RateLimit = &limit
	}
	s.WarmUp = a.describeWarmUp(now)
	for _, class := range a.queue.classes {
		for name, queue := range class.organisations {
			s.Organisations = append(s.Organisations, OrganisationState{
				Organisation: name,
				Priority:     class.class.priority,
				Calls:        !class.class.newWork,
				Waiting:      queue.waiting.Len(),
				Running:      queue.running,
				VirtualTime:  queue.virtualTime,
			})
		}
	}
	slices.SortFunc(s.Organisations, func(a, b OrganisationState) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Priority, b.Priority), compareBool(b.Calls, a.Calls))
	})
	return s
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
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
