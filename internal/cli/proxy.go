package cli

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"heatherlift.example/heatherlift/internal/admin"
	"heatherlift.example/heatherlift/internal/host"
	"heatherlift.example/heatherlift/internal/logqueue"
	"heatherlift.example/heatherlift/internal/settings"
	"heatherlift.example/heatherlift/platform"
)

// settingsVariable is the environment variable that holds the default of the
// -settings flag.
const settingsVariable = "HEATHERLIFT_SETTINGS"

// logFlushTimeout bounds the time in which queued log lines are written at the end.
const logFlushTimeout = 200 * time.Millisecond

// adapterFor returns the adapter for the configured kind of platform, or nil if
// the platform implements heatherlift's own interfaces.
func adapterFor(s settings.Settings) (*host.PlatformAdapter, error) {
	if s.Platform.Kind != settings.PlatformStore {
		return nil, nil
	}
	return platform.NewAdapter(s)
}

// proxyCommand runs a proxy.
type proxyCommand struct {
	output
	settings string
	check    bool
	record   string
}

func (*proxyCommand) Name() string     { return "proxy" }
func (*proxyCommand) Synopsis() string { return "run a proxy" }
func (*proxyCommand) Usage() string {
	return "proxy -settings FILE [-check] [-record FILE]\n  Run a proxy until SIGTERM, then shut down gracefully.\n"
}

func (c *proxyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(settingsVariable), "settings `FILE` in TOML; by default the value of "+settingsVariable)
	f.BoolVar(&c.check, "check", false, "validate the settings and exit")
	f.StringVar(&c.record, "record", "", "record the events of the proxy in `FILE`, for the replay command")
}

func (c *proxyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() != 0 {
		return c.usageError(c.Usage())
	}
	s, err := settings.Load(c.settings)
	if err != nil {
		return c.fail(err)
	}
	if c.check {
		fmt.Fprintln(c.stdout, "settings are valid")
		return subcommands.ExitSuccess
	}
	recorder, flush, err := c.openRecorder()
	if err != nil {
		return c.fail(err)
	}
	defer flush()
	configureGC(s.Machine)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	adapter, err := adapterFor(s)
	if err != nil {
		return c.fail(err)
	}
	// A log whose reader is gone must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	queue := logqueue.New(c.stdout)
	defer queue.Close(logFlushTimeout)
	h, err := host.New(s, newLogger(queue, s.Log), recorder, adapter)
	if err != nil {
		return c.fail(err)
	}
	h.UseLogQueue(queue)
	defer reloadOnHangup(h, c.settings)()
	if err := h.Run(ctx, admin.Handler(h)); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// reloadOnHangup reloads the settings on every SIGHUP until stop is called.
func reloadOnHangup(h *host.Host, file string) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangups:
				h.Reload(file)
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(done)
	}
}

// openRecorder creates the file that -record names and a recorder that writes to
// it; the recorder is nil if the flag is not set. flush writes out buffered events
// and closes the file.
func (c *proxyCommand) openRecorder() (r *host.Recorder, flush func(), err error) {
	if c.record == "" {
		return nil, func() {}, nil
	}
	file, err := os.Create(c.record)
	if err != nil {
		return nil, nil, err
	}
	buffered := bufio.NewWriter(file)
	flush = func() {
		_ = buffered.Flush()
		_ = file.Close()
	}
	return host.NewRecorder(buffered), flush, nil
}

func newLogger(w io.Writer, s settings.Log) *log.Logger {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		level = log.InfoLevel
	}
	formatter := log.LogfmtFormatter
	if s.Format == "json" {
		formatter = log.JSONFormatter
	}
	return log.NewWithOptions(w, log.Options{
		Level:           level,
		Formatter:       formatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
}
