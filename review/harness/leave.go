package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	drainBound = 2 * time.Second
	// removedAfter is when the entry is removed, counted from the moment at which the
	// connections to the store go silent.
	removedAfter = time.Second
	// servesOn is how long the upstream serves on after its entry has been removed: drainMs
	// and a little longer.
	servesOn = drainBound + 1200*time.Millisecond
)

// departures is how often an upstream leaves, each time another one.
const departures = 3

// departure is the end of an upstream.
type departure struct {
	upstream *upstream
	// silent is when the connections went silent, removed when the removal of the entry was
	// acknowledged.
	silent, removed time.Time
}

// runLeave removes the entry of an upstream that doesn't report draining, just after the
// open connections to the store have gone silent. It does so with several upstreams in turn.
func runLeave(r *record, trouble bool) (bool, error) {
	f, err := newFleet(6, workByPath)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.publish(baseRoutes(), 300)
	if err := f.startAll(); err != nil {
		return false, err
	}
	l := startLoad(f)
	var list []departure
	for i := range departures {
		list = append(list, f.depart(r, f.machines[i+1], trouble))
	}
	answers := l.end()
	time.Sleep(200 * time.Millisecond)

	late := 0
	for _, d := range list {
		late += d.judge(r, f, answers)
	}
	for _, a := range answers {
		r.printf("%s", a)
	}
	r.runs(f.ledger)
	return late > 0, nil
}

// depart lets the upstream of a machine leave after a calm time.
func (f *fleet) depart(r *record, m *machine, trouble bool) departure {
	// The fleet is calm for longer than contact, and at no particular phase of its calls.
	time.Sleep(contact + time.Second + rand.N(4*time.Second))
	d := departure{upstream: m.upstream, silent: time.Now()}
	if trouble {
		for _, m := range f.machines {
			r.printf("%d open connections of %s to the store go silent; new ones work", m.link.silence(), m.name)
		}
	}
	time.Sleep(removedAfter)
	f.store.remove(protocol.InstancePrefix + d.upstream.id)
	d.removed = time.Now()
	r.printf("the entry of %s is removed, acknowledged; it serves on for %v", d.upstream.id, servesOn)
	time.Sleep(servesOn)
	_ = d.upstream.server.Close()
	r.printf("%s ends", d.upstream.id)
	time.Sleep(time.Second)
	return d
}

// judge returns the number of requests that began at the upstream later than the bound,
// sent when the machines were in touch.
func (d departure) judge(r *record, f *fleet, answers []answer) int {
	bound, inTouch := d.removed.Add(drainBound), d.silent.Add(contact)
	late, bookings, lost, latest := 0, 0, 0, time.Duration(0)
	for _, a := range answers {
		if !a.Sent.After(inTouch) {
			continue
		}
		for _, e := range f.ledger.of(a.ID) {
			if e.Instance != d.upstream.id || !e.Began.After(bound) {
				continue
			}
			late++
			latest = max(latest, e.Began.Sub(d.removed))
			r.printf("LATE %s, run at %s from %d ms after the removal", a, e.Instance, e.Began.Sub(d.removed).Milliseconds())
			if a.Method != http.MethodPost {
				continue
			}
			bookings++
			if e.End != "answered" {
				lost++
			}
		}
	}
	r.say("%s: %d requests, %d of them bookings, began later than %v after its removal and more than %v after the silence, the latest after %v; %d of the bookings were cut as it ended",
		d.upstream.id, late, bookings, drainBound, contact, latest.Round(time.Millisecond), lost)
	return late
}

const (
	// changeGap is the pause between two changes of the entry of an upstream, which is slow
	// after its start.
	changeGap = time.Second
	// changesBefore is the number of changes before the connections go silent.
	changesBefore = 5
	// quietAfter is when the connections go silent, counted from the last of them.
	quietAfter = 100 * time.Millisecond
	// droppedAfter is when the route is dropped, counted from then.
	droppedAfter = 700 * time.Millisecond
)

// runQuiet drops a route just after the open connections to the store have gone silent while
// the entry of an upstream changes.
func runQuiet(r *record, trouble bool) (bool, error) {
	f, err := newFleet(6, workByPath)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.publish(append(baseRoutes(), droppedRoute), 300)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	for i := range changesBefore {
		time.Sleep(changeGap)
		m := f.machines[0]
		f.register(m, time.Duration(changesBefore-i)*time.Second)
		r.printf("the entry of %s changes", m.upstream.id)
	}
	time.Sleep(quietAfter)
	silent := time.Now()
	if trouble {
		for _, m := range f.machines {
			r.printf("%d open connections of %s to the store go silent; new ones work", m.link.silence(), m.name)
		}
	}
	time.Sleep(droppedAfter)
	version, _, acked := f.publish(baseRoutes(), 300)
	r.printf("version %s acknowledged: it drops /promo/", version)
	bound := silent.Add(contact)
	if late := acked.Add(configDeadline); late.After(bound) {
		bound = late
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []answer
	for _, m := range f.machines {
		wg.Go(func() {
			c := &client{machine: m}
			defer c.close()
			for time.Since(bound) < 2*time.Second {
				a := c.do(http.MethodPost, "/promo/1", 1500*time.Millisecond, "x")
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	old, latest := 0, time.Duration(0)
	for _, a := range answers {
		r.printf("%s", a)
		if a.Sent.After(bound) && len(f.ledger.of(a.ID)) > 0 {
			old++
			latest = max(latest, a.Sent.Sub(acked))
		}
	}
	r.runs(f.ledger)
	r.say("%d requests for the dropped route run, sent later than %v after the acknowledgement and %v after the silence, the latest %v after the acknowledgement", old, configDeadline, contact, latest.Round(time.Millisecond))
	return old > 0, nil
}
