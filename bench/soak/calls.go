package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"heatherlift.example/heatherlift/platform/standin"
)

const (
	// callsInfix marks a request whose run calls the other service: a path ends with it
	// and the depth of the calls that follow.
	callsInfix = "calls-"
	// callsShare is the share of the callers' requests that lead to calls.
	callsShare = 0.3
	// maxCallDepth is the longest chain of calls.
	maxCallDepth = 3
)

// callingSuffix returns the end of the path of a request that leads to calls of the
// given depth, 0 for none.
func callingSuffix(depth int) string {
	if depth == 0 {
		return ""
	}
	return callsInfix + strconv.Itoa(depth)
}

// callDepth returns the depth of the calls that a run of the path makes.
func callDepth(path string) int {
	_, depth, _ := strings.Cut(path, callsInfix)
	n, err := strconv.Atoi(depth)
	if err != nil {
		return 0 // no calls
	}
	return n
}

// callForRun makes the call of a run through the proxy of this machine, and reports
// whether it was served or not needed.
func (m *machine) callForRun(run *standin.Arrival, deadline time.Time) bool {
	depth := callDepth(run.Target)
	if depth == 0 {
		return true
	}
	path := secondServicePath
	if m.service == services[1] {
		path = repeatablePath
	}
	if work := longWork(run.Target); work > 0 {
		path = fmt.Sprintf("%s%d.", map[string]string{secondServicePath: nonRepeatableLongPath, repeatablePath: longPath}[path], work.Milliseconds())
	}
	a := &attempt{
		Request: standin.Request{
			ID: fmt.Sprintf("%016x", rand.Uint64()), Method: http.MethodGet, Host: hostName,
			Path: path + formatHex(rand.Uint64()) + callingSuffix(depth-1), Deadline: time.Until(deadline).Truncate(time.Millisecond),
		},
		machine: m.index, service: m.service, run: run,
	}
	if a.Deadline <= 0 {
		return false
	}
	conn, err := standin.DialFrom(m.processIP, address(m.processIP, callersPort), time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	m.sendBatch(conn, []*attempt{a})
	return a.result == answered && a.answer.Status == http.StatusOK
}
