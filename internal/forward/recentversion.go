package forward

import (
	"net/http"
	"strconv"

	"heatherlift.example/heatherlift/internal/routing"
)

// VersionReporter is implemented by a Core that tells other proxies of new versions.
type VersionReporter interface {
	// RecentVersion returns the version in force if it is new, 0 otherwise.
	RecentVersion() uint64
	// HearVersion is called with a version that another proxy enforces and that is newer
	// than the one by which a request to it was routed.
	HearVersion(version uint64, instance string)
}

// recentVersionField returns the header that names a new version in the response to another
// proxy.
func (l *LocalForwarder) recentVersionField() field {
	reporter, ok := l.core.(VersionReporter)
	if !ok {
		return field{}
	}
	version := reporter.RecentVersion()
	if version == 0 {
		return field{}
	}
	return field{VersionHeader, strconv.FormatUint(version, 10)}
}

// hearVersion reports the version that the response of another proxy names if it is newer.
func (c *callerRequest) hearVersion(d routing.Send, h http.Header) {
	text := h.Get(VersionHeader)
	if text == "" {
		return
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if reporter, ok := c.core.(VersionReporter); ok && err == nil && version > d.Version {
		reporter.HearVersion(version, d.Instance)
	}
}
