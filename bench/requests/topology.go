package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/lab"
)

const (
	entryService   = "entry"
	backendService = "backend"
	listLag        = time.Second
	startTimeout   = 20 * time.Second
	pollInterval   = 10 * time.Millisecond
)

// template is the configuration template of every organisation: a repeatable read
// route and a non-repeatable write route to the backend servers.
const template = `
[parameters.requests_per_second]
type = "integer"
min = 1
max = 100000

[parameters.concurrency]
type = "integer"
min = 1
max = 10000

[limits]
requests_per_second = "${requests_per_second}"
concurrency = "${concurrency}"

[groups.all]
service = "backend"
availability_zones = []

[[routes]]
name = "read"
methods = ["GET"]
path = "/{rest...}"
group = "all"
deadline = "2s"
repeatable = true

[[routes]]
name = "write"
methods = ["POST"]
path = "/{rest...}"
group = "all"
deadline = "2s"
`

// fleet is one entry proxy, which callers use, and several peers, proxies beside
// the backend servers that serve the requests. All are in one availability zone.
type fleet struct {
	lab   *lab.Lab
	entry *lab.Instance
	peers []*lab.Instance
}

// fleetSpec describes a fleet. Each peer's backend server runs up to slots requests
// at once.
type fleetSpec struct {
	peers, slots  int
	organisations []string
}

func startFleet(o options, s fleetSpec) (*fleet, error) {
	l, err := lab.New(o.bin)
	if err != nil {
		return nil, err
	}
	if o.tls {
		if err := l.UseTLS(); err != nil {
			return nil, err
		}
	}
	f := &fleet{lab: l}
	if err := f.start(s); err != nil {
		l.Stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(s fleetSpec) error {
	if _, err := f.lab.StartPlatform(listLag, 0); err != nil {
		return err
	}
	if _, err := f.publish(s.organisations, 100_000); err != nil {
		return err
	}
	f.entry = f.lab.NewInstance(entryService, []string{backendService}, "zone-a")
	for range s.peers {
		i := f.lab.NewInstance(backendService, nil, "zone-a")
		i.Settings.BackendServer.Slots = s.slots
		f.peers = append(f.peers, i)
	}
	for _, i := range f.instances() {
		if err := f.lab.StartInstance(i); err != nil {
			return err
		}
	}
	return f.awaitCondition("every proxy has joined the fleet", func() bool { return f.lab.Converged(f.instances()) })
}

// publish publishes a valid configuration with the same limits for every
// organisation and returns its version.
func (f *fleet) publish(organisations []string, requestsPerSecond int) (uint64, error) {
	d := &config.Directory{
		Templates:     map[string][]byte{"bench": []byte(template)},
		Organisations: make(map[string][]byte),
	}
	text := fmt.Sprintf("template = \"bench\"\n[parameters]\nrequests_per_second = %d\nconcurrency = 10000\n", requestsPerSecond)
	for _, name := range organisations {
		d.Organisations[name] = []byte(text)
	}
	if _, problems := d.Check(); len(problems) > 0 {
		return 0, problems
	}
	return f.lab.Publish(d)
}

func (f *fleet) instances() []*lab.Instance {
	return append([]*lab.Instance{f.entry}, f.peers...)
}

func (f *fleet) awaitCondition(condition string, done func() bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if done() {
			return nil
		}
	}
	return errors.Newf("timed out after %v waiting until %s", startTimeout, condition)
}

// address returns the entry proxy's listen address for callers.
func (f *fleet) address() string {
	return f.entry.Settings.Listen.Callers
}

// addressWithPort returns the instance's loopback address with another port.
func addressWithPort(i *lab.Instance, port string) string {
	host, _, _ := strings.Cut(i.Settings.Listen.Callers, ":")
	return host + ":" + port
}
