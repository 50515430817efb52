package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const exampleDir = "../../examples/pwani-barafu"

// runCLI runs Main with args and returns the exit code and the output.
func runCLI(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

// copyExample copies the example configuration to a temporary directory that
// the test can modify.
func copyExample(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(exampleDir)); err != nil {
		t.Fatal(err)
	}
	return dir
}

func replaceInFile(t *testing.T, file, before, after string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, bytes.Replace(text, []byte(before), []byte(after), 1), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
	}{
		{"version", []string{"version"}, 0},
		{"valid directory", []string{"check", exampleDir}, 0},
		{"other valid directory", []string{"check", "../../examples/tsagaan-gerel"}, 0},
		{"missing directory", []string{"check", "nowhere"}, 1},
		{"check without directory", []string{"check"}, 2},
		{"unknown command", []string{"frobnicate"}, 2},
		{"unknown flag", []string{"status", "-nope"}, 2},
		{"status without address", []string{"status"}, 2},
		{"status of unreachable proxy", []string{"status", "-address", "127.0.0.1:1"}, 1},
		{"proxy without settings", []string{"proxy"}, 2},
		{"proxy with missing settings", []string{"proxy", "-settings", "nowhere.toml"}, 1},
		{"unknown organisation", []string{"render", exampleDir, "-organisation", "nobody"}, 1},
		{"replay without file", []string{"replay"}, 2},
		{"replay of invalid recording", []string{"replay", "cli.go"}, 1},
		{"explain without path", []string{"explain", "-address", "127.0.0.1:1", "-organisation", "a"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, _, _ := runCLI(c.args...)
			is.New(t).Equal(code, c.code)
		})
	}
}

func TestCheckPrintsFileAndKey(t *testing.T) {
	is := is.New(t)
	dir := copyExample(t)
	replaceInFile(t, filepath.Join(dir, "organisations", "coral-hotel.toml"), "requests_per_second = 40", "requests_per_second = 0")
	code, _, stderr := runCLI("check", dir)
	is.Equal(code, 1)
	is.True(strings.HasPrefix(stderr, "organisations/coral-hotel.toml:parameters.requests_per_second: "))
}

func TestDiffPrintsOrganisationAndChange(t *testing.T) {
	is := is.New(t)
	dir := copyExample(t)
	replaceInFile(t, filepath.Join(dir, "organisations", "coral-hotel.toml"), "requests_per_second = 40", "requests_per_second = 45")
	code, stdout, _ := runCLI("diff", exampleDir, dir)
	is.Equal(code, 0)
	is.Equal(stdout, "coral-hotel: limits {RequestsPerSecond:40 Concurrency:20} -> {RequestsPerSecond:45 Concurrency:20}\n")
}

func TestRenderSubstitutesParameters(t *testing.T) {
	is := is.New(t)
	code, stdout, _ := runCLI("render", exampleDir, "-organisation", "baobab-lodge")
	is.Equal(code, 0)
	is.True(strings.Contains(stdout, `"deadline": "4s"`))
	is.True(!strings.Contains(stdout, "${"))
}

func TestPackRejectsInvalidDirectory(t *testing.T) {
	is := is.New(t)
	dir := copyExample(t)
	out := filepath.Join(t.TempDir(), "pack")
	replaceInFile(t, filepath.Join(dir, "organisations", "coral-hotel.toml"), "= 40", "= 0")
	code, _, _ := runCLI("pack", dir, "-out", out)
	is.Equal(code, 1)
	_, err := os.Stat(out)
	is.True(os.IsNotExist(err))

	code, _, _ = runCLI("pack", exampleDir, "-out", out)
	is.Equal(code, 0)
	_, err = os.Stat(filepath.Join(out, "manifest"))
	is.NoErr(err)
}
