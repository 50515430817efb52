package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// baseTemplate is a valid template without parameters.
const baseTemplate = `
[limits]
requests_per_second = 10
concurrency = 5
[groups.desk]
service = "desk"
[[routes]]
name = "read"
methods = ["GET"]
path = "/a"
group = "desk"
deadline = "1s"
`

// problemLines returns the lines of the error text, one per problem.
func problemLines(err error) []string {
	if err == nil {
		return nil
	}
	return strings.Split(err.Error(), "\n")
}

func TestTemplateReportsAllProblemsWithKeys(t *testing.T) {
	edit := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(baseTemplate) }
	cases := []struct {
		name, text string
		want       []string
	}{
		{"valid", baseTemplate, nil},
		{
			"wrong types, all at once",
			edit(`requests_per_second = 10`, `requests_per_second = "x"`, `concurrency = 5`, `concurrency = 1.5`, `["GET"]`, `"GET"`, `"1s"`, `5`),
			[]string{
				`t:limits.requests_per_second: want an integer, got a string`,
				`t:limits.concurrency: want an integer, got a float`,
				`t:routes[0].methods: want a list of strings, got a string`,
				`t:routes[0].deadline: want a duration such as "250ms", got an integer`,
			},
		},
		{
			"unknown keys",
			edit(`concurrency = 5`, "concurrency = 5\nburst = 1", `path = "/a"`, "path = \"/a\"\nretries = 2") + "[extra]\nx = 1\n",
			[]string{`t:limits.burst: unknown key`, `t:routes[0].retries: unknown key`, `t:extra: unknown key`},
		},
		{
			"bounds",
			edit(`requests_per_second = 10`, `requests_per_second = 0`, `concurrency = 5`, `concurrency = 100001`, `"1s"`, `"0s"`),
			[]string{
				`t:routes[0].deadline: 0s: want 1ms to 10m0s`,
				`t:limits.requests_per_second: 0: want 1 to 1000000`,
				`t:limits.concurrency: 100001: want 1 to 100000`,
			},
		},
		{"dangling group", edit(`group = "desk"`, `group = "other"`), []string{`t:routes[0].group: no group "other" in this version`}},
		{"method twice", edit(`["GET"]`, `["GET", "GET"]`), []string{`t:routes[0].methods: "GET" is listed twice`}},
		{
			"overlap", baseTemplate + "[[routes]]\nname = \"again\"\nmethods = [\"GET\"]\npath = \"/a\"\ngroup = \"desk\"\ndeadline = \"1s\"\n",
			[]string{`t:routes[1].path: overlaps route "read"`},
		},
		{"reference inside text", edit(`"/a"`, `"/a/${x}"`), []string{`t:routes[0].path: "/a/${x}": a reference must be the whole value, such as "${name}"`}},
		{
			"declarations",
			"[parameters.A]\ntype = \"integer\"\n[parameters.b]\ntype = \"float\"\n[parameters.c]\ntype = \"integer\"\nmin = 3\nmax = 2\n[parameters.d]\ntype = \"string\"\nmin = 1\nunit = \"s\"\n" + baseTemplate,
			[]string{
				`t:parameters.A: want a lower-case name of letters, digits and '_'`,
				`t:parameters.b.type: unknown type "float": want integer, boolean, string, duration or list`,
				`t:parameters.c.min: 3 is above max 2`,
				`t:parameters.d.unit: unknown key`,
				`t:parameters.d: min and max are for integers only`,
				`t:parameters.b: declared but never used`,
				`t:parameters.c: declared but never used`,
			},
		},
		{"number too large", edit(`concurrency = 5`, `concurrency = 99999999999999999999`), []string{`t:limits.concurrency: line 4 column 15: toml: decimal number is too large to fit in a 64-bit signed integer`}},
		{"invalid UTF-8", "a = \"\xff\"", []string{`t:: not valid UTF-8`}},
		{"too large", strings.Repeat("#", MaxBlobBytes+1), []string{`t:: 1048577 bytes exceed the maximum of 1048576`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			parsed, err := ParseTemplate("t", []byte(c.text))
			if err == nil {
				_, err = Instantiate("acme", parsed, &OrganisationFile{file: "o"})
			}
			is.New(t).Equal(problemLines(err), c.want)
		})
	}
}

func TestOrganisationFileReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := ParseOrganisation("o", []byte("template = 3\nparameters = 1\nfoo = 2\n"))
	is.Equal(problemLines(err), []string{
		"o:template: want a string, got an integer",
		"o:parameters: want a table, got an integer",
		"o:foo: unknown key",
	})
}

// TestInvalidParameterDoesNotHideOtherProblems checks that an invalid parameter
// value is reported once, in the organisation file, together with the problems of
// the template.
func TestInvalidParameterDoesNotHideOtherProblems(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(`= 10`, `= "${rate}"`, `"1s"`, `"0s"`).Replace(baseTemplate)
	parsed, err := ParseTemplate("t", []byte("[parameters.rate]\ntype = \"integer\"\n"+text))
	is.NoErr(err)
	_, err = Instantiate("acme", parsed, &OrganisationFile{file: "o", Parameters: map[string]any{"rate": "x"}})
	is.Equal(problemLines(err), []string{
		"o:parameters.rate: want an integer, got a string",
		"t:routes[0].deadline: 0s: want 1ms to 10m0s",
	})
}

func TestParameterValueCannotChangeTemplateStructure(t *testing.T) {
	values := []any{"a\"\nb = 1", "x/../y", "{id}", "a b", "", "${other}", "a\x00", map[string]any{"d": int64(1)}}
	parsed, err := ParseTemplate("t", []byte("[parameters.service]\ntype = \"string\"\n"+strings.Replace(baseTemplate, `service = "desk"`, `service = "${service}"`, 1)))
	is.New(t).NoErr(err)
	for _, v := range values {
		_, err := Instantiate("acme", parsed, &OrganisationFile{file: "o", Parameters: map[string]any{"service": v}})
		var problems Problems
		is.New(t).True(errors.As(err, &problems))
		is.New(t).Equal(problems[0].Key, "parameters.service")
	}
}

func TestParseManifestRejectsMalformedInput(t *testing.T) {
	hash := HashOf(nil)
	cases := []struct{ name, text, want string }{
		{"empty", `{}`, "manifest:organisations: missing"},
		{"null", `null`, "manifest:organisations: missing"},
		{"unknown", `{"organisations":{},"x":1}`, `manifest:: json: unknown field "x"`},
		{"trailing", `{"organisations":{}} {}`, "manifest:: unexpected data after the manifest"},
		{"no content", `{"organisations":{"a":{}}}`, `manifest:organisations.a.template: "" is not a valid hash`},
		{"path", `{"organisations":{"a":{"template":"../instances","parameters":"` + string(hash) + `"}}}`, `manifest:organisations.a.template: "../instances" is not a valid hash`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseManifest([]byte(c.text))
			is.New(t).Equal(problemLines(err)[0], c.want)
		})
	}
}

func TestOversizedManifestAndFileAreRefused(t *testing.T) {
	is := is.New(t)
	organisations := make(map[string]string)
	for i := range 8000 {
		organisations[fmt.Sprintf("organisation-%d", i)] = fmt.Sprintf("rate = %d", 1+i%100)
	}
	d := directory(organisations)
	_, problems := d.Check()
	is.Equal(len(problems), 1)
	is.Equal(problems[0].File, ManifestKey)
	is.Equal(problems[0].Key, "organisations")
	d.Organisations["organisation-0"] = make([]byte, MaxBlobBytes+1)
	_, _, err := d.Pack(nil, nil)
	is.Equal(problemLines(err), []string{"organisations/organisation-0.toml:: 1048577 bytes exceed the maximum of 1048576"})
}
