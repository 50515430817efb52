package main

import (
	"fmt"
	"time"
)

func init() { cases["restored"] = playRestored }

// playRestored: an upstream leaves without draining and goes on serving for some seconds,
// and the proxy beside it is killed and starts again. With the disruption, the store then
// comes back from a copy of before.
func playRestored(f *fleet, trouble bool) error {
	led := newLedger()
	ups, err := startDesks(f, led, 6, deskRoutes(), 120*time.Millisecond)
	if err != nil {
		return err
	}
	u, beside := ups[0], f.machines[0]
	times := make(chan [2]time.Time, 1)
	go func() {
		time.Sleep(2 * time.Second)
		c := f.store.copyContent()
		time.Sleep(100 * time.Millisecond)
		u.stopReporting()
		f.store.remove("servers/" + u.id)
		ack := time.Now()
		f.record.printf("%s leaves: the store removes its entry, and it goes on serving", u.id)
		time.Sleep(300 * time.Millisecond)
		beside.kill()
		if err := beside.start(); err != nil {
			f.record.printf("%v", err)
		}
		time.Sleep(3700 * time.Millisecond)
		back := time.Now()
		if trouble {
			f.store.restore(c)
			f.record.printf("the store is back from a copy %v old", back.Sub(ack.Add(-100*time.Millisecond)).Round(100*time.Millisecond))
		}
		times <- [2]time.Time{ack, back}
		time.Sleep(4300 * time.Millisecond)
		u.end()
		f.record.printf("%s has ended", u.id)
	}()
	t := f.send(time.Now().Add(14 * time.Second))
	at := <-times
	bound := at[0].Add(drainBound)
	if inTouch := at[1].Add(contactTime); inTouch.After(bound) {
		bound = inTouch
	}
	late, lost := t.arrivedAfter(u, bound), t.lostAt(u)
	f.record.printf("%d requests reached %s from machines in touch later than %v after it had left, %d bookings that ran there were lost", late, u.id, drainBound, lost)
	if late > 0 {
		return brokenRule{fmt.Sprintf("DRAIN: %d requests reached an upstream that had left, from a machine in touch; %d bookings were lost as it ended", late, lost)}
	}
	return nil
}
