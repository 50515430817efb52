package host

import (
	"encoding/json"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
)

const healthTimeout = time.Second

// checkHealth asks the backend server whether it takes work, and how much.
func (h *Host) checkHealth() {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	backend := h.settings.BackendServer
	base := "http://" + backend.Address
	for h.sleep(time.Duration(backend.HealthInterval)) {
		h.step(admission.Checked{Health: h.readHealth(client, base+backend.HealthPath)})
		if backend.LoadPath == "" {
			continue
		}
		if load, ok := h.readLoad(client, base+backend.LoadPath); ok {
			h.step(load)
		}
	}
}

func (h *Host) readHealth(client *http.Client, url string) admission.Health {
	resp, err := h.get(client, url)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return admission.Unreachable
	case err != nil:
		return admission.Silent
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return admission.Unhealthy
	}
	return admission.Healthy
}

// readLoad returns the backend server's report of its load, if it makes one.
func (h *Host) readLoad(client *http.Client, url string) (admission.Loaded, bool) {
	resp, err := h.get(client, url)
	if err != nil {
		return admission.Loaded{}, false
	}
	defer resp.Body.Close()
	var report struct {
		Slots    int  `json:"slots"`
		Draining bool `json:"draining"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&report) != nil {
		return admission.Loaded{}, false
	}
	return admission.Loaded{Slots: report.Slots, Draining: report.Draining}, true
}

// get reads a URL until the host stops.
func (h *Host) get(client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(h.ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}
