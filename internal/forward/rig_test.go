package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

const (
	testTimeout = 10 * time.Second
	// noRoomRetryAfter is the time after which callers that found no room may return.
	noRoomRetryAfter = time.Second
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeCore sends each request to the targets in order. It tries the next target
// only if the request was proven not to have run or is repeatable. Admission is
// decided by a real state machine of package admission.
type fakeCore struct {
	targets    []string
	repeatable bool
	retry      bool
	upload     bool
	budget     time.Duration
	instance   string

	mu            sync.Mutex
	ids           atomic.Uint64
	routes        map[uint64]chan routing.Effect
	admits        map[uint64]chan admission.Effect
	attempts      map[uint64]int
	deadlines     map[uint64]time.Time
	admission     *admission.Admission
	arrived       []routing.Arrived
	endedAttempts []routing.AttemptEnded
	reported      []routing.Reported
	// noTimeLeft means that a stop leaves no time for a request.
	noTimeLeft           bool
	bodiesSent, withheld int
	abandoned            int
	endedRuns            []admission.Ended
	// unroutable makes all requests have no route.
	unroutable bool
	// recentVersion is named to other proxies, and heard holds what they named.
	recentVersion uint64
	heard         []uint64
	// logged holds the fields of the notable decisions.
	logged []map[string]string
}

func newFakeCore(targets ...string) *fakeCore {
	return &fakeCore{
		targets:   targets,
		budget:    testTimeout,
		routes:    make(map[uint64]chan routing.Effect),
		admits:    make(map[uint64]chan admission.Effect),
		attempts:  make(map[uint64]int),
		deadlines: make(map[uint64]time.Time),
		admission: admission.New(admission.Config{Slots: 2, QueueLength: 10}),
	}
}

func (f *fakeCore) NextID() uint64 { return f.ids.Add(1) }

func (f *fakeCore) RouteDecisions(id uint64) (<-chan routing.Effect, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routes[id] = make(chan routing.Effect, 4)
	return f.routes[id], func() {}
}

func (f *fakeCore) AdmitDecisions(id uint64) (<-chan admission.Effect, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admits[id] = make(chan admission.Effect, 4)
	return f.admits[id], func() {}
}

func (f *fakeCore) Route(e routing.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch e := e.(type) {
	case routing.Arrived:
		f.arrived = append(f.arrived, e)
		if e.Budget == 0 {
			e.Budget = f.budget
		}
		f.deadlines[e.ID] = time.Now().Add(e.Budget)
		f.sendNext(e.ID, notRun(outcome.NoBackendServer, http.StatusServiceUnavailable))
	case routing.AttemptEnded:
		f.endedAttempts = append(f.endedAttempts, e)
		last := outcome.Refusal{Outcome: e.Outcome, Reason: e.Reason, Status: http.StatusBadGateway}
		if e.Outcome == outcome.NotRun || (e.Outcome == outcome.Unknown && f.repeatable) {
			f.sendNext(e.ID, last)
		} else if e.Outcome != outcome.Answered {
			f.routes[e.ID] <- routing.Refuse{ID: e.ID, Refusal: last}
		}
	case routing.Reported:
		f.reported = append(f.reported, e)
	case routing.BodySent:
		f.bodiesSent++
	case routing.Withheld:
		f.withheld++
		f.routes[e.ID] <- routing.Refuse{ID: e.ID, Refusal: notRun(outcome.InstanceLeaving, http.StatusServiceUnavailable)}
	case routing.Abandoned:
		f.abandoned++
	}
}

// StopLeavesTime implements StopChecker.
func (f *fakeCore) StopLeavesTime(string, time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.noTimeLeft
}

// endTime makes StopLeavesTime report false from now on.
func (f *fakeCore) endTime() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noTimeLeft = true
}

// Unroutable implements RouteChecker.
func (f *fakeCore) Unroutable(string, string, string) (outcome.Refusal, bool) {
	return notRun(outcome.NoRoute, http.StatusNotFound), f.unroutable
}

