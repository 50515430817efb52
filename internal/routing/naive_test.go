package routing_test

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// naive is a reference policy: it sends requests round robin and retries after
// any error.
type naive struct {
	instances []routing.Instance
	services  map[string]string // by organisation
	next      int
	calls     map[uint64]*naiveCall
}

type naiveCall struct {
	service  string
	arrived  routing.Arrived
	deadline time.Time
	attempts int
}

func (n *naive) Step(now time.Time, e routing.Event) []routing.Effect {
	switch e := e.(type) {
	case routing.InstancesChanged:
		n.instances = e.Instances
	case routing.Arrived:
		c := &naiveCall{service: n.services[e.Organisation], arrived: e, deadline: now.Add(simDeadline)}
		n.calls[e.ID] = c
		return n.send(c)
	case routing.AttemptEnded:
		c := n.calls[e.ID]
		if e.Outcome == outcome.Answered && e.Status < 500 {
			delete(n.calls, e.ID)
			return nil
		}
		if c.attempts < simMaxAttempts && now.Before(c.deadline) {
			return n.send(c)
		}
		delete(n.calls, e.ID)
		if e.Outcome == outcome.Answered {
			return nil
		}
		return []routing.Effect{routing.Refuse{ID: e.ID, Refusal: outcome.Refusal{Outcome: e.Outcome, Reason: e.Reason}}}
	}
	return nil
}

func (n *naive) send(c *naiveCall) []routing.Effect {
	c.attempts++
	for {
		n.next++
		i := n.instances[n.next%len(n.instances)]
		if i.Service == c.service && !i.Leaving {
			return []routing.Effect{routing.Send{
				ID: c.arrived.ID, Instance: i.ID, Deadline: c.deadline, Attempt: c.attempts, Repeatable: c.arrived.Method == "GET",
			}}
		}
	}
}
