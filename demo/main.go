// Command demo runs heatherlift with six backend servers and their proxies in
// three availability zones, as separate processes on loopback addresses. Under
// load, it changes the configuration and stops proxies. It exits with 1 if any
// guarantee is violated.
package main

import (
	"flag"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/lab"
)

const (
	convergenceTimeout = 10 * time.Second
	pollInterval       = 5 * time.Millisecond
	// stepPause is the time under load before the first change, and the time for
	// which a killed proxy stays down.
	stepPause       = 2 * time.Second
	instanceListLag = 2 * time.Second
	// platformCallsPerSecond is the rate above which the platform refuses reads.
	platformCallsPerSecond = 2000
)

func main() {
	bin := flag.String("bin", "bin", "`DIR` containing the built binaries")
	dir := flag.String("config", "examples/pwani-barafu", "configuration `DIR`")
	flag.Parse()
	if err := run(*bin, *dir); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// demo is one run of the demonstration.
type demo struct {
	lab        *lab.Lab
	directory  *config.Directory
	instances  []*lab.Instance
	load       *load
	violations []string
}

func run(bin, dir string) error {
	l, err := lab.New(bin)
	if err != nil {
		return err
	}
	defer l.Stop()
	directory, err := config.ReadDirectory(dir)
	if err != nil {
		return err
	}
	if err := l.UseTLS(); err != nil {
		return err
	}
	d := &demo{lab: l, directory: directory}
	steps := []func() error{d.start, d.editOrganisation, d.publishInvalid, d.shutDownProxy, d.killProxy, d.finish}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	if len(d.violations) > 0 {
		return errors.Newf("%d guarantees violated: %v", len(d.violations), d.violations)
	}
	fmt.Println("all guarantees held")
	return nil
}

func (d *demo) reportStep(format string, args ...any) {
	fmt.Printf("== "+format+"\n", args...)
}

func (d *demo) reportViolation(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	d.violations = append(d.violations, message)
	fmt.Println("BROKEN:", message)
}

// start starts the platform and the fleet, waits for convergence and starts the
// load generator.
func (d *demo) start() error {
	if _, err := d.lab.StartPlatform(instanceListLag, platformCallsPerSecond); err != nil {
		return err
	}
	version, err := d.lab.Publish(d.directory)
	if err != nil {
		return err
	}
	for i, zone := range []string{"tanga", "bagamoyo", "kilwa", "tanga", "bagamoyo", "kilwa"} {
		service, other := "trader-desk", "hotel-desk"
		if i >= 3 {
			service, other = other, service
		}
		d.instances = append(d.instances, d.lab.NewInstance(service, []string{other}, zone))
	}
	for _, i := range d.instances {
		if err := d.lab.StartInstance(i); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		if err := d.lab.WaitReady(i); err != nil {
			return err
		}
	}
	elapsed, err := d.awaitVersion(version, d.instances)
	if err != nil {
		return err
	}
	d.reportStep("6 proxies in 3 availability zones enforce version %d after %v", version, elapsed.Round(time.Millisecond))
	if err := d.waitUntil("every proxy has discovered the fleet", func() bool { return d.lab.Converged(d.instances) }); err != nil {
		return err
	}
	d.load = startLoad(d.instances)
	time.Sleep(stepPause)
	return nil
}

func (d *demo) waitUntil(condition string, done func() bool) error {
	deadline := time.Now().Add(convergenceTimeout)
	for time.Now().Before(deadline) {
		if done() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Newf("timeout after %v: %s", convergenceTimeout, condition)
}

// awaitVersion waits until all instances enforce the version or a newer one, and
// returns the time that it took.
func (d *demo) awaitVersion(version uint64, instances []*lab.Instance) (time.Duration, error) {
	start := time.Now()
	err := d.waitUntil(fmt.Sprintf("version %d in force", version), func() bool {
		for _, i := range instances {
			if s, err := d.lab.Status(i); err != nil || s.Version < version {
				return false
			}
		}
		return true
	})
	return time.Since(start), err
}

// editOrganisation publishes a changed parameter of one organisation and waits
// until all proxies enforce it.
func (d *demo) editOrganisation() error {
	d.directory.Organisations["coral-hotel"] = []byte("template = \"hotel\"\n[parameters]\nrequests_per_second = 45\n")
	version, err := d.lab.Publish(d.directory)
	if err != nil {
		return err
	}
	elapsed, err := d.awaitVersion(version, d.instances)
	if err != nil {
		return err
	}
	d.reportStep("edited coral-hotel: version %d in force everywhere after %v", version, elapsed.Round(time.Millisecond))
	return nil
}

// publishInvalid publishes a version in which one organisation is invalid, checks
// that every proxy rejects only that organisation, and publishes a valid version.
func (d *demo) publishInvalid() error {
	valid := d.directory.Organisations["mwanza-fish"]
	d.directory.Organisations["mwanza-fish"] = []byte("template = \"trader\"\n[parameters]\nrequests_per_second = 0\n")
	version, err := d.lab.Publish(d.directory)
	if err != nil {
		return err
	}
	if _, err := d.awaitVersion(version, d.instances); err != nil {
		return err
	}
	for _, i := range d.instances {
		s, err := d.lab.Status(i)
		if err != nil {
			return err
		}
		if len(s.Rejected) != 1 || s.Rejected[0].Organisation != "mwanza-fish" {
			d.reportViolation("%s did not reject exactly the invalid organisation mwanza-fish", i.Settings.ID)
		}
		if i == d.instances[0] && len(s.Rejected) == 1 {
			d.reportStep("version %d: mwanza-fish rejected, its previous configuration stays in force: %v", version, s.Rejected[0].Problems)
		}
	}
	d.directory.Organisations["mwanza-fish"] = valid
	version, err = d.lab.Publish(d.directory)
	if err != nil {
		return err
	}
	elapsed, err := d.awaitVersion(version, d.instances)
	if err != nil {
		return err
	}
	d.reportStep("corrected mwanza-fish: version %d in force everywhere after %v", version, elapsed.Round(time.Millisecond))
	return nil
}

// shutDownProxy shuts one proxy down gracefully under load, checks that no
// connection is lost, and restarts the proxy.
func (d *demo) shutDownProxy() error {
	leaving := d.instances[1]
	before := d.load.lostConnections()
	start := time.Now()
	leaving.Proxy.Signal(syscall.SIGTERM)
	if err := leaving.Proxy.Wait(); err != nil {
		d.reportViolation("graceful shutdown: %v", err)
	}
	if lost := d.load.lostConnections() - before; lost != 0 {
		d.reportViolation("graceful shutdown lost the connections of %d requests", lost)
	}
	d.reportStep("%s shut down gracefully in %v, no connection lost", leaving.Settings.ID, time.Since(start).Round(time.Millisecond))
	if err := d.lab.StartProxy(leaving); err != nil {
		return err
	}
	return d.lab.WaitReady(leaving)
}

// killProxy kills one proxy with SIGKILL, restarts it without any stored state
// and checks that its version is not lower than before.
func (d *demo) killProxy() error {
	target := d.instances[4]
	before, err := d.lab.Status(target)
	if err != nil {
		return err
	}
	target.Proxy.Signal(syscall.SIGKILL)
	_ = target.Proxy.Wait()
	time.Sleep(stepPause)
	start := time.Now()
	if err := d.lab.StartProxy(target); err != nil {
		return err
	}
	if err := d.lab.WaitReady(target); err != nil {
		return err
	}
	s, err := d.lab.Status(target)
	if err != nil {
		return err
	}
	if s.Version < before.Version {
		d.reportViolation("%s restarted with version %d below %d", target.Settings.ID, s.Version, before.Version)
	}
	d.reportStep("%s was killed and restarted with version %d after %v", target.Settings.ID, s.Version, time.Since(start).Round(time.Millisecond))
	return nil
}
