package config

import (
	"maps"
	"slices"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Template is a parsed template file.
type Template struct {
	file       string
	parameters map[string]Parameter
	body       map[string]any
}

// ParseTemplate parses the template in data. Defects are returned as Problems.
func ParseTemplate(file string, data []byte) (*Template, error) {
	problems := &problemList{file: file}
	tree := parseTree(data, problems)
	if tree == nil {
		return nil, problems.err()
	}
	t := &Template{file: file, body: tree}
	t.parameters = decodeParameters(tree["parameters"], problems)
	delete(tree, "parameters")
	t.checkReferences(problems)
	return t, problems.err()
}

// decodeParameters decodes the declarations of a template.
func decodeParameters(node any, problems *problemList) map[string]Parameter {
	if node == nil {
		return nil
	}
	var wrapper struct {
		Parameters map[string]Parameter `toml:"parameters"`
	}
	if !strictDecode(map[string]any{"parameters": node}, &wrapper, problems) {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(wrapper.Parameters)) {
		p := wrapper.Parameters[name]
		if p.Default == nil {
			p.Default = nil
			continue
		}
		if msg := p.check(p.Default); msg != "" {
			problems.add("parameters."+name+".default", "%s", msg)
		}
	}
	return wrapper.Parameters
}

// checkReferences refuses undeclared and unused parameters.
func (t *Template) checkReferences(problems *problemList) {
	used := make(map[string]bool)
	references(t.body, used)
	for _, name := range slices.Sorted(maps.Keys(used)) {
		if _, ok := t.parameters[name]; !ok {
			problems.add("parameters."+name, "used but not declared")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.parameters)) {
		if !used[name] {
			problems.add("parameters."+name, "declared but never used")
		}
	}
}

// OrganisationFile is a parsed organisation file.
type OrganisationFile struct {
	file string
	// Template names the template, without its file extension.
	Template string `toml:"template"`
	// Parameters holds the values for the template's parameters.
	Parameters map[string]any `toml:"parameters"`
}

// ParseOrganisation parses an organisation file. Defects are returned as Problems.
func ParseOrganisation(file string, data []byte) (*OrganisationFile, error) {
	problems := &problemList{file: file}
	tree := parseTree(data, problems)
	if tree == nil {
		return nil, problems.err()
	}
	o := &OrganisationFile{file: file}
	if strictDecode(tree, o, problems) && o.Template == "" {
		problems.add("template", "missing: name the template")
	}
	return o, problems.err()
}

// Instantiate substitutes the organisation's parameters into the template and
// validates the result. Defects are returned as Problems.
func Instantiate(name string, t *Template, o *OrganisationFile) (*Organisation, error) {
	problems := &problemList{file: o.file}
	bound := bind(t.parameters, o.Parameters, problems)
	if err := problems.err(); err != nil {
		return nil, err
	}
	problems.file = t.file
	org := &Organisation{}
	if !strictDecode(substitute(t.body, bound), org, problems) {
		return nil, problems.err()
	}
	org.Name = name
	validate(org, problems)
	return org, problems.err()
}

// parseTree parses TOML text into a generic tree, or returns nil.
func parseTree(data []byte, problems *problemList) map[string]any {
	if len(data) > MaxBlobBytes {
		problems.add("", "%d bytes exceed the maximum of %d", len(data), MaxBlobBytes)
		return nil
	}
	if !utf8.Valid(data) {
		problems.add("", "not valid UTF-8")
		return nil
	}
	tree := make(map[string]any)
	if err := toml.Unmarshal(data, &tree); err != nil {
		addDecodeError(err, problems)
		return nil
	}
	return tree
}

// strictDecode decodes a tree into target and refuses unknown keys.
func strictDecode(tree, target any, problems *problemList) bool {
	text, err := toml.Marshal(tree)
	if err != nil {
		problems.add("", "%v", err)
		return false
	}
	return DecodeStrict(text, target, problems.file, &problems.list)
}

// addDecodeError records an error of the TOML decoder with its key.
func addDecodeError(err error, problems *problemList) {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		problems.add(joinKey(decode.Key()), "line %d column %d: %s", row, column, decode.Error())
		return
	}
	problems.add("", "%v", err)
}
