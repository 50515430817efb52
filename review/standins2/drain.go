package main

import (
	"fmt"
	"time"
)

func init() { cases["drain"] = playDrain }

// playDrain: an upstream reports that it drains. With the disruption, another writer then
// writes its entry four times, as ready, without its version, warm-up, sequence and start time.
func playDrain(f *fleet, trouble bool) error {
	led := newLedger()
	ups, err := startDesks(f, led, 6, deskRoutes(), 120*time.Millisecond)
	if err != nil {
		return err
	}
	u := ups[0]
	acked := make(chan time.Time, 1)
	go func() {
		time.Sleep(2 * time.Second)
		u.drain()
		ack := time.Now()
		acked <- ack
		f.record.printf("the store acknowledges that %s is draining", u.id)
		time.Sleep(drainBound)
		if trouble {
			for range 4 {
				u.awaitReport()
				time.Sleep(100 * time.Millisecond)
				f.store.put(u.key(), u.incompleteEntry())
				f.record.printf("another writer writes the entry of %s as ready, without its version, warm-up, sequence and start time", u.id)
			}
		}
		time.Sleep(time.Until(ack.Add(9 * time.Second)))
		u.end()
		f.store.remove(u.key())
		f.record.printf("%s has left", u.id)
	}()
	t := f.send(time.Now().Add(14 * time.Second))
	ack := <-acked
	late, lost := t.arrivedAfter(u, ack.Add(drainBound)), t.lostAt(u)
	f.record.printf("%d requests reached %s later than %v after the ack, %d bookings that ran there were lost", late, u.id, drainBound, lost)
	if late > 0 {
		return brokenRule{fmt.Sprintf("DRAIN: %d requests reached an upstream later than %v after the ack of its draining; %d bookings were lost as it left", late, drainBound, lost)}
	}
	return nil
}
