package host

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/settings"
)

const reloadText = `id = "desk-1"
availability_zone = "tanga"
service = "desk"
[listen]
callers = "127.0.0.1:1"
forward = "127.0.0.1:2"
peers = "127.0.0.1:3"
admin = "127.0.0.1:4"
[backend_server]
address = "127.0.0.1:5"
[platform]
source = "http://127.0.0.1:6"
instances = "http://127.0.0.1:6"
[peers]
plaintext = true
`

func TestReloadAppliesLogLevelAndReportsRestartKeys(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "proxy.toml")
	write := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write(reloadText)
	s, err := settings.Load(file)
	is.NoErr(err)
	var out bytes.Buffer
	h, err := New(s, log.New(&out), nil, nil)
	is.NoErr(err)

	write(strings.Replace(reloadText, ":5", ":7", 1) + "[log]\nlevel = \"debug\"\n")
	h.Reload(file)
	is.Equal(h.log.GetLevel(), log.DebugLevel)
	is.True(strings.Contains(out.String(), "at_next_start=backend_server.address"))

	write("id = 5\n")
	h.Reload(file)
	is.True(strings.Contains(out.String(), "settings not reloaded"))
	is.Equal(h.log.GetLevel(), log.DebugLevel)
}
