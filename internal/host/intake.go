package host

import (
	"math"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/settings"
)

const (
	// smallestDescriptors is assumed if the limit of the process cannot be read.
	smallestDescriptors = 1024
	// blockedCheckInterval is the interval of the search for clients that do not read.
	blockedCheckInterval = time.Second
	// noRoomRetryAfter is the least time after which callers that are refused for lack of
	// room may return: slow connections are closed meanwhile.
	noRoomRetryAfter = 250 * time.Millisecond
	// memoryPercent is the part of the machine's memory that clients may hold unless a
	// setting says otherwise, connectionShare the part of that which one connection may
	// hold while further requests are read from it.
	memoryPercent, connectionShare = 30, 32
	// responseMemory over responseMemoryOf is the part of the machine's memory that large
	// responses may hold: 32 MiB of 184 MiB. It is counted in what clients hold.
	responseMemory, responseMemoryOf = 4, 23
)

// descriptorPlan divides the descriptors of a process.
type descriptorPlan struct {
	// total is the limit of the process.
	total int
	// callers, admin, metrics and proxies are the open connections of each listener, and
	// outgoing those to other proxies that carry requests. The rest is kept for the
	// backend server, the store, the messages of other proxies and files.
	callers, admin, metrics, proxies, outgoing int
}

// planDescriptors divides total descriptors. A twentieth is kept for files and a quarter for
// the store and the messages of other proxies.
func planDescriptors(total, backendConnections, callers int) descriptorPlan {
	sockets := total - total/20
	operators := min(max(sockets/32, 8), 128)
	rest := max(sockets-sockets/4-min(backendConnections, sockets/8)-operators, 3)
	p := descriptorPlan{
		total: total, admin: operators - operators/2, metrics: operators / 2,
		callers: rest * 40 / 100, proxies: rest * 34 / 100, outgoing: rest * 26 / 100,
	}
	if callers > 0 {
		p.callers = min(callers, total/2)
	}
	return p
}

// processDescriptors returns the number of descriptors that the process may open.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return smallestDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// intakeLimits derives the bounds of clients from the settings.
func intakeLimits(s settings.Settings, plan descriptorPlan) intake.Limits {
	memory := int64(s.Machine.MemoryMB) << 20 * memoryPercent / 100
	if s.Clients.MemoryMB > 0 {
		memory = int64(s.Clients.MemoryMB) << 20
	}
	l := intake.Limits{
		Memory:           memory,
		ClientMemory:     int64(float64(memory) * s.Clients.Share),
		ConnectionMemory: memory / connectionShare,
		ClientShare:      s.Clients.Share,
		SlowAfter:        time.Duration(s.Clients.SlowAfter),
		ClientRequests:   s.Clients.Requests,
	}
	if l.ClientRequests == 0 {
		queue := min(s.BackendServer.Slots, s.BackendServer.Connections) + s.BackendServer.QueueLength
		l.ClientRequests = max(1, int(float64(queue)*s.Clients.Share))
	}
	l.Connections[intake.Callers] = plan.callers
	l.Connections[intake.Admin] = plan.admin
	l.Connections[intake.Metrics] = plan.metrics
	l.Connections[intake.Proxies] = plan.proxies
	return l
}

// receiveBuffer returns the bound of what the kernel holds of a client's connection, in bytes,
// 0 if there is none.
func (h *Host) receiveBuffer() int { return h.settings.Clients.ReceiveBufferKB << 10 }

// responseMemoryBound returns the most that large responses may hold, in bytes.
func responseMemoryBound(m settings.Machine) int64 {
	return int64(m.MemoryMB) << 20 * responseMemory / responseMemoryOf
}

// isOverload reports whether a refusal means that backend servers have no room.
func isOverload(r outcome.Reason) bool {
	return r == outcome.Overload || r == outcome.InstanceBusy || r == outcome.BackendServerShed
}