func (f *fakeCore) sendNext(id uint64, last outcome.Refusal) {
	n := f.attempts[id]
	if n >= len(f.targets) {
		f.routes[id] <- routing.Refuse{ID: id, Refusal: last}
		return
	}
	f.attempts[id]++
	f.routes[id] <- routing.Send{ID: id, Address: f.targets[n], Instance: f.instance, Version: 7, Repeatable: f.repeatable, Deadline: f.deadlines[id], Retry: f.retry, Upload: f.upload}
}

func (f *fakeCore) Admit(e admission.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ended, ok := e.(admission.Ended); ok {
		f.endedRuns = append(f.endedRuns, ended)
	}
	for _, effect := range f.admission.Step(time.Now(), e) {
		switch effect := effect.(type) {
		case admission.Run:
			f.admits[effect.ID] <- effect
		case admission.Refuse:
			f.admits[effect.ID] <- effect
		}
	}
}

// LogDecision implements DecisionLogger.
func (f *fakeCore) LogDecision(notable bool, event string, fields func() []any) {
	if !notable {
		return
	}
	line := map[string]string{"event": event}
	for pair := range slices.Chunk(fields(), 2) {
		line[fmt.Sprint(pair[0])] = fmt.Sprint(pair[1])
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logged = append(f.logged, line)
}

// loggedDetail returns what the log names as the cause of a failed request, empty if it
// names none. The lock must be held.
func (f *fakeCore) loggedDetail(request string) string {
	for _, line := range f.logged {
		if line["request"] == request && line["detail"] != "" {
			return line["detail"]
		}
	}
	return ""
}

// BackendLoad implements LoadReporter.
func (f *fakeCore) BackendLoad() float64 { return 0.25 }

// RecentVersion implements VersionReporter.
func (f *fakeCore) RecentVersion() uint64 { return f.recentVersion }

// HearVersion implements VersionReporter.
func (f *fakeCore) HearVersion(version uint64, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = append(f.heard, version)
}

// waitForFreeSlots waits until no request holds or waits for a slot.
func (f *fakeCore) waitForFreeSlots(t *testing.T) {
	t.Helper()
	waitFor(t, "slots free", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		running, waiting := f.admission.InFlight()
		return running+waiting == 0
	})
}

// waitForRun waits until the backend server has been sent a request.
func (f *fakeCore) waitForRun(t *testing.T) {
	t.Helper()
	waitFor(t, "request runs", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.admission.State(time.Now()).Counters.Run > 0
	})
}

func admissionWithSlots(n int) *admission.Admission {
	return admission.New(admission.Config{Slots: n, QueueLength: n})
}

// waitFor polls until done returns true and fails the test after testTimeout.
func waitFor(t *testing.T, condition string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", testTimeout, condition)
		}
		time.Sleep(time.Millisecond)
	}
}

// serveHTTP starts a server and returns its address.
func serveHTTP(t *testing.T, handler http.Handler) string {
	t.Helper()
	s := httptest.NewUnstartedServer(handler)
	s.Listener = &intake.Listener{Listener: s.Listener, Door: intake.Proxies}
	intake.Watch(s.Config)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// serveCallers starts a server for callers and returns its address.
func serveCallers(t testing.TB, s *CallerServer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
		s.Close()
	})
	return l.Addr().String()
}

// rig is a test set-up of an entry proxy and the sidecar proxy of a backend
// server.
type rig struct {
	core    *fakeCore
	ingress *Ingress
	server  *CallerServer
	// callersAddr is the address of the entry proxy, peerAddr that of the
	// sidecar proxy and backendAddr that of the backend server.
	callersAddr, peerAddr, backendAddr string
	// runs counts the requests that reached the backend server.
	runs *runCounter
	// dialect is the native dialect unless it is set.
	dialect Dialect
	// served counts the requests that the entry proxy has completed, whether or
	// not they reached the backend server.
	served atomic.Int32
	// limits holds the limits of callers in force, nil for the defaults, and
	// onReject receives the requests that the server rejects itself. Both are set
	// before the start.
	limits *config.CallerLimits
	// limitsInForce, if set, replaces limits.
	limitsInForce func() *config.CallerLimits
	// linkMbps is the bandwidth of the sidecar proxy's link, 0 if unknown.
	linkMbps float64
	local    *LocalForwarder
	// held and paced are the bytes of responses in memory and those sent in pieces.
	held, paced atomic.Int64
	onReject    func(caller string, status int)
	// account, if set, bounds what callers hold. It is set before the start.
	account *intake.Account
}

