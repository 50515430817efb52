package main

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/lab"
	"heatherlift.example/heatherlift/internal/source"
)

// Shape of the fleet to design for, scaled down to the size of a run.
const (
	designProxies  = 770
	designServices = 41
	zones          = 7
	routesEach     = 8
	callsEach      = 2
)

const (
	listLag       = 2 * time.Second
	platformLimit = 2000
	patience      = 60 * time.Second
	pollInterval  = 100 * time.Millisecond
	concurrency   = 16
)

// fleet is a running set of proxies.
type fleet struct {
	lab       *lab.Lab
	directory *config.Directory
	instances []*lab.Instance
	revision  int
}

func serviceName(n int) string {
	return fmt.Sprintf("service-%d", n)
}

// services returns the number of services for a fleet of n proxies.
func services(n int) int {
	return max(2, n*designServices/designProxies)
}

// newFleet starts the platform and n proxies.
func newFleet(o options, mode string, n int) (*fleet, error) {
	l, err := lab.New(o.bin)
	if err != nil {
		return nil, err
	}
	if o.tls {
		if err := l.UseTLS(); err != nil {
			return nil, err
		}
	}
	f := &fleet{lab: l, directory: directory(o.organisations, services(n))}
	if _, err := l.StartPlatform(listLag, platformLimit); err != nil {
		return f, err
	}
	if _, err := l.Publish(f.directory); err != nil {
		return f, err
	}
	for i := range n {
		f.instances = append(f.instances, f.newInstance(mode, i, services(n)))
	}
	if err := f.each(f.instances, func(i *lab.Instance) error { return l.List(i, source.InstanceLive) }); err != nil {
		return f, err
	}
	return f, f.each(f.instances, l.StartProxy)
}

func (f *fleet) newInstance(mode string, i, services int) *lab.Instance {
	var calls []string
	for c := 1; c <= callsEach && c < services; c++ {
		calls = append(calls, serviceName((i+c)%services))
	}
	instance := f.lab.NewInstance(serviceName(i%services), calls, fmt.Sprintf("zone-%d", i%zones))
	instance.Settings.Distribution.Mode = mode
	instance.Settings.Log.Level = "error"
	return instance
}

// each calls f for all instances, some at a time.
func (f *fleet) each(instances []*lab.Instance, do func(*lab.Instance) error) error {
	var group errgroup.Group
	group.SetLimit(concurrency)
	for _, i := range instances {
		group.Go(func() error { return do(i) })
	}
	return group.Wait()
}

// change edits one organisation and publishes. It returns the version and the
// time of its publication.
func (f *fleet) change() (version uint64, at time.Time, err error) {
	f.revision++
	name := organisationName(f.revision % len(f.directory.Organisations))
	f.directory.Organisations[name] = organisationText(f.revision % 1000)
	version, err = f.lab.Publish(f.directory)
	return version, time.Now(), err
}

// awaitVersion waits until the instances enforce the version and returns the
// time at which each began to.
func (f *fleet) awaitVersion(version uint64, instances []*lab.Instance) ([]time.Time, error) {
	since := make([]time.Time, len(instances))
	deadline := time.Now().Add(patience)
	var group errgroup.Group
	group.SetLimit(concurrency)
	for n, i := range instances {
		group.Go(func() (err error) {
			since[n], err = f.awaitOne(version, i, deadline)
			return err
		})
	}
	return since, group.Wait()
}

func (f *fleet) awaitOne(version uint64, i *lab.Instance, deadline time.Time) (time.Time, error) {
	for time.Now().Before(deadline) {
		head, err := f.lab.Head(i)
		if err == nil && head.Version >= version && head.Ready {
			return head.Since, nil
		}
		time.Sleep(pollInterval)
	}
	return time.Time{}, errors.Newf("%s does not enforce version %d after %v", i.Settings.ID, version, patience)
}

func organisationName(n int) string {
	return fmt.Sprintf("organisation-%d", n)
}

func organisationText(rate int) []byte {
	return fmt.Appendf(nil, "template = \"template-%d\"\n[parameters]\nrequests_per_second = %d\n", 0, rate+1)
}

// directory returns a configuration in which every organisation reaches every
// service.
func directory(organisations, services int) *config.Directory {
	d := &config.Directory{Templates: make(map[string][]byte), Organisations: make(map[string][]byte)}
	d.Templates["template-0"] = templateText(services)
	for n := range organisations {
		d.Organisations[organisationName(n)] = organisationText(n)
	}
	return d
}

func templateText(services int) []byte {
	text := []byte("[parameters.requests_per_second]\ntype = \"integer\"\nmin = 1\n" +
		"[limits]\nrequests_per_second = \"${requests_per_second}\"\nconcurrency = 20\n")
	for s := range services {
		text = fmt.Appendf(text, "[groups.%s]\nservice = \"%s\"\n", serviceName(s), serviceName(s))
	}
	for r := range max(routesEach, services) {
		text = fmt.Appendf(text, "[[routes]]\nname = \"route-%d\"\nmethods = [\"GET\", \"POST\"]\npath = \"/route-%d/{id}\"\n"+
			"group = \"%s\"\ndeadline = \"1s\"\nrepeatable = true\n", r, r, serviceName(r%services))
	}
	return text
}
