package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"heatherlift.example/heatherlift/platform/standin"
)

const (
	// restoreOutage is how long the store is unavailable before it is restored.
	restoreOutage = 300 * time.Millisecond
	// rewriteTime is the time within which what was lost is written again, a report
	// interval of the backend servers.
	rewriteTime = entryTTL / 3
)

// writtenEntry is the store entry that a machine's backend server wrote last.
type writtenEntry struct {
	mu      sync.Mutex
	id      string
	entry   standin.Instance
	removed bool
}

// putEntry writes the entry of a backend server.
func (m *machine) putEntry(id string, leaving bool) {
	m.written.mu.Lock()
	defer m.written.mu.Unlock()
	entry := m.storeEntry(leaving)
	if leaving {
		entry.Born = m.written.entry.Born
	}
	m.written.id, m.written.entry, m.written.removed = id, entry, false
	m.store.PutInstance(id, entry)
}

// removeEntry removes the entry of a backend server.
func (m *machine) removeEntry(id string) {
	m.written.mu.Lock()
	defer m.written.mu.Unlock()
	m.written.removed = true
	m.store.RemoveInstance(id)
}

// rewriteEntry writes the entry again, as a backend server that reports does.
func (m *machine) rewriteEntry() {
	m.written.mu.Lock()
	defer m.written.mu.Unlock()
	if !m.written.removed {
		m.store.PutInstance(m.written.id, m.written.entry)
	}
}

// removeStaleEntries removes the entries of backend servers that a copy brought back,
// as they do not report any more.
func (c *cluster) removeStaleEntries() {
	current := make(map[string]bool)
	for _, m := range c.machines {
		m.written.mu.Lock()
		current[m.written.id] = !m.written.removed
	}
	for _, id := range c.store.InstanceIDs() {
		if !current[id] {
			c.store.RemoveInstance(id)
		}
	}
	for _, m := range c.machines {
		m.written.mu.Unlock()
	}
}

// restoreStore restores the store from a copy that is as old as the step's duration,
// and has everything written again that was lost.
func (c *cluster) restoreStore(s step) {
	older := c.store.Copy()
	time.Sleep(s.Duration)
	c.storeFaultMu.Lock()
	defer c.storeFaultMu.Unlock()
	defer c.observed.recordDisturbance(sharedComponents, s.Kind)()
	c.store.SetFault(standin.StoreUnavailable)
	time.Sleep(restoreOutage)
	c.store.Restore(older)
	c.store.SetFault(standin.StoreHealthy)
	c.forEachMachine(func(m *machine) {
		time.Sleep(rand.N(rewriteTime))
		m.rewriteEntry()
	})
	c.rewriteEvacuations()
	c.publishMu.Lock()
	c.store.Publish(c.lastVersion, c.lastRoutes, c.serviceEntries())
	c.publishMu.Unlock()
	time.Sleep(entryTTL - rewriteTime)
	c.removeStaleEntries()
}
