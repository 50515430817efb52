package host

import (
	"strings"

	"github.com/charmbracelet/log"

	"heatherlift.example/heatherlift/internal/settings"
)

// logLevelKey is the only setting that takes effect without a restart.
const logLevelKey = "log.level"

// Reload reads the settings file again. The log level takes effect immediately.
// All other settings, such as addresses, are fixed for the lifetime of the
// process; those that changed are logged as taking effect at the next start. An
// invalid file changes nothing.
func (h *Host) Reload(file string) {
	next, err := settings.Load(file)
	if err != nil {
		h.log.Error("settings not reloaded", "file", file, "error", err)
		return
	}
	var needRestart []string
	for _, key := range settings.Changed(h.settings, next) {
		if key != logLevelKey {
			needRestart = append(needRestart, key)
		}
	}
	if level, err := log.ParseLevel(next.Log.Level); err == nil {
		h.log.SetLevel(level)
	}
	h.log.Info("settings reloaded", "file", file, "at_next_start", strings.Join(needRestart, ","))
}
