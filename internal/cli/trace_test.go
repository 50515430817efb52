package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestTraceMergesLogsOfSeveralProxies(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	ingressLog := write("entry.log", `{"time":"2026-01-01T04:00:00.002Z","level":"info","msg":"refused","request":"r1","reason":"overload"}
not JSON { r1
{"time":"2026-01-01T04:00:00.003Z","level":"info","msg":"refused","request":"r2","detail":"r1"}
`)
	sidecarLog := write("beside.log", `  1.5 sidecar-1 {"time":"2026-01-01T04:00:00.001Z","level":"info","msg":"not served here","request":"r1","load":1.5}
`)
	var out, errs bytes.Buffer
	is.Equal(Main([]string{"trace", "r1", ingressLog, sidecarLog}, &out, &errs), 0)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.Equal(lines[0], "04:00:00.001000 1.5 sidecar-1 not served here load=1.5")
	is.True(strings.HasSuffix(lines[1], "refused reason=overload"))

	is.Equal(Main([]string{"trace", "r9", ingressLog}, &out, &errs), 1)
	is.Equal(Main([]string{"trace", "r1"}, &out, &errs), 2)
}
