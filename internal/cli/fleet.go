package cli

import (
	"fmt"
	"strings"

	"heatherlift.example/heatherlift/internal/node"
)

// printFleet prints the lowest version in force at any instance, a network
// partition if there is one, and the instances that enforce an older version than
// others, are unreachable or have refused a version.
func (c *statusCommand) printFleet(f node.FleetSummary) {
	fmt.Fprintf(c.stdout, "in force everywhere: %d\n", f.InForce)
	if p := f.Partition; p != nil {
		fmt.Fprintf(c.stdout, "partition: %d of %d instances unreachable, availability zones %v\n", p.Unreachable, p.Known, p.AvailabilityZones)
		if p.CutOff {
			fmt.Fprintln(c.stdout, "this proxy cannot reach most of the fleet")
		}
	}
	c.printNames("lagging", f.Lagging)
	c.printNames("unreachable", f.Unreachable)
	c.printNames("refused at", f.RefusedAt)
}

func (c *statusCommand) printNames(label string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(c.stdout, "%s: %s\n", label, strings.Join(names, " "))
	}
}
