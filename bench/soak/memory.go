package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimit is the memory that the users' deployments give a proxy.
	memoryLimit = 184 << 20
	// memoryInterval is the interval at which the memory of the proxies is read.
	memoryInterval = 200 * time.Millisecond
)

// observeMemory reads the memory of all proxies until the callers end.
func (c *cluster) observeMemory() {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for c.ctx.Err() == nil {
		for _, m := range c.machines {
			if n, ok := residentBytes(m.process.Load().Pid()); ok {
				c.observed.recordMemory(m.name, n)
			}
		}
		<-ticker.C
	}
}

// residentBytes returns the resident memory of a process, or false if it has ended.
func residentBytes(pid int) (int64, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, false
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err == nil
}

func (o *observations) recordMemory(proxy string, n int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.memory == nil {
		o.memory = make(map[string]int64)
	}
	o.memory[proxy] = max(o.memory[proxy], n)
}

// largestProxy returns the proxy that used most memory, and how much.
func (o *observations) largestProxy() (proxy string, n int64) {
	for name, bytes := range o.memory {
		if bytes > n || bytes == n && name < proxy {
			proxy, n = name, bytes
		}
	}
	return proxy, n
}

// checkMemory checks that no proxy uses more memory than it has.
func (c *checker) checkMemory() {
	if proxy, n := c.largestProxy(); n > memoryLimit {
		c.addViolation("memory", "%s used %d MB, %d allowed", proxy, n>>20, memoryLimit>>20)
	}
}
