package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// restoredMachines is the number of machines, killedMachines that of those whose
	// processes are killed: a share of 0.55.
	restoredMachines = 12
	killedMachines   = 6
	// copyAge is the age of the copy, awayFor how long the store is away.
	copyAge = 4 * time.Second
	awayFor = 300 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// writtenAgainAfter is when the operator and the upstreams have written again what the copy
	// lacks, counted from the start of the processes.
	writtenAgainAfter = 8 * time.Second
)

// drills is how often the store comes back from a copy.
const drills = 3

// runRestore kills half of the processes while the store comes back from a copy that lacks the
// latest version, which drops a route.
func runRestore(r *record, trouble bool) (bool, error) {
	f, err := newFleet(restoredMachines, fixedWork(20*time.Millisecond))
	if err != nil {
		return false, err
	}
	defer f.close()
	f.publish(append(baseRoutes(), droppedRoute), 300)
	if err := f.startAll(); err != nil {
		return false, err
	}
	broken := false
	for i := range drills {
		if i > 0 {
			f.publish(append(baseRoutes(), droppedRoute), 300)
		}
		time.Sleep(contact)
		late, err := f.drill(r, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || late > 0
	}
	r.runs(f.ledger)
	return broken, nil
}

// droppedRoute is the route that the latest version drops.
var droppedRoute = route{name: "promo", prefix: "/promo/", kind: protocol.NonIdempotent, service: services[0], timeoutMs: 800, targetMs: 250, priority: 1}

// drill sends a version, lets the store come back from a copy without it, and returns the
// number of requests that are late for the version.
func (f *fleet) drill(r *record, trouble bool) (int, error) {
	lacking := f.store.copy()
	time.Sleep(copyAge / 4)
	version, _, acked := f.publish(baseRoutes(), 300)
	newest := f.store.copy().items[protocol.ConfigurationKey]
	r.printf("version %s acknowledged: it drops /promo/", version)
	time.Sleep(copyAge * 3 / 4)
	killed := f.shuffled()[:killedMachines]
	if trouble {
		if err := f.restoreBesideKills(r, lacking, killed); err != nil {
			return 0, err
		}
	}
	started := time.Now()
	writtenAgain := started.Add(writtenAgainAfter)
	if trouble {
		go func() {
			time.Sleep(time.Until(writtenAgain))
			f.store.apply(item{Key: newest.Key, Value: newest.Value})
			r.printf("version %s is written again", version)
		}()
	}
	answers := f.askAll(writtenAgain.Add(configDeadline))
	late, where, latest := 0, make(map[string]bool), time.Duration(0)
	for _, a := range answers {
		r.printf("%s", a)
		if a.Sent.Sub(started) > contact && a.Sent.Sub(acked) > configDeadline && len(f.ledger.of(a.ID)) > 0 {
			late++
			where[a.Machine] = true
			latest = max(latest, a.Sent.Sub(acked))
		}
	}
	r.say("%d requests for the dropped route run, sent by %d of %d machines later than %v after the last start, the latest %v after the acknowledgement", late, len(where), len(f.machines), contact, latest.Round(time.Millisecond))
	return late, nil
}

// shuffled returns the machines in random order.
func (f *fleet) shuffled() []*machine {
	list := slices.Clone(f.machines)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// restoreBesideKills lets the store be away for a moment and come back from a copy, and kills
// processes meanwhile, which start again.
func (f *fleet) restoreBesideKills(r *record, c storeCopy, killed []*machine) error {
	for _, m := range f.machines {
		if err := m.turnAway(true); err != nil {
			return err
		}
	}
	for _, m := range killed {
		m.proxy.kill()
		r.printf("the process on %s is killed", m.name)
	}
	time.Sleep(awayFor)
	f.store.restore(c)
	for _, m := range f.machines {
		_ = m.turnAway(false)
	}
	r.printf("the store is back from a copy %v old", copyAge)
	time.Sleep(restartDelay - awayFor)
	for _, m := range killed {
		if err := f.startProxy(m, m.output); err != nil {
			return err
		}
	}
	return nil
}

// askAll sends requests on the dropped route to all machines until a time.
func (f *fleet) askAll(until time.Time) (answers []answer) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range f.machines {
		wg.Go(func() {
			c := &client{machine: m}
			defer c.close()
			for time.Now().Before(until) {
				a := c.do(http.MethodPost, "/promo/1", 1500*time.Millisecond, "x")
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return answers
}
