package core_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const modulePath = "github.com/dogwoodgauge/dogwoodgauge/core"

// forbiddenPackages do input or output, read a clock or use system randomness.
// Their subpackages are forbidden too.
var forbiddenPackages = []string{
	"context", "crypto/rand", "embed", "hash/maphash", "internal", "io/fs", "io/ioutil", "log",
	"math/rand", "net", "os", "plugin", "runtime", "syscall", "testing", "unsafe",
}

// allowedModules lists the allowed packages from outside the standard library.
var allowedModules = []string{
	"github.com/cespare/xxhash/v2",
}

// allowedNames lists the allowed identifiers of packages that are only partly
// deterministic.
var allowedNames = map[string][]string{
	"time": {
		"Duration", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour",
	},
	"math/rand/v2": {
		"New", "NewPCG", "NewChaCha8", "NewZipf", "Rand", "Source", "PCG", "ChaCha8", "Zipf",
	},
}

// TestCoreIsPure checks that the core is deterministic: no file uses a clock,
// input or output, system randomness or goroutines.
func TestCoreIsPure(t *testing.T) {
	files := coreFiles(t)
	if len(files) < 10 {
		t.Fatalf("found only %d files, want at least 10: %v", len(files), files)
	}
	for _, path := range files {
		for _, fault := range impurities(t, path, nil) {
			t.Error(fault)
		}
	}
}

// TestPurityCheckFindsFaults checks that impurities reports each forbidden use.
func TestPurityCheckFindsFaults(t *testing.T) {
	tests := []struct {
		name, source string
		faults       int
	}{
		{"pure file", `import "time"; const d = 3 * time.Second; var _ time.Duration`, 0},
		{"seeded source", `import "math/rand/v2"; var _ = rand.New(rand.NewPCG(1, 2)).IntN(3)`, 0},
		{"allowed module", `import _ "github.com/cespare/xxhash/v2"`, 0},
		{"local variable named like a package", `import "time"; func f(time struct{ Now int }) int { return time.Now }; var _ time.Duration`, 0},
		{"network", `import "net/netip"`, 1},
		{"file", `import "os"`, 1},
		{"file system", `import "io/fs"`, 1},
		{"random numbers of the system", `import "crypto/rand"`, 1},
		{"first version of math/rand", `import "math/rand"`, 1},
		{"log", `import "log/slog"`, 1},
		{"foreign module", `import "github.com/google/uuid"`, 1},
		{"clock", `import "time"; var _ = time.Now()`, 1},
		{"clock under another name", `import t "time"; var _ = t.Since`, 1},
		{"clock by dot import", `import . "time"; var _ = Now()`, 1},
		{"timer and sleep", `import "time"; var _ = time.NewTimer; func f() { time.Sleep(1); <-time.After(1) }`, 3},
		{"global random source", `import "math/rand/v2"; var _ = rand.IntN(3)`, 1},
		{"goroutine", `func f() { go f() }`, 1},
		{"select", `func f(c chan int) { select { case <-c: default: } }`, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			faults := impurities(t, "source.go", "package p; "+tt.source)
			if len(faults) != tt.faults {
				t.Errorf("got %d faults, want %d: %v", len(faults), tt.faults, faults)
			}
		})
	}
}

// coreFiles returns every Go file of the module that is not a test.
func coreFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && d.Name() == "testdata" {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// impurities parses the file at path, or source if it is not nil, and returns one
// line for each use of something that is forbidden in the core.
func impurities(t *testing.T, path string, source any) []string {
	t.Helper()
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	var faults []string
	report := func(pos token.Pos, format string, args ...any) {
		faults = append(faults, fmt.Sprintf("%s: %s", fileSet.Position(pos), fmt.Sprintf(format, args...)))
	}
	partly := map[string]string{}
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		name := localName(spec, imported)
		switch {
		case !allowedImport(imported):
			report(spec.Pos(), "import of %s", imported)
		case name == ".":
			report(spec.Pos(), "dot import of %s", imported)
		case allowedNames[imported] != nil:
			partly[name] = imported
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			report(n.Pos(), "go statement")
		case *ast.SelectStmt:
			report(n.Pos(), "select statement")
		case *ast.SelectorExpr:
			if imported, ok := usedPackage(n, partly); ok && !slices.Contains(allowedNames[imported], n.Sel.Name) {
				report(n.Pos(), "use of %s.%s", imported, n.Sel.Name)
			}
		}
		return true
	})
	return faults
}

func allowedImport(path string) bool {
	if path == modulePath || strings.HasPrefix(path, modulePath+"/") || slices.Contains(allowedModules, path) {
		return true
	}
	first, _, _ := strings.Cut(path, "/")
	if strings.Contains(first, ".") {
		return false
	}
	if allowedNames[path] != nil {
		return true
	}
	return !slices.ContainsFunc(forbiddenPackages, func(forbidden string) bool {
		return path == forbidden || strings.HasPrefix(path, forbidden+"/")
	})
}

// localName returns the name that a file uses for an imported package.
func localName(spec *ast.ImportSpec, path string) string {
	if spec.Name != nil {
		return spec.Name.Name
	}
	parts := strings.Split(path, "/")
	last := parts[len(parts)-1]
	if strings.HasPrefix(last, "v") && len(parts) > 1 {
		if _, err := strconv.Atoi(last[1:]); err == nil {
			return parts[len(parts)-2]
		}
	}
	return last
}

// usedPackage returns the import path if the selector refers to one of the
// packages. It reports false if it refers to a local variable or a field.
func usedPackage(sel *ast.SelectorExpr, packages map[string]string) (string, bool) {
	ident, ok := sel.X.(*ast.Ident)
	if !ok || ident.Obj != nil {
		return "", false
	}
	path, ok := packages[ident.Name]
	return path, ok
}
