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

// template gives every organisation the same routes to the backend servers.
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

// fleet is a lab with one entry proxy and several proxies beside backend
// servers, in one availability zone each.
type fleet struct {
	lab   *lab.Lab
	entry *lab.Instance
	peers []*lab.Instance
}

// shape describes a fleet.
type shape struct {
	peers, slots  int
	organisations []string
}

func startFleet(o options, s shape) (*fleet, error) {
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

func (f *fleet) start(s shape) error {
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
	for _, i := range f.all() {
		if err := f.lab.StartInstance(i); err != nil {
			return err
		}
	}
	return f.await("every proxy knows the fleet", func() bool { return f.lab.Joined(f.all()) })
}

// publish gives every organisation the same configuration.
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

func (f *fleet) all() []*lab.Instance {
	return append([]*lab.Instance{f.entry}, f.peers...)
}

func (f *fleet) await(what string, done func() bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if done() {
			return nil
		}
	}
	return errors.Newf("not within %v: %s", startTimeout, what)
}

// address returns the address of the entry proxy for callers.
func (f *fleet) address() string {
	return f.entry.Settings.Listen.Callers
}

// ip returns a loopback address of the instance with another port.
func ip(i *lab.Instance, port string) string {
	host, _, _ := strings.Cut(i.Settings.Listen.Callers, ":")
	return host + ":" + port
}
