package dist

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/klauspost/compress/zstd"

	"heatherlift.example/heatherlift/internal/config"
)

const (
	bytesServices = 41
	bytesScope    = 6
	// compressFrom is the size from which the transport compresses.
	compressFrom = 512
	// callFrame is the text that JSON-RPC puts around a message.
	callFrame = `{"method":"announce","params":,"id":12345,"jsonrpc":"2.0"}`
)

// bytesDirectory holds n organisations of two services each.
func bytesDirectory(n, rate int) *config.Directory {
	d := &config.Directory{Templates: make(map[string][]byte), Organisations: make(map[string][]byte)}
	for i := range bytesServices {
		second := "[groups.second]\nservice = \"service-%d\"\n[[routes]]\nname = \"stock\"\nmethods = [\"GET\"]\npath = \"/stock/{rest...}\"\ngroup = \"second\"\ndeadline = \"500ms\"\nrepeatable = true\n"
		text := fmt.Sprintf("[parameters.rate]\ntype = \"integer\"\n[limits]\nrequests_per_second = \"${rate}\"\nconcurrency = 20\n[groups.main]\nservice = \"service-%d\"\n[[routes]]\nname = \"orders\"\nmethods = [\"POST\"]\npath = \"/orders\"\ngroup = \"main\"\ndeadline = \"3s\"\n"+second, i, (i+1)%bytesServices)
		d.Templates[fmt.Sprintf("template-%d", i)] = []byte(text)
	}
	for i := range n {
		r := 10
		if i == 0 {
			r = rate
		}
		d.Organisations[fmt.Sprintf("organisation-%d", i)] = fmt.Appendf(nil, "template = \"template-%d\"\n[parameters]\nrate = %d\n", i%bytesServices, r)
	}
	return d
}

func bytesSnapshots(b *testing.B, n int) (first, second *config.Snapshot) {
	compiler := config.NewCompiler()
	var manifest *config.Manifest
	var blobs map[config.Hash][]byte
	var out []*config.Snapshot
	for version, rate := range []int{10, 11} {
		m, packed, err := bytesDirectory(n, rate).Pack(manifest, blobs)
		if err != nil {
			b.Fatal(err)
		}
		manifest, blobs = m, packed
		s, err := compiler.Compile(uint64(version+1), m, packed)
		if err != nil {
			b.Fatal(err)
		}
		out = append(out, s)
	}
	return out[0], out[1]
}

// onWire returns the bytes of messages as JSON and as the transport sends them.
func onWire(messages ...any) (plain, packed int) {
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest))
	for _, m := range messages {
		text, _ := json.Marshal(m)
		text = append(text, callFrame...)
		plain += 4 + len(text)
		if len(text) >= compressFrom {
			text = encoder.EncodeAll(text, nil)
		}
		packed += 4 + len(text)
	}
	return plain, packed
}

// BenchmarkChangeBytes measures what a leaf of 6 of 41 services and 2,000
// organisations sends and receives for the change of one organisation.
func BenchmarkChangeBytes(b *testing.B) {
	first, second := bytesSnapshots(b, 2000)
	scopes := map[string][]string{"in": {}, "out": {}}
	for i := range bytesScope {
		scopes["in"] = append(scopes["in"], fmt.Sprintf("service-%d", i))
		scopes["out"] = append(scopes["out"], fmt.Sprintf("service-%d", i+10))
	}
	for _, name := range []string{"in", "out"} {
		scope := config.NewScope(scopes[name]...)
		delta := config.Diff(first.Restrict(scope), second, scope)
		whole := config.Diff(nil, second, scope)
		request := PullRequest{From: "service-1-instance-12", Have: headOf(first), Services: scopes[name]}
		announce := Announcement{From: "service-1-instance-10", Head: headOf(second)}
		push := announce
		push.Delta = delta
		reply := func(d *config.Delta) PullReply {
			return PullReply{Head: headOf(second), Delta: d, SourceCheckedMs: 1000}
		}
		cases := []struct {
			name     string
			messages []any
		}{
			{"push_delta", []any{push}},
			{"announce_pull_delta", []any{announce, request, reply(delta)}},
			{"announce_pull_whole", []any{announce, request, reply(whole)}},
			{"recheck", []any{request, reply(nil)}},
		}
		for _, c := range cases {
			b.Run(name+"/"+c.name, func(b *testing.B) {
				plain, packed := 0, 0
				for range b.N {
					plain, packed = onWire(c.messages...)
				}
				b.ReportMetric(float64(delta.Size()), "changed_B")
				b.ReportMetric(float64(plain), "json_B")
				b.ReportMetric(float64(packed), "zstd_B")
			})
		}
	}
}
