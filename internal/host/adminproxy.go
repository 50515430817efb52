package host

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/routing"
)

// Head implements admin.Proxy.
func (h *Host) Head() (head node.Head) {
	h.view(func(n *node.Node) { head = n.Head() })
	return head
}

// Status implements admin.Proxy.
func (h *Host) Status() (s node.Status) {
	h.view(func(n *node.Node) { s = n.Status() })
	return s
}

// Readiness implements admin.Proxy.
func (h *Host) Readiness() (r node.Readiness) {
	h.view(func(n *node.Node) { r = n.Readiness() })
	return r
}

// Dump implements admin.Proxy.
func (h *Host) Dump() (d node.Dump) {
	h.view(func(n *node.Node) { d = n.Dump() })
	return d
}

// Explain implements admin.Proxy.
func (h *Host) Explain(org, method, path string) (e routing.Explanation) {
	h.view(func(n *node.Node) { e = n.Explain(time.Now(), org, method, path) })
	return e
}

// Gatherer implements admin.Proxy.
func (h *Host) Gatherer() prometheus.Gatherer {
	return h.metrics.registry
}
