package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
)

const valid = `
id = "desk-1"
availability_zone = "tanga"
service = "desk"

[listen]
callers = "127.0.0.1:8080"
forward = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
admin = "127.0.0.1:8083"

[backend_server]
address = "127.0.0.1:9000"

[platform]
source = "http://127.0.0.1:7000"
instances = "http://127.0.0.1:7000"

[peers]
plaintext = true
`

func TestParseValid(t *testing.T) {
	is := is.New(t)
	s, err := Parse("p.toml", []byte(valid))
	is.NoErr(err)
	is.Equal(s.BackendServer.Slots, 10)
	is.Equal(s.ID, "desk-1")
}

func TestParseReportsFileAndKey(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "id =", "idd = 1\nid =", "p.toml:idd: unknown key"},
		{"wrong type", `"desk-1"`, "7", "p.toml:id:"},
		{"not an IP", `"127.0.0.1:8080"`, `"host:8080"`, `p.toml:listen.callers: "host" is not an IP address`},
		{"port", `"127.0.0.1:8081"`, `"127.0.0.1:0"`, "p.toml:listen.forward:"},
		{"url", `"http://127.0.0.1:7000"`, `"ftp://x"`, "p.toml:platform.source:"},
		{"plaintext with key", "plaintext = true", "plaintext = true\nkey = \"k\"", "p.toml:peers.key: must be empty"},
		{"no certificate", "plaintext = true", "", "p.toml:peers.certificate: missing"},
		{"placement", "plaintext = true", "plaintext = true\n[requests]\nplacement = \"fastest\"", `p.toml:requests.placement: "fastest": want one of score, expected-finish, auto`},
		{"missing id", `id = "desk-1"`, "", `p.toml:id: ""`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("p.toml", []byte(strings.Replace(valid, c.old, c.replacement, 1)))
			is.True(errors.Is(err, config.ErrInvalid))
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := Parse("p.toml", []byte("id = \"\"\n"))
	var problems config.Problems
	is.True(errors.As(err, &problems))
	keys := make(map[string]bool)
	for _, p := range problems {
		keys[p.Key] = true
	}
	for _, key := range []string{"id", "availability_zone", "service", "listen.admin", "backend_server.address", "platform.source", "peers.key"} {
		is.True(keys[key])
	}
}

func TestParseReportsAllWrongTypesAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(`"desk-1"`, "7", `"desk"`, "true", "plaintext = true", "plaintext = \"yes\"\nreload_interval = 5").Replace(valid)
	_, err := Parse("p.toml", []byte("calls = [1]\nlog = 3\nnope = 1\n"+text))
	var problems config.Problems
	is.True(errors.As(err, &problems))
	lines := problems.Error()
	for _, want := range []string{
		"p.toml:id: want a string, got an integer (7)",
		"p.toml:service: want a string, got a boolean (true)",
		"p.toml:calls: want a list of strings",
		"p.toml:log: want a table, got an integer",
		"p.toml:nope: unknown key",
		"p.toml:peers.plaintext: want a boolean, got a string (yes)",
		"p.toml:peers.reload_interval: want a duration such as",
	} {
		is.True(strings.Contains(lines, want)) // one line per key
	}
	is.Equal(strings.Count(lines, "p.toml:id:"), 1)
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/proxies/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			_, err = Parse(file, text)
			is.New(t).NoErr(err)
		})
	}
}

// taggedKeys returns the dotted keys of a struct with TOML tags.
func taggedKeys(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Struct {
			keys = append(keys, taggedKeys(f.Type, key+".")...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

func TestEveryKeyHasARule(t *testing.T) {
	is := is.New(t)
	var declared []string
	for _, f := range fields {
		declared = append(declared, f.key)
	}
	keys := taggedKeys(reflect.TypeFor[Settings](), "")
	slices.Sort(declared)
	slices.Sort(keys)
	is.Equal(declared, keys)
}

func TestOperationsPageHoldsTheReference(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(page), Reference()))
}

func TestLinkMbpsAcceptsIntegerAndFloat(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]float64{"100": 100, "2.5": 2.5} {
		var s Settings
		is.Equal(len(decode([]byte("[platform]\nlink_mbps = "+text+"\n"), &s, "f")), 0)
		is.Equal(s.Platform.LinkMbps, want)
	}
	problems := decode([]byte("[platform]\nlink_mbps = \"fast\"\n"), new(Settings), "f")
	is.Equal(len(problems), 1)
	is.Equal(problems[0].Key, "platform.link_mbps")
}

func TestBoundsOfClientsFitTheMachine(t *testing.T) {
	is := is.New(t)
	for key, change := range map[string]func(*Settings){
		"machine.memory_mb":   func(s *Settings) { s.Machine.MemoryMB = 8 },
		"machine.descriptors": func(s *Settings) { s.Machine.Descriptors = 10 },
		"clients.memory_mb":   func(s *Settings) { s.Clients.MemoryMB = 100 },
		"clients.share":       func(s *Settings) { s.Clients.Share = 0 },
		"clients.connections": func(s *Settings) { s.Machine.Descriptors, s.Clients.Connections = 1000, 900 },
	} {
		s := Default()
		is.Equal(len(validateClients(s, "f")), 0)
		change(&s)
		var keys []string
		for _, p := range validate(s, "f") {
			keys = append(keys, p.Key)
		}
		is.True(slices.Contains(keys, key))
	}
}
