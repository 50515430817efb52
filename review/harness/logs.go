package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stalledFor is how long the log collectors have stood still before the planned work.
	stalledFor = 40 * time.Second
	// clientsPerMachine is the number of clients of each machine.
	clientsPerMachine = 12
	// versionGap is the time between the two versions, and askFor how long the clients ask
	// after the second one.
	versionGap = 3 * time.Second
	askFor     = 15 * time.Second
	// thinkTime is the pause of a client between two requests.
	thinkTime = 60 * time.Millisecond
)

// workByPath returns the mean work of the requests of a small site.
func workByPath(r *http.Request) time.Duration {
	switch {
	case strings.HasPrefix(r.URL.Path, "/book/"):
		return 78 * time.Millisecond
	case strings.HasPrefix(r.URL.Path, "/status/"):
		return 60 * time.Millisecond
	}
	return 150 * time.Millisecond
}

// startCollected starts all proxies with their output in a pipe to a log collector each.
func (f *fleet) startCollected() (collectors []*process, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	for _, m := range f.machines {
		reader, writer, err := os.Pipe()
		if err != nil {
			return nil, err
		}
		cmd := exec.Command(self, "collect", filepath.Join(f.dir, m.name+".log"))
		cmd.Stdin, cmd.Stderr = reader, os.Stderr
		collector, err := startProcess(cmd)
		if err != nil {
			return nil, err
		}
		f.track(collector)
		collectors = append(collectors, collector)
		if err := f.startProxy(m, writer); err != nil {
			return nil, err
		}
		_, _ = reader.Close(), writer.Close()
	}
	return collectors, f.awaitReady()
}

// load is the traffic of the clients of all machines.
type load struct {
	mu      sync.Mutex
	answers []answer
	stop    chan struct{}
	wg      sync.WaitGroup
	// out holds the machines whose clients send nothing new, since they are not ready.
	out map[*machine]bool
}

func startLoad(f *fleet) *load {
	l := &load{stop: make(chan struct{}), out: make(map[*machine]bool)}
	for _, m := range f.machines {
		for i := range clientsPerMachine {
			l.wg.Go(func() { l.client(m, i) })
		}
	}
	return l
}

func (l *load) client(m *machine, i int) {
	c := &client{machine: m}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(thinkTime):
		}
		l.mu.Lock()
		out := l.out[m]
		l.mu.Unlock()
		if out {
			c.close()
			continue
		}
		var a answer
		switch (n + i) % 3 {
		case 0:
			a = c.do(http.MethodPost, fmt.Sprintf("/book/%d", n), 1500*time.Millisecond, "one crate of flake ice")
		case 1:
			a = c.do(http.MethodGet, fmt.Sprintf("/status/%d", n), 1200*time.Millisecond, "")
		default:
			a = c.do(http.MethodGet, fmt.Sprintf("/lookup/%d", n), 1200*time.Millisecond, "")
		}
		l.mu.Lock()
		l.answers = append(l.answers, a)
		l.mu.Unlock()
	}
}

func (l *load) setOut(m *machine, out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out[m] = out
}

func (l *load) end() []answer {
	close(l.stop)
	l.wg.Wait()
	return l.answers
}

// askReady asks the readiness of a machine once a second, as the platform does, until stop is
// closed. After two misses its clients send nothing new.
func askReady(r *record, l *load, m *machine, stop <-chan struct{}, ready func(at time.Time, ok bool)) {
	misses := 0
	for {
		ok := m.ready()
		ready(time.Now(), ok)
		r.printf("%s ready: %v", m.name, ok)
		if misses++; ok {
			misses = 0
		}
		l.setOut(m, misses >= 2)
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// runLogs changes the configuration and stops two machines while the log collectors stand
// still.
func runLogs(r *record, trouble bool) (bool, error) {
	f, err := newFleet(6, workByPath)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.publish(append(baseRoutes(), droppedRoute), 300)
	collectors, err := f.startCollected()
	if err != nil {
		return false, err
	}
	l := startLoad(f)
	time.Sleep(contact)
	if trouble {
		for _, c := range collectors {
			c.signal(syscall.SIGSTOP)
		}
		r.printf("the log collectors stand still")
	}
	time.Sleep(stalledFor)
	version, _, _ := f.publish(append(baseRoutes(), droppedRoute), 301)
	r.printf("version %s acknowledged: one more idle route", version)
	time.Sleep(versionGap)
	version, _, acked := f.publish(baseRoutes(), 301)
	r.printf("version %s acknowledged: it drops /promo/", version)
	old, asked := askDropped(r, f, acked)
	f.stopMachines(r, l)
	for _, a := range l.end() {
		r.printf("%s", a)
	}
	r.runs(f.ledger)
	r.say("%d of %d requests for the dropped route run, sent from %v to %v after the acknowledgement", old, asked, configDeadline, askFor)
	return old > 0, nil
}

// askDropped sends requests on the dropped route to all machines and counts those that were
// sent later than configDeadline after the acknowledgement, and those of them that ran.
func askDropped(r *record, f *fleet, acked time.Time) (old, asked int) {
	for time.Since(acked) < askFor {
		time.Sleep(500 * time.Millisecond)
		for _, m := range f.machines {
			c := &client{machine: m}
			a := c.do(http.MethodPost, "/promo/1", 1500*time.Millisecond, "x")
			c.close()
			r.printf("%s", a)
			if a.Sent.Sub(acked) <= configDeadline {
				continue
			}
			asked++
			if len(f.ledger.of(a.ID)) > 0 {
				old++
			}
		}
	}
	return old, asked
}

// stopMachines stops two machines with SIGTERM and asks their readiness.
func (f *fleet) stopMachines(r *record, l *load) {
	stopped := f.machines[:2]
	signalled := time.Now()
	var mu sync.Mutex
	readyLate := make(map[*machine]bool)
	done := make(chan struct{})
	var asking sync.WaitGroup
	for _, m := range stopped {
		m.proxy.signal(syscall.SIGTERM)
		r.printf("SIGTERM to %s", m.name)
		asking.Go(func() {
			askReady(r, l, m, done, func(at time.Time, ok bool) {
				mu.Lock()
				defer mu.Unlock()
				if after := at.Sub(signalled); ok && after >= 4*time.Second && after < gracePeriod {
					readyLate[m] = true
				}
			})
		})
	}
	time.Sleep(time.Until(signalled.Add(gracePeriod)))
	killed := 0
	for _, m := range stopped {
		if m.proxy.ended() {
			r.printf("%s has ended", m.name)
			continue
		}
		killed++
		r.printf("%s still runs at the end of the grace period: SIGKILL", m.name)
		m.proxy.kill()
	}
	time.Sleep(time.Second)
	close(done)
	asking.Wait()
	r.say("%d of %d machines got SIGTERM: %d of them ran and counted as ready 4 s later, %d were killed at the end of the grace period", len(stopped), len(f.machines), len(readyLate), killed)
}
