package config

import (
	"maps"
	"slices"
	"strings"
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
	t.parameters = readParameters(newTable("", tree, problems).table("parameters"))
	delete(tree, "parameters")
	t.checkReferences(problems)
	return t, problems.err()
}

// checkReferences adds a problem for each undeclared or unused parameter.
func (t *Template) checkReferences(problems *problemList) {
	used := make(map[string]bool)
	collectReferences("", t.body, used, problems)
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
	// Template is the file name of the template without its extension.
	Template string
	// Parameters holds the values for the template's parameters.
	Parameters map[string]any
}

// ParseOrganisation parses an organisation file. Defects are returned as Problems.
func ParseOrganisation(file string, data []byte) (*OrganisationFile, error) {
	problems := &problemList{file: file}
	tree := parseTree(data, problems)
	if tree == nil {
		return nil, problems.err()
	}
	t := newTable("", tree, problems)
	o := &OrganisationFile{file: file, Template: t.str("template")}
	o.Parameters = t.table("parameters").values
	t.reportUnread()
	if o.Template == "" {
		problems.add("template", "missing: name the template")
	}
	return o, problems.err()
}

// Instantiate substitutes the organisation's parameters into the template and
// validates the result. Defects are returned as Problems: invalid parameters are
// attributed to the organisation file and come first, all others to the template
// file.
func Instantiate(name string, t *Template, o *OrganisationFile) (*Organisation, error) {
	problems := &problemList{file: o.file}
	bound := bindParameters(t.parameters, o.Parameters, problems)
	templateProblems := &problemList{file: t.file}
	org := readOrganisation(substitute(t.body, bound).(map[string]any), templateProblems)
	org.Name = name
	validate(org, templateProblems)
	problems.list = append(problems.list, templateProblems.list...)
	return org, problems.err()
}

// parseTree parses TOML text into a generic tree. It returns nil if the text is
// too large, not valid UTF-8 or not valid TOML.
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
		addDecodeError(err, data, problems)
		return nil
	}
	return tree
}

// addDecodeError records an error of the TOML decoder with its key. If the
// decoder reports only a position, the key is taken from that line.
func addDecodeError(err error, data []byte, problems *problemList) {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		problems.add("", "%v", err)
		return
	}
	row, column := decode.Position()
	key := joinKey(decode.Key())
	if key == "" {
		key = keyAt(string(data), row)
	}
	problems.add(key, "line %d column %d: %s", row, column, decode.Error())
}

// keyAt returns the key that is set on the given line, prefixed with the name of
// its table.
func keyAt(text string, row int) string {
	var table, key string
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		name, _, isKey := strings.Cut(line, "=")
		key = ""
		switch {
		case strings.HasPrefix(line, "["):
			table = strings.Trim(line, "[] ")
		case isKey:
			key = strings.TrimSpace(name)
		}
		if i+1 == row {
			break
		}
	}
	return strings.Trim(table+"."+key, ".")
}
