package main

import (
	"fmt"
	"time"
)

func init() { cases["sameid"] = playSameID }

// playSameID: an upstream ends, starts again under its id, and leaves without draining
// while it goes on serving for some seconds. With the disruption, the store then comes back
// from a copy of before.
func playSameID(f *fleet, trouble bool) error {
	led := newLedger()
	ups, err := startDesks(f, led, 6, deskRoutes(), 120*time.Millisecond)
	if err != nil {
		return err
	}
	first := ups[0]
	times := make(chan [2]time.Time, 1)
	again := make(chan *upstream, 1)
	go func() {
		time.Sleep(2 * time.Second)
		c := f.store.copyContent()
		taken := time.Now()
		time.Sleep(100 * time.Millisecond)
		first.end()
		f.record.printf("%s ends", first.id)
		time.Sleep(300 * time.Millisecond)
		u, err := startUpstream(f.machines[0], first.id, led, 9, 120*time.Millisecond)
		if err != nil {
			f.record.printf("%v", err)
		}
		again <- u
		f.record.printf("%s starts again under its id", u.id)
		time.Sleep(1500 * time.Millisecond)
		u.stopReporting()
		f.store.remove(u.key())
		ack := time.Now()
		f.record.printf("%s leaves: the store removes its entry, and it goes on serving", u.id)
		time.Sleep(2500 * time.Millisecond)
		back := time.Now()
		if trouble {
			f.store.restore(c)
			f.record.printf("the store is back from a copy %v old", back.Sub(taken).Round(100*time.Millisecond))
		}
		times <- [2]time.Time{ack, back}
		time.Sleep(4300 * time.Millisecond)
		u.end()
		f.record.printf("%s has ended", u.id)
	}()
	t := f.send(time.Now().Add(15 * time.Second))
	at, u := <-times, <-again
	bound := at[0].Add(drainBound)
	if inTouch := at[1].Add(contactTime); inTouch.After(bound) {
		bound = inTouch
	}
	late, lost := t.arrivedAfter(u, bound), t.lostAt(u)
	f.record.printf("%d requests reached %s from machines in touch later than %v after it had left, %d bookings that ran there were lost", late, u.id, drainBound, lost)
	if late > 0 {
		return brokenRule{fmt.Sprintf("DRAIN: %d requests reached an upstream that had left, from machines in touch; %d bookings were lost as it ended", late, lost)}
	}
	return nil
}
