package dist

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/klauspost/compress/zstd"

	"heatherlift.example/heatherlift/internal/config"
)

const (
	benchServices  = 41
	benchScopeSize = 6
	// compressionThreshold is the message size, in bytes, from which the
	// transport compresses.
	compressionThreshold = 512
	// jsonRPCEnvelope is the JSON-RPC text around a message.
	jsonRPCEnvelope = `{"method":"announce","params":,"id":12345,"jsonrpc":"2.0"}`
)

// benchDirectory returns n organisations with routes to two services each.
func benchDirectory(n, rate int) *config.Directory {
	d := &config.Directory{Templates: make(map[string][]byte), Organisations: make(map[string][]byte)}
	for i := range benchServices {
		second := "[groups.second]\nservice = \"service-%d\"\n[[routes]]\nname = \"stock\"\nmethods = [\"GET\"]\npath = \"/stock/{rest...}\"\ngroup = \"second\"\ndeadline = \"500ms\"\nrepeatable = true\n"
		text := fmt.Sprintf("[parameters.rate]\ntype = \"integer\"\n[limits]\nrequests_per_second = \"${rate}\"\nconcurrency = 20\n[groups.main]\nservice = \"service-%d\"\n[[routes]]\nname = \"orders\"\nmethods = [\"POST\"]\npath = \"/orders\"\ngroup = \"main\"\ndeadline = \"3s\"\n"+second, i, (i+1)%benchServices)
		d.Templates[fmt.Sprintf("template-%d", i)] = []byte(text)
	}
	for i := range n {
		r := 10
		if i == 0 {
			r = rate
		}
		d.Organisations[fmt.Sprintf("organisation-%d", i)] = fmt.Appendf(nil, "template = \"template-%d\"\n[parameters]\nrate = %d\n", i%benchServices, r)
	}
	return d
}

// benchSnapshots returns two versions of n organisations that differ in one
// organisation, which uses services 0 and 1.
func benchSnapshots(b *testing.B, n int) (first, second *config.Snapshot) {
	compiler := config.NewCompiler()
	var manifest *config.Manifest
	var blobs map[config.Hash][]byte
	var out []*config.Snapshot
	for version, rate := range []int{10, 11} {
		m, packed, err := benchDirectory(n, rate).Pack(manifest, blobs)
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

// transportSizes returns the size of the messages in bytes, as plain JSON and
// compressed as by the transport. Both include the JSON-RPC envelope and the
// frame header of 4 bytes.
func transportSizes(messages ...any) (plain, compressed int) {
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest))
	for _, m := range messages {
		text, _ := json.Marshal(m)
		text = append(text, jsonRPCEnvelope...)
		plain += 4 + len(text)
		if len(text) >= compressionThreshold {
			text = encoder.EncodeAll(text, nil)
		}
		compressed += 4 + len(text)
	}
	return plain, compressed
}

// BenchmarkChangeBytes measures the bytes that a leaf with a scope of 6 out of
// 41 services sends and receives when one of 2,000 organisations changes. The
// changed organisation is within the scope in the cases "in" and outside it in
// the cases "out".
func BenchmarkChangeBytes(b *testing.B) {
	first, second := benchSnapshots(b, 2000)
	scopes := map[string][]string{"in": {}, "out": {}}
	for i := range benchScopeSize {
		scopes["in"] = append(scopes["in"], fmt.Sprintf("service-%d", i))
		scopes["out"] = append(scopes["out"], fmt.Sprintf("service-%d", i+10))
	}
	for _, name := range []string{"in", "out"} {
		scope := config.NewScope(scopes[name]...)
		delta := config.Diff(first.Restrict(scope), second, scope)
		full := config.Diff(nil, second, scope)
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
			{"announce_pull_whole", []any{announce, request, reply(full)}},
			{"recheck", []any{request, reply(nil)}},
		}
		for _, c := range cases {
			b.Run(name+"/"+c.name, func(b *testing.B) {
				plain, compressed := 0, 0
				for range b.N {
					plain, compressed = transportSizes(c.messages...)
				}
				b.ReportMetric(float64(delta.Size()), "changed_B")
				b.ReportMetric(float64(plain), "json_B")
				b.ReportMetric(float64(compressed), "zstd_B")
			})
		}
	}
}
