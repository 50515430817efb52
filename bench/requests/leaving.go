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
	peerCount     = 3
	writeRate     = 500 // requests per second
	writeQuery    = "work=5ms"
	leaveDuration = 8 * time.Second
	// leaveDelay is the time under load before the instance starts to leave.
	leaveDelay = 2 * time.Second
)

// runLeave measures, for each way of leaving, how long an instance still serves
// newly sent requests after it starts to leave.
func runLeave(o options) error {
	triggers := []struct {
		name  string
		leave func(f *fleet, i *lab.Instance) error
	}{
		{"marked on the list", func(f *fleet, i *lab.Instance) error { return f.lab.PutInstance(i, source.InstanceLeaving) }},
		{"SIGTERM of the proxy", func(_ *fleet, i *lab.Instance) error { i.Proxy.Signal(syscall.SIGTERM); return nil }},
		{"backend server drains", func(f *fleet, i *lab.Instance) error { return f.lab.Drain(i) }},
	}
	var rows [][]string
	for _, trigger := range triggers {
		row, err := measureLeave(o, trigger.name, trigger.leave)
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
	f, err := startFleet(o, fleetSpec{peers: peerCount, slots: serverSlots, organisations: []string{"org"}})
	if err != nil {
		return nil, err
	}
	defer f.lab.Stop()
	leaving := f.peers[0]
	var leaveTime time.Time
	leaveErr := make(chan error, 1)
	time.AfterFunc(leaveDelay, func() {
		leaveTime = time.Now()
		leaveErr <- leave(f, leaving)
	})
	replies := f.sendWrites(leaveDuration, func(int) string { return f.address() })
	if err := <-leaveErr; err != nil {
		return nil, err
	}
	var lastRequest time.Duration
	for _, r := range replies {
		if r.backend == leaving.Settings.ID {
			lastRequest = max(lastRequest, r.started.Sub(leaveTime))
		}
	}
	contradictions, err := f.countContradictions(replies)
	if err != nil {
		return nil, err
	}
	return append([]string{name, strconv.FormatFloat(lastRequest.Seconds(), 'f', 2, 64)}, summaryCells(replies, contradictions)...), nil
}

// sendWrites sends non-repeatable requests, each with a key under which the
// backend servers count its executions.
func (f *fleet) sendWrites(duration time.Duration, address func(n int) string) []reply {
	l := load{
		address:      address,
		rate:         writeRate,
		duration:     duration,
		organisation: "org",
		method:       http.MethodPost,
		query:        writeQuery,
		keyPrefix:    "key-",
	}
	return l.run()
}

// countContradictions counts the replies that contradict the run counts of the
// backend servers: the request was executed more than once, it was executed although
// the caller was told that it was not, or it was answered without an execution.
func (f *fleet) countContradictions(replies []reply) (int, error) {
	runs := make(map[string]int)
	for _, i := range f.instances() {
		runCounts, err := f.lab.RunCounts(i)
		if err != nil {
			return 0, err
		}
		for key, n := range runCounts {
			runs[key] += n
		}
	}
	contradictions := 0
	for _, r := range replies {
		n := runs[r.key]
		if n > 1 || (r.outcome == outcome.NotRun && n > 0) || (r.outcome == outcome.Answered && n == 0) {
			contradictions++
		}
	}
	return contradictions, nil
}

func summaryCells(replies []reply, contradictions int) []string {
	return []string{
		strconv.Itoa(len(replies)),
		strconv.Itoa(count(replies, outcome.Answered)),
		strconv.Itoa(count(replies, outcome.NotRun)),
		strconv.Itoa(count(replies, outcome.Unknown)),
		strconv.Itoa(countConnectionsLost(replies)),
		strconv.Itoa(contradictions),
		reasons(replies),
	}
}

// runRestart restarts the proxies of all peers in turn, under load that enters
// through all of them. During each shutdown the proxy gets a second SIGTERM and the
// configuration changes.
func runRestart(o options) error {
	f, err := startFleet(o, fleetSpec{peers: peerCount, slots: serverSlots, organisations: []string{"org"}})
	if err != nil {
		return err
	}
	defer f.lab.Stop()
	var serving [peerCount]atomic.Bool
	for n := range serving {
		serving[n].Store(true)
	}
	// Callers use the next proxy while theirs restarts.
	address := func(n int) string {
		for k := range peerCount {
			if p := (n + k) % peerCount; serving[p].Load() {
				return f.peers[p].Settings.Listen.Callers
			}
		}
		return f.address()
	}
	restartErr := make(chan error, 1)
	go func() { restartErr <- f.restartAll(serving[:]) }()
	replies := f.sendWrites(restartDuration, address)
	if err := <-restartErr; err != nil {
		return err
	}
	contradictions, err := f.countContradictions(replies)
	if err != nil {
		return err
	}
	o.table.print("restart of every proxy of an availability zone", []string{
		"sent", "answered", "not run", "unknown", "cut", "contradicted", "refused for",
	}, [][]string{summaryCells(replies, contradictions)})
	return nil
}

const (
	restartDuration = 25 * time.Second
	// secondSignalDelay is the time between the first and the second SIGTERM.
	secondSignalDelay = time.Second
	// callerSwitchDelay is how long callers still use a proxy after the second
	// SIGTERM and the configuration change.
	callerSwitchDelay = time.Second
)

func (f *fleet) restartAll(serving []atomic.Bool) error {
	for n, i := range f.peers {
		i.Proxy.Signal(syscall.SIGTERM)
		time.Sleep(secondSignalDelay)
		i.Proxy.Signal(syscall.SIGTERM)
		if _, err := f.publish([]string{"org"}, 50_000+n); err != nil {
			return err
		}
		time.Sleep(callerSwitchDelay)
		serving[n].Store(false)
		if err := i.Proxy.Wait(); err != nil {
			return err
		}
		if err := f.lab.StartProxy(i); err != nil {
			return err
		}
		if err := f.lab.WaitReady(i); err != nil {
			return err
		}
		serving[n].Store(true)
		if err := f.awaitCondition("the restarted proxy has rejoined the fleet", func() bool { return f.lab.Converged(f.instances()) }); err != nil {
			return err
		}
	}
	return nil
}
