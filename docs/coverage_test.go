package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// declarations returns the functions, methods' receivers and types of all packages as
// "package.Name". The names of package main are listed under its directory's.
func declarations(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	files := token.NewFileSet()
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "target" || d.Name() == "bin" || d.Name() == "journal") {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" {
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		pkg := strings.TrimSuffix(file.Name.Name, "_test")
		if pkg == "main" {
			pkg = filepath.Base(filepath.Dir(path))
		}
		for _, decl := range file.Decls {
			switch decl := decl.(type) {
			case *ast.FuncDecl:
				if decl.Recv == nil {
					names[pkg+"."+decl.Name.Name] = true
				}
			case *ast.GenDecl:
				for _, spec := range decl.Specs {
					if typ, ok := spec.(*ast.TypeSpec); ok {
						names[pkg+"."+typ.Name.Name] = true
					}
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var (
	quoted    = regexp.MustCompile("`([^`]+)`")
	qualified = regexp.MustCompile(`^[a-z]+\.[A-Z]\w*$`)
)

// A table row that names something that does not exist shows nothing.
func TestCoverageNamesExist(t *testing.T) {
	is := is.New(t)
	names := declarations(t)
	kinds := make(map[string]bool)
	for _, m := range regexp.MustCompile(`kind\s*=\s*"([a-z-]+)"`).FindAllStringSubmatch(read(t, "../bench/soak/plan.go"), -1) {
		kinds[m[1]] = true
	}
	checks := make(map[string]bool)
	for _, path := range []string{"budget.go", "check.go", "cold.go", "crashing.go", "evacuation.go", "memory.go", "statements.go"} {
		for _, m := range regexp.MustCompile(`(?:addViolation\(|")([a-z]+)(?:"|: )`).FindAllStringSubmatch(read(t, "../bench/soak/"+path), -1) {
			checks[m[1]] = true
		}
	}
	rows := 0
	var header []string
	for line := range strings.SplitSeq(read(t, "COVERAGE.md"), "\n") {
		if !strings.HasPrefix(line, "| ") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if cells[0] == "signal" || cells[0] == "rule" || cells[0] == "trouble" {
			header = cells
			continue
		}
		if cells[0] == "---" {
			continue
		}
		rows++
		is.Equal(len(cells), len(header)) // a row has a cell for each column
		for i, cell := range cells[1:] {
			column := header[i+1]
			if cell == "–" && cells[len(cells)-1] == "" {
				t.Errorf("%s: %q is empty and has no reason", cells[0], column)
			}
			for _, m := range quoted.FindAllStringSubmatch(cell, -1) {
				known := true
				switch {
				case strings.HasPrefix(column, "soak: kind"):
					known = kinds[m[1]]
				case strings.HasPrefix(column, "soak: check"):
					known = checks[m[1]]
				case qualified.MatchString(m[1]):
					known = names[m[1]]
				}
				if !known {
					t.Errorf("%s, column %q: %q does not exist", cells[0], column, m[1])
				}
			}
		}
	}
	is.True(rows > 70)
}

// The tests that the proofs name exist.
func TestProofNamesExist(t *testing.T) {
	names := declarations(t)
	for _, m := range quoted.FindAllStringSubmatch(read(t, "PROOFS.md"), -1) {
		if strings.Contains(m[1], ".Test") && qualified.MatchString(m[1]) && !names[m[1]] {
			t.Errorf("%q does not exist", m[1])
		}
	}
}
