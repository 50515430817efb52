package member

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// effectsHash runs a simulated fleet with faults and returns a hash of all
// effects.
func effectsHash() uint64 {
	d := xxhash.New()
	n := newNetwork(21, 12, 3)
	n.loss, n.duplicate = 0.1, 0.1
	n.check = func(t *testNode, effects []Effect) {
		for _, e := range effects {
			text, _ := json.Marshal(e)
			_, _ = fmt.Fprintf(d, "%s %T %s\n", t.id(), e, text)
		}
	}
	n.publishList()
	n.run(10 * time.Second)
	for i, t := range n.nodes {
		t.step(versionHeld(uint64(i)))
	}
	n.nodes[1].kill()
	n.nodes[2].pausedUntil = n.now.Add(20 * time.Second)
	n.run(time.Minute)
	return d.Sum64()
}

func TestSameEventsGiveSameEffects(t *testing.T) {
	is.New(t).Equal(effectsHash(), effectsHash())
}
