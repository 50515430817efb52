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

// The design target is a fleet of referenceProxies proxies that belong to
// referenceServices services. A run keeps that ratio at its own fleet size.
const (
	referenceProxies  = 770
	referenceServices = 41
	zones             = 7
	// minRoutes is the number of routes of an organisation in a fleet with fewer
	// services; otherwise there is one route to each service.
	minRoutes = 8
	// calledServices is the number of other services that each instance calls.
	calledServices = 2
)

const (
	// listLag is the delay before a change of the platform's instance list
	// becomes visible to readers.
	listLag = 2 * time.Second
	// platformCallsPerSecond is the rate above which the platform refuses reads.
	platformCallsPerSecond = 2000
	// versionTimeout bounds the wait until a proxy enforces a version.
	versionTimeout = 60 * time.Second
	pollInterval   = 100 * time.Millisecond
	// concurrency is the number of proxies that are started or polled in parallel.
	concurrency = 16
)

// fleet is a running set of proxies without backend servers.
type fleet struct {
	lab       *lab.Lab
	directory *config.Directory
	instances []*lab.Instance
	// changeCount is the number of changes published so far.
	changeCount int
}

func serviceName(n int) string {
	return fmt.Sprintf("service-%d", n)
}

// serviceCount returns the number of services for a fleet of n proxies.
func serviceCount(n int) int {
	return max(2, n*referenceServices/referenceProxies)
}

// newFleet starts the simulated platform and n proxies. The caller must stop the
// lab of the fleet if one is returned, also with an error.
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
	f := &fleet{lab: l, directory: directory(o.organisations, serviceCount(n))}
	if _, err := l.StartPlatform(listLag, platformCallsPerSecond); err != nil {
		return f, err
	}
	if _, err := l.Publish(f.directory); err != nil {
		return f, err
	}
	for i := range n {
		f.instances = append(f.instances, f.newInstance(mode, i, serviceCount(n)))
	}
	if err := f.forEach(f.instances, func(i *lab.Instance) error { return l.PutInstance(i, source.InstanceLive) }); err != nil {
		return f, err
	}
	return f, f.forEach(f.instances, l.StartProxy)
}

func (f *fleet) newInstance(mode string, i, services int) *lab.Instance {
	var calls []string
	for c := 1; c <= calledServices && c < services; c++ {
		calls = append(calls, serviceName((i+c)%services))
	}
	instance := f.lab.NewInstance(serviceName(i%services), calls, fmt.Sprintf("zone-%d", i%zones))
	instance.Settings.Distribution.Mode = mode
	instance.Settings.Log.Level = "error"
	return instance
}

// forEach calls do for every instance, at most concurrency at a time.
func (f *fleet) forEach(instances []*lab.Instance, do func(*lab.Instance) error) error {
	var group errgroup.Group
	group.SetLimit(concurrency)
	for _, i := range instances {
		group.Go(func() error { return do(i) })
	}
	return group.Wait()
}

// publishChange changes the rate limit of one organisation and publishes the
// configuration. It returns the version and the time of its publication.
func (f *fleet) publishChange() (version uint64, at time.Time, err error) {
	f.changeCount++
	name := organisationName(f.changeCount % len(f.directory.Organisations))
	f.directory.Organisations[name] = organisationText(f.changeCount % 1000)
	version, err = f.lab.Publish(f.directory)
	return version, time.Now(), err
}

// awaitVersion waits until every instance is ready and enforces the version or a
// newer one. It returns, for each, when the version in force came into force.
func (f *fleet) awaitVersion(version uint64, instances []*lab.Instance) ([]time.Time, error) {
	since := make([]time.Time, len(instances))
	deadline := time.Now().Add(versionTimeout)
	var group errgroup.Group
	group.SetLimit(concurrency)
	for n, i := range instances {
		group.Go(func() (err error) {
			since[n], err = f.awaitInstance(version, i, deadline)
			return err
		})
	}
	return since, group.Wait()
}

func (f *fleet) awaitInstance(version uint64, i *lab.Instance, deadline time.Time) (time.Time, error) {
	for time.Now().Before(deadline) {
		head, err := f.lab.Head(i)
		if err == nil && head.Version >= version && head.Ready {
			return head.Since, nil
		}
		time.Sleep(pollInterval)
	}
	return time.Time{}, errors.Newf("%s did not enforce version %d within %v", i.Settings.ID, version, versionTimeout)
}

func organisationName(n int) string {
	return fmt.Sprintf("organisation-%d", n)
}

func organisationText(n int) []byte {
	return fmt.Appendf(nil, "template = \"template-%d\"\n[parameters]\nrequests_per_second = %d\n", 0, n+1)
}

// directory returns a configuration with routes from every organisation to every
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
	for r := range max(minRoutes, services) {
		text = fmt.Appendf(text, "[[routes]]\nname = \"route-%d\"\nmethods = [\"GET\", \"POST\"]\npath = \"/route-%d/{id}\"\n"+
			"group = \"%s\"\ndeadline = \"1s\"\nrepeatable = true\n", r, r, serviceName(r%services))
	}
	return text
}
