package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFleetConverges(t *testing.T) {
	n := newNetwork(1, 24, 3)
	n.publishList()
	n.awaitConvergence(t, 30*time.Second)
}

func TestRumourIsLearntOnceByAll(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2, 36, 3)
	n.publishList()
	n.awaitConvergence(t, 30*time.Second)
	n.nodes[5].step(Publish{Rumour: rumour("k", time.Minute)})
	n.run(3 * time.Second)
	for _, node := range n.nodes {
		is.Equal(node.learnt["k"], 1)
	}
	n.run(2 * time.Minute)
	for _, node := range n.nodes {
		is.Equal(node.learnt["k"], 1)
		is.Equal(len(node.m.rumours.held), 0) // expired
	}
}

func TestRestartedInstanceLearnsTheFleetWithinHalfASecond(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 16, 36, 3)
	node := n.nodes[4]
	node.restart(0)
	n.run(testTick)
	n.publishList()
	_, ok := n.runUntil(500*time.Millisecond, func() bool { return len(node.m.View()) == len(n.nodes) })
	is.True(ok)
}