// newRig starts both proxies in front of a backend server with the handler.
func newRig(t *testing.T, backend http.HandlerFunc) *rig {
	t.Helper()
	g := &rig{runs: &runCounter{}}
	g.start(t, serveHTTP(t, g.runs.countRequests(backend)))
	return g
}

func (g *rig) start(t *testing.T, backendAddr string) {
	t.Helper()
	g.backendAddr = backendAddr
	g.core = newFakeCore()
	pool := NewPool(DialTCP, 0)
	t.Cleanup(pool.Close)
	local := NewLocalForwarder(g.core, pool, backendAddr, true, g.dialect)
	local.LimitUploads(g.linkMbps, func(bool) {})
	local.PaceResponses(g.linkMbps, ResponseObserver{
		Held:    func(delta int64) { g.held.Add(delta) },
		Paced:   func(bytes int) { g.paced.Add(int64(bytes)) },
		Decided: func(bool) {},
	})
	g.local = local
	g.peerAddr = serveHTTP(t, local)
	g.core.targets = []string{g.peerAddr}
	g.ingress = NewIngress(g.core, pool, "entry", local, "", "desk")
	g.server = NewCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer g.served.Add(1)
		g.ingress.ServeHTTP(w, r)
	}), testTimeout, testTimeout)
	g.server.LimitsInForce = func() *config.CallerLimits { return g.limits }
	if g.limitsInForce != nil {
		g.server.LimitsInForce = g.limitsInForce
	}
	g.server.OnReject = g.onReject
	g.server.Intake = g.account
	g.ingress.NoRoomRetryAfter = func() time.Duration { return noRoomRetryAfter }
	g.server.RetryAfter = g.ingress.RetryAfter
	g.callersAddr = serveCallers(t, g.server)
}

// runCounter counts the runs per path at the backend server.
type runCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *runCounter) countRequests(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.add(r.URL.Path)
		next(w, r)
	}
}

func (c *runCounter) add(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[path]++
}

func (c *runCounter) count(path string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[path]
}

// respondOK is a handler that reads the request body and responds with "ok".
func respondOK(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "ok")
}

// rawCaller is a caller's connection with direct access to the bytes sent and
// received.
type rawCaller struct {
	net.Conn
	reader *bufio.Reader
}

func dialRaw(t *testing.T, address string) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &rawCaller{Conn: c, reader: bufio.NewReader(c)}
}

func (c *rawCaller) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// exchange sends a request and returns the response with its body. It returns an
// error if the response is missing or truncated.
func (c *rawCaller) exchange(t *testing.T, text string) (*http.Response, string, error) {
	t.Helper()
	c.send(t, text)
	return c.read(text)
}

// read returns the next response with its body, or an error as exchange does. Of
// the request, only the method, which is its first word, is used.
func (c *rawCaller) read(request string) (*http.Response, string, error) {
	method, _, _ := strings.Cut(request, " ")
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// rawServer starts a server that passes each connection to a function, which
// may break it.
func rawServer(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(testTimeout))
				serve(c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return l.Addr().String()
}

// rawResponder starts a raw server that reads one request, writes a fixed text
// and closes the connection.
func rawResponder(t *testing.T, text string) string {
	return rawServer(t, func(c net.Conn, r *bufio.Reader) { respondOnce(c, r, text) })
}

// keepAliveResponder is like rawResponder, but keeps its connections open.
func keepAliveResponder(t *testing.T, text string) string {
	return rawServer(t, func(c net.Conn, r *bufio.Reader) {
		for respondOnce(c, r, text) {
		}
	})
}

func respondOnce(c net.Conn, r *bufio.Reader, text string) bool {
	if !readWholeRequest(r) {
		return false
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// readWholeRequest reads a request and its body, which may break off.
func readWholeRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return true
}
