// Command demo shows heatherlift at work: six backend servers with their
// proxies in three availability zones, as separate processes on loopback
// addresses. It exits with 1 if any promise was broken.
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
	convergenceLimit = 10 * time.Second
	pollInterval     = 5 * time.Millisecond
	loadBefore       = 2 * time.Second
	listLag          = 2 * time.Second
	platformLimit    = 2000
)

func main() {
	bin := flag.String("bin", "bin", "`DIR` of the programs")
	dir := flag.String("config", "examples/pwani-barafu", "configuration `DIR`")
	flag.Parse()
	if err := run(*bin, *dir); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// demo is one run of the demonstration.
type demo struct {
	lab       *lab.Lab
	directory *config.Directory
	instances []*lab.Instance
	load      *load
	broken    []string
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
	steps := []func() error{d.start, d.edit, d.publishBad, d.drain, d.kill, d.finish}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	if len(d.broken) > 0 {
		return errors.Newf("%d promises were broken: %v", len(d.broken), d.broken)
	}
	fmt.Println("every promise was kept")
	return nil
}

func (d *demo) say(format string, args ...any) {
	fmt.Printf("== "+format+"\n", args...)
}

func (d *demo) breach(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	d.broken = append(d.broken, message)
	fmt.Println("BROKEN:", message)
}

// start brings the fleet up and begins the load.
func (d *demo) start() error {
	if _, err := d.lab.StartPlatform(listLag, platformLimit); err != nil {
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
		if err := d.lab.AwaitReady(i); err != nil {
			return err
		}
	}
	elapsed, err := d.awaitVersion(version, d.instances)
	if err != nil {
		return err
	}
	d.say("6 proxies in 3 availability zones enforce version %d after %v", version, elapsed.Round(time.Millisecond))
	if err := d.poll("every proxy knows the fleet", func() bool { return d.lab.Joined(d.instances) }); err != nil {
		return err
	}
	d.load = startLoad(d.instances)
	time.Sleep(loadBefore)
	return nil
}

func (d *demo) poll(what string, done func() bool) error {
	deadline := time.Now().Add(convergenceLimit)
	for time.Now().Before(deadline) {
		if done() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Newf("not within %v: %s", convergenceLimit, what)
}

// awaitVersion returns the time until the instances enforce the version.
func (d *demo) awaitVersion(version uint64, instances []*lab.Instance) (time.Duration, error) {
	start := time.Now()
	err := d.poll(fmt.Sprintf("version %d in force", version), func() bool {
		for _, i := range instances {
			if s, err := d.lab.Status(i); err != nil || s.Version < version {
				return false
			}
		}
		return true
	})
	return time.Since(start), err
}

// edit changes a parameter of one organisation.
func (d *demo) edit() error {
	d.directory.Organisations["coral-hotel"] = []byte("template = \"hotel\"\n[parameters]\nrequests_per_second = 45\n")
	version, err := d.lab.Publish(d.directory)
	if err != nil {
		return err
	}
	elapsed, err := d.awaitVersion(version, d.instances)
	if err != nil {
		return err
	}
	d.say("edited coral-hotel: version %d in force everywhere after %v", version, elapsed.Round(time.Millisecond))
	return nil
}

// publishBad publishes a version in which one organisation is invalid.
func (d *demo) publishBad() error {
	good := d.directory.Organisations["mwanza-fish"]
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
			d.breach("%s did not reject mwanza-fish", i.Settings.ID)
		}
		if i == d.instances[0] && len(s.Rejected) == 1 {
			d.say("version %d: mwanza-fish refused, stays as it was: %v", version, s.Rejected[0].Problems)
		}
	}
	d.directory.Organisations["mwanza-fish"] = good
	version, err = d.lab.Publish(d.directory)
	if err != nil {
		return err
	}
	elapsed, err := d.awaitVersion(version, d.instances)
	if err != nil {
		return err
	}
	d.say("mended: version %d in force everywhere after %v", version, elapsed.Round(time.Millisecond))
	return nil
}

// drain stops one proxy gracefully under load.
func (d *demo) drain() error {
	leaving := d.instances[1]
	before := d.load.cut()
	start := time.Now()
	leaving.Proxy.Signal(syscall.SIGTERM)
	if err := leaving.Proxy.Wait(); err != nil {
		d.breach("graceful shutdown: %v", err)
	}
	if cut := d.load.cut() - before; cut != 0 {
		d.breach("graceful shutdown cut %d requests", cut)
	}
	d.say("%s left gracefully in %v, no request cut", leaving.Settings.ID, time.Since(start).Round(time.Millisecond))
	if err := d.lab.StartProxy(leaving); err != nil {
		return err
	}
	return d.lab.AwaitReady(leaving)
}

// kill ends one proxy without warning and starts it again with nothing.
func (d *demo) kill() error {
	victim := d.instances[4]
	highest, err := d.lab.Status(victim)
	if err != nil {
		return err
	}
	victim.Proxy.Signal(syscall.SIGKILL)
	_ = victim.Proxy.Wait()
	time.Sleep(loadBefore)
	start := time.Now()
	if err := d.lab.StartProxy(victim); err != nil {
		return err
	}
	if err := d.lab.AwaitReady(victim); err != nil {
		return err
	}
	s, err := d.lab.Status(victim)
	if err != nil {
		return err
	}
	if s.Version < highest.Version {
		d.breach("%s came back with version %d below %d", victim.Settings.ID, s.Version, highest.Version)
	}
	d.say("%s was killed and came back with version %d after %v", victim.Settings.ID, s.Version, time.Since(start).Round(time.Millisecond))
	return nil
}
