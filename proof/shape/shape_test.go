package shape_test

import (
	"debug/elf"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

var shipped = []string{"core", "instance", "operator", "platform"}

// sources calls f for every Go file of the shipped modules that is no test.
func sources(t *testing.T, f func(path string, file *ast.File)) {
	t.Helper()
	for _, dir := range shipped {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			f(path, file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func TestEveryFailureHasAType(t *testing.T) {
	bare := []string{"errors.New", "errors.Errorf", "fmt.Errorf"}
	sources(t, func(path string, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			sel, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			pkg, ok := sel.X.(*ast.Ident)
			if ok && slices.Contains(bare, pkg.Name+"."+sel.Sel.Name) {
				t.Errorf("%s: %s.%s makes a failure without a type; use core/fault", path, pkg.Name, sel.Sel.Name)
			}
			return true
		})
	})
}

func TestNoShippedPackageStartsAProcess(t *testing.T) {
	sources(t, func(path string, file *ast.File) {
		for _, imp := range file.Imports {
			if name, _ := strconv.Unquote(imp.Path.Value); name == "os/exec" || name == "plugin" {
				t.Errorf("%s imports %s", path, name)
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if sel, ok := n.(*ast.SelectorExpr); ok && slices.Contains([]string{"StartProcess", "ForkExec"}, sel.Sel.Name) {
				t.Errorf("%s calls %s", path, sel.Sel.Name)
			}
			return true
		})
	})
}

func TestExactlyTwoProgramsLinkedToTheCLibrary(t *testing.T) {
	var mains []string
	sources(t, func(path string, file *ast.File) {
		if file.Name.Name == "main" {
			mains = append(mains, filepath.Base(filepath.Dir(path)))
		}
	})
	slices.Sort(mains)
	mains = slices.Compact(mains)
	want := []string{"comfreyladder", "comfreyladderd"}
	if !slices.Equal(mains, want) {
		t.Fatalf("programs are %v, want %v", mains, want)
	}
	entries, err := os.ReadDir(filepath.Join(root, "bin"))
	if err != nil {
		t.Fatalf("run make build first: %v", err)
	}
	for _, e := range entries {
		if !slices.Contains(want, e.Name()) {
			t.Errorf("bin/%s is a third program", e.Name())
			continue
		}
		bin, err := elf.Open(filepath.Join(root, "bin", e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		libs, _ := bin.ImportedLibraries()
		if !slices.Contains(libs, "libc.so.6") {
			t.Errorf("bin/%s is linked to %v, not to libc", e.Name(), libs)
		}
		_ = bin.Close()
	}
}

// platformNames are names that the users' platform gave things. What knows one of
// them outside platform/ would have to change with the platform.
var platformNames = []string{
	"Attempt-Id", "Deadline-Ms", "Prefix-Hash", "Last-Event-Id", "Runner-Seal", "Expect-Instance", "Not-Executed", "Instance-Id",
	"Token-Count", "Request-Urgency", "Weight-Versions", "Expect-Version", "Pin-Ms", "Reservation", "Length-Hint", "Kv-Backup", "Kv-From",
	"path-prefix", "route-type", "target-latency-ms", "target-gap-ms", "max-attempts", "non_idempotent\"", "api-keys", "max-connections",
	"heartbeat-target", "warmup-left-ms", "COMFREYLADDER_CONFIG", "control-plane", "internal-port-range", "retry-budget-ratio", "fail-closed",
}

// internalWords are literals that happen to equal a platform's word but are this
// product's own, by file.
var internalWords = map[string][]string{"core/route/route.go": {"non_idempotent\""}}

func TestOnlyThePlatformFolderKnowsItsNames(t *testing.T) {
	sources(t, func(path string, file *ast.File) {
		rel, _ := filepath.Rel(root, path)
		if strings.HasPrefix(rel, "platform"+string(filepath.Separator)) {
			return
		}
		ast.Inspect(file, func(n ast.Node) bool {
			lit, ok := n.(*ast.BasicLit)
			if !ok || lit.Kind != token.STRING {
				return true
			}
			for _, name := range platformNames {
				if strings.Contains(lit.Value, name) && !slices.Contains(internalWords[filepath.ToSlash(rel)], name) {
					t.Errorf("%s: %s is the platform's name; only platform/ may know it", rel, lit.Value)
				}
			}
			return true
		})
	})
}

func TestThePlatformFolderStaysSmall(t *testing.T) {
	const most = 2000
	lines := 0
	sources(t, func(path string, _ *ast.File) {
		if strings.Contains(filepath.ToSlash(path), "/platform/") && !strings.Contains(path, "cmd") {
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			lines += strings.Count(string(b), "\n")
		}
	})
	if lines > most {
		t.Errorf("platform/ has %d lines, more than %d: it translates and decides nothing", lines, most)
	}
}