// limitClients sets the bounds of what clients hold, at the doors and at the pool of
// connections to other proxies.
func (h *Host) limitClients() {
	total := h.settings.Machine.Descriptors
	if total == 0 {
		total = processDescriptors()
	}
	plan := planDescriptors(total, h.settings.BackendServer.Connections, h.settings.Clients.Connections)
	h.peerPool.LimitTotal(plan.outgoing)
	limits := intakeLimits(h.settings, plan)
	h.intake = intake.New(limits)
	h.intake.OnEvent = h.clientTurnedAway
	h.log.Info("limits of clients", "memory_bytes", limits.Memory, "client_memory_bytes", limits.ClientMemory,
		"descriptors", plan.total, "callers", plan.callers, "admin", plan.admin, "metrics", plan.metrics,
		"proxies_in", plan.proxies, "proxies_out", plan.outgoing)
}

// clientTurnedAway counts and logs a client that was turned away.
func (h *Host) clientTurnedAway(e intake.Event) {
	h.metrics.clientsTurnedAway.WithLabelValues(e.Door.String(), string(e.Cause)).Inc()
	h.LogDecision(true, "client turned away", func() []any {
		return []any{"cause", e.Cause, "door", e.Door, "client", e.Client, "held_bytes", e.Held}
	})
}

// logIntakePeaks logs the highest values of what clients held.
func (h *Host) logIntakePeaks() {
	u := h.intake.Usage()
	h.log.Info("most that clients held", "memory_bytes", u.PeakMemory, "callers", u.PeakConnections[intake.Callers],
		"admin", u.PeakConnections[intake.Admin], "metrics", u.PeakConnections[intake.Metrics], "proxies_in", u.PeakConnections[intake.Proxies],
		"proxies_out", h.peerPool.PeakConnections())
}

// noRoomRetryAfter returns the time after which a caller that is refused for lack of room may
// return, so that those refused together do not return together.
func (h *Host) noRoomRetryAfter() time.Duration {
	return noRoomRetryAfter + rand.N(noRoomRetryAfter)
}

// closeBlocked closes the connections of clients that do not read, until the host stops.
func (h *Host) closeBlocked() {
	for h.sleep(blockedCheckInterval) {
		h.intake.CloseBlocked(time.Now(), time.Duration(h.settings.Clients.ReadTimeout))
	}
}

// newTurnedAwayCounter returns the counter of clients that were turned away.
func newTurnedAwayCounter() *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heatherlift_clients_turned_away_total", Help: "Connections and requests of clients that were refused or closed for lack of memory or descriptors, by door and cause.",
	}, []string{"door", "cause"})
	for _, door := range intake.Doors {
		for _, cause := range intake.Causes {
			c.WithLabelValues(door.String(), string(cause))
		}
	}
	return c
}

// intakeMetrics collects what clients hold.
type intakeMetrics struct {
	host                       *Host
	memory, limit, connections *prometheus.Desc
}

func newIntakeMetrics(h *Host) *intakeMetrics {
	return &intakeMetrics{
		host:        h,
		memory:      prometheus.NewDesc("heatherlift_clients_held_bytes", "Memory that clients make the process hold.", nil, nil),
		limit:       prometheus.NewDesc("heatherlift_clients_held_bytes_limit", "Memory that clients may make the process hold.", nil, nil),
		connections: prometheus.NewDesc("heatherlift_clients_connections", "Open connections of clients, by door.", []string{"door"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (m *intakeMetrics) Describe(ch chan<- *prometheus.Desc) {
	ch <- m.memory
	ch <- m.limit
	ch <- m.connections
}

// Collect implements prometheus.Collector.
func (m *intakeMetrics) Collect(ch chan<- prometheus.Metric) {
	u := m.host.intake.Usage()
	ch <- prometheus.MustNewConstMetric(m.memory, prometheus.GaugeValue, float64(u.Memory))
	ch <- prometheus.MustNewConstMetric(m.limit, prometheus.GaugeValue, float64(m.host.intake.Limits().Memory))
	for _, door := range intake.Doors {
		ch <- prometheus.MustNewConstMetric(m.connections, prometheus.GaugeValue, float64(u.Connections[door]), door.String())
	}
}
