package host

import (
	"strings"

	"github.com/charmbracelet/log"

	"heatherlift.example/heatherlift/internal/settings"
)

// logLevelKey is the key that takes effect while a proxy runs.
const logLevelKey = "log.level"

// Reload reads the settings file again. The level of the log takes effect at
// once; all else, such as addresses, is bound to the process and takes effect
// at its next start. A file that is not valid changes nothing.
func (h *Host) Reload(file string) {
	next, err := settings.Load(file)
	if err != nil {
		h.log.Error("settings not reloaded", "file", file, "error", err)
		return
	}
	var later []string
	for _, key := range settings.Changed(h.settings, next) {
		if key != logLevelKey {
			later = append(later, key)
		}
	}
	if level, err := log.ParseLevel(next.Log.Level); err == nil {
		h.log.SetLevel(level)
	}
	h.log.Info("settings reloaded", "file", file, "at_next_start", strings.Join(later, ","))
}
