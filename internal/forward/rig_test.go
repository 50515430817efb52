package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

const testTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeCore sends each request to the targets in order, and on again only after
// proof that it did not run or if it is repeatable. It admits everything
// through a real state machine of package admission.
type fakeCore struct {
	targets    []string
	repeatable bool
	retry      bool
	budget     time.Duration
	instance   string

	mu        sync.Mutex
	ids       atomic.Uint64
	routes    map[uint64]chan routing.Effect
	admits    map[uint64]chan admission.Effect
	attempts  map[uint64]int
	deadlines map[uint64]time.Time
	admission *admission.Admission
	arrived   []routing.Arrived
	attempted []routing.AttemptEnded
	abandoned int
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
		f.next(e.ID, notRun(outcome.NoBackendServer, http.StatusServiceUnavailable))
	case routing.AttemptEnded:
		f.attempted = append(f.attempted, e)
		last := outcome.Refusal{Outcome: e.Outcome, Reason: e.Reason, Status: http.StatusBadGateway}
		if e.Outcome == outcome.NotRun || (e.Outcome == outcome.Unknown && f.repeatable) {
			f.next(e.ID, last)
		} else if e.Outcome != outcome.Answered {
			f.routes[e.ID] <- routing.Refuse{ID: e.ID, Refusal: last}
		}
	case routing.Abandoned:
		f.abandoned++
	}
}

func (f *fakeCore) next(id uint64, last outcome.Refusal) {
	n := f.attempts[id]
	if n >= len(f.targets) {
		f.routes[id] <- routing.Refuse{ID: id, Refusal: last}
		return
	}
	f.attempts[id]++
	f.routes[id] <- routing.Send{ID: id, Address: f.targets[n], Instance: f.instance, Version: 7, Repeatable: f.repeatable, Deadline: f.deadlines[id], Retry: f.retry}
}

func (f *fakeCore) Admit(e admission.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, effect := range f.admission.Step(time.Now(), e) {
		switch effect := effect.(type) {
		case admission.Run:
			f.admits[effect.ID] <- effect
		case admission.Refuse:
			f.admits[effect.ID] <- effect
		}
	}
}

// Load implements Loader.
func (f *fakeCore) Load() float64 { return 0.25 }

// awaitSlots waits until no request holds a slot.
func (f *fakeCore) awaitSlots(t *testing.T) {
	t.Helper()
	await(t, "slots free", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		running, waiting := f.admission.InFlight()
		return running+waiting == 0
	})
}

// await polls a condition; the test fails if it does not come true.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// serveHTTP starts a server and returns its address.
func serveHTTP(t *testing.T, handler http.Handler) string {
	t.Helper()
	s := httptest.NewUnstartedServer(handler)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// serveCallers starts a server and returns its address.
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

// rig is an entry proxy and a proxy beside a backend server.
type rig struct {
	core  *fakeCore
	entry *Entry
	// server serves the callers.
	server *CallerServer
	// callers, forward and backend are the addresses of the three hops.
	callers, forward, backend string
	ledger                    *ledger
	// dialect is heatherlift's own unless it is set.
	dialect Dialect
	// served counts the requests that the entry has dealt with.
	served atomic.Int32
}

// newRig starts both proxies in front of a handler that serves as backend.
func newRig(t *testing.T, backend http.HandlerFunc) *rig {
	t.Helper()
	g := &rig{ledger: &ledger{}}
	g.start(t, serveHTTP(t, g.ledger.count(backend)))
	return g
}

func (g *rig) start(t *testing.T, backend string) {
	t.Helper()
	g.backend = backend
	g.core = newFakeCore()
	pool := NewPool(DialTCP, 0)
	t.Cleanup(pool.Close)
	local := NewLocal(g.core, pool, backend, true, g.dialect)
	g.forward = serveHTTP(t, local)
	g.core.targets = []string{g.forward}
	g.entry = NewEntry(g.core, pool, "entry", local, "", "desk")
	g.server = NewCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer g.served.Add(1)
		g.entry.ServeHTTP(w, r)
	}), testTimeout, testTimeout)
	g.callers = serveCallers(t, g.server)
}

// ledger counts the runs of each path at the backend server.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) count(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l.add(r.URL.Path)
		next(w, r)
	}
}

func (l *ledger) add(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[path]++
}

func (l *ledger) of(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[path]
}

func ok(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "ok")
}

// rawConn is a caller's connection without a library.
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

// exchange sends a request and returns the answer with its body; the error
// tells that the answer broke off.
func (c *rawCaller) exchange(t *testing.T, text string) (*http.Response, string, error) {
	t.Helper()
	c.send(t, text)
	return c.read(text)
}

func (c *rawCaller) read(text string) (*http.Response, string, error) {
	method, _, _ := strings.Cut(text, " ")
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// rawServer answers each connection by a function, which may break it.
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

// answering returns a raw server that reads a request, writes a text and closes
// the connection.
func answering(t *testing.T, text string) string {
	return rawServer(t, func(c net.Conn, r *bufio.Reader) { answerOne(c, r, text) })
}

// answeringAll is answering with connections that stay open.
func answeringAll(t *testing.T, text string) string {
	return rawServer(t, func(c net.Conn, r *bufio.Reader) {
		for answerOne(c, r, text) {
		}
	})
}

func answerOne(c net.Conn, r *bufio.Reader, text string) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, err = io.WriteString(c, text)
	return err == nil
}
