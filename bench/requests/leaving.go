package main

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"heatherlift.example/heatherlift/internal/lab"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/source"
)

const (
	leavePeers  = 3
	leaveRate   = 500
	leaveWork   = "work=5ms"
	leavePeriod = 8 * time.Second
	leaveAfter  = 2 * time.Second
)

// runLeave measures how long new work reaches an instance that leaves.
func runLeave(o options) error {
	ways := []struct {
		name  string
		leave func(f *fleet, i *lab.Instance) error
	}{
		{"marked on the list", func(f *fleet, i *lab.Instance) error { return f.lab.List(i, source.InstanceLeaving) }},
		{"SIGTERM of the proxy", func(_ *fleet, i *lab.Instance) error { i.Proxy.Signal(syscall.SIGTERM); return nil }},
		{"backend server drains", func(f *fleet, i *lab.Instance) error { return f.lab.Drain(i) }},
	}
	var rows [][]string
	for _, way := range ways {
		row, err := measureLeave(o, way.name, way.leave)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	o.table.print("time until no new work reaches a leaving instance", []string{
		"way", "last new work after s", "sent", "answered", "not run", "unknown", "cut", "contradicted", "refused for",
	}, rows)
	return nil
}

func measureLeave(o options, name string, leave func(*fleet, *lab.Instance) error) ([]string, error) {
	f, err := startFleet(o, shape{peers: leavePeers, slots: workSlots, organisations: []string{"org"}})
	if err != nil {
		return nil, err
	}
	defer f.lab.Stop()
	leaving := f.peers[0]
	var left time.Time
	failed := make(chan error, 1)
	time.AfterFunc(leaveAfter, func() {
		left = time.Now()
		failed <- leave(f, leaving)
	})
	replies := f.bookings(leavePeriod, func(int) string { return f.address() })
	if err := <-failed; err != nil {
		return nil, err
	}
	var last time.Duration
	for _, r := range replies {
		if r.backend == leaving.Settings.ID {
			last = max(last, r.begun.Sub(left))
		}
	}
	twice, err := f.twice(replies)
	if err != nil {
		return nil, err
	}
	return append([]string{name, strconv.FormatFloat(last.Seconds(), 'f', 2, 64)}, summary(replies, twice)...), nil
}

// bookings sends requests that may not be repeated, each with a key.
func (f *fleet) bookings(duration time.Duration, address func(n int) string) []reply {
	l := load{
		address:      address,
		rate:         leaveRate,
		duration:     duration,
		organisation: "org",
		method:       http.MethodPost,
		query:        leaveWork,
		keyPrefix:    "key-",
	}
	return l.run()
}

// twice counts the requests that the ledgers contradict: run twice, or run
// although the caller was told that they were not.
func (f *fleet) twice(replies []reply) (int, error) {
	all := make(map[string]int)
	for _, i := range f.all() {
		ledger, err := f.lab.Ledger(i)
		if err != nil {
			return 0, err
		}
		for key, n := range ledger {
			all[key] += n
		}
	}
	wrong := 0
	for _, r := range replies {
		n := all[r.key]
		if n > 1 || (r.outcome == outcome.NotRun && n > 0) || (r.outcome == outcome.Answered && n == 0) {
			wrong++
		}
	}
	return wrong, nil
}

func summary(replies []reply, twice int) []string {
	return []string{
		strconv.Itoa(len(replies)),
		strconv.Itoa(count(replies, outcome.Answered)),
		strconv.Itoa(count(replies, outcome.NotRun)),
		strconv.Itoa(count(replies, outcome.Unknown)),
		strconv.Itoa(cuts(replies)),
		strconv.Itoa(twice),
		reasons(replies),
	}
}

// runRestart restarts every proxy of an availability zone under load that
// enters through all of them, with a second SIGTERM and a change of the
// configuration during each stop.
func runRestart(o options) error {
	f, err := startFleet(o, shape{peers: leavePeers, slots: workSlots, organisations: []string{"org"}})
	if err != nil {
		return err
	}
	defer f.lab.Stop()
	var serving [leavePeers]atomic.Bool
	for n := range serving {
		serving[n].Store(true)
	}
	// Callers move on to the next proxy while theirs is restarted.
	address := func(n int) string {
		for k := range leavePeers {
			if p := (n + k) % leavePeers; serving[p].Load() {
				return f.peers[p].Settings.Listen.Callers
			}
		}
		return f.address()
	}
	failed := make(chan error, 1)
	go func() { failed <- f.restartAll(serving[:]) }()
	replies := f.bookings(restartPeriod, address)
	if err := <-failed; err != nil {
		return err
	}
	twice, err := f.twice(replies)
	if err != nil {
		return err
	}
	o.table.print("restart of every proxy of an availability zone", []string{
		"sent", "answered", "not run", "unknown", "cut", "contradicted", "refused for",
	}, [][]string{summary(replies, twice)})
	return nil
}

const (
	restartPeriod = 25 * time.Second
	secondSignal  = time.Second
	// moveTime is how long callers still use a proxy that was told to stop.
	moveTime = time.Second
)

func (f *fleet) restartAll(serving []atomic.Bool) error {
	for n, i := range f.peers {
		i.Proxy.Signal(syscall.SIGTERM)
		time.Sleep(secondSignal)
		i.Proxy.Signal(syscall.SIGTERM)
		if _, err := f.publish([]string{"org"}, 50_000+n); err != nil {
			return err
		}
		time.Sleep(moveTime)
		serving[n].Store(false)
		if err := i.Proxy.Wait(); err != nil {
			return err
		}
		if err := f.lab.StartProxy(i); err != nil {
			return err
		}
		if err := f.lab.AwaitReady(i); err != nil {
			return err
		}
		serving[n].Store(true)
		if err := f.await("the fleet is whole", func() bool { return f.lab.Joined(f.all()) }); err != nil {
			return err
		}
	}
	return nil
}
