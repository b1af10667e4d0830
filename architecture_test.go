// Package marblelane contains no code. Its test checks the dependencies between the packages of the module.
package marblelane

import (
	"cmp"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const modulePath = "marblelane/"

// layers lists the packages of the module by layer, lowest layer first. A package may only import packages of lower
// layers. An entry that ends with /... covers a package and all packages below it, which may import each other.
var layers = [][]string{
	{"balance", "internal/tomlfile", "internal/streamlimit", "internal/retry", "internal/knownfailures",
		"internal/fsys", "internal/membership/roster", "internal/statekey", "internal/wallclock"},
	{"internal/wire", "internal/route", "internal/fault", "internal/listener", "internal/snapshot",
		"internal/testutil/..."},
	{"internal/membership/transport"},
	{"internal/membership", "internal/audit", "internal/rollout", "internal/routeclient"},
	{"internal/membership/addrcheck", "internal/membership/collect", "internal/membership/view",
		"internal/membership/roster/model", "internal/rollout/model", "internal/snapshot/crashcheck"},
	{"internal/sidecar/checkpoint", "internal/sidecar/clock", "internal/sidecar/loglimit", "internal/sidecar/memory",
		"internal/sidecar/netcall",
		"internal/sidecar/endpointlist", "internal/sidecar/inflight", "internal/registry/state",
		"internal/registry/transport", "internal/registry/operators"},
	{"internal/registry/storage", "internal/registry/listserver"},
	{"internal/registry/agent", "internal/registry/recovery", "internal/registry/routeleader"},
	{"internal/registry"},
	{"internal/sidecar/framing", "internal/sidecar/discovery", "internal/sidecar/sidecartest"},
	{"internal/sidecar/config"},
	{"internal/sidecar/configtest", "internal/sidecar/routing"},
	{"internal/sidecar/metrics", "internal/sidecar/handover"},
	{"internal/sidecar/fleet", "internal/sidecar/upstream", "internal/sidecar/clientserver"},
	{"internal/sidecar/eventloop"},
	{"internal/sidecar"},
	{"internal/lab/..."},
	{"lab/scenarios"},
	{"cmd/sidecar", "cmd/adapter", "cmd/marblelane", "cmd/cicheck"},
}

// layerOf returns the index of a package's layer and the entry of that layer that the package belongs to. The index is
// -1 for a package that is in no layer.
func layerOf(name string) (index int, entry string) {
	for i, layer := range layers {
		for _, e := range layer {
			parent, isSubtree := strings.CutSuffix(e, "/...")
			if name == e || isSubtree && (name == parent || strings.HasPrefix(name, parent+"/")) {
				return i, e
			}
		}
	}
	return -1, ""
}

func TestPackages_importLowerLayersOnly(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}}{{range .Imports}} {{.}}{{end}}", "./...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	packages := strings.Split(strings.TrimSpace(string(out)), "\n")
	if len(packages) < len(layers) {
		t.Fatalf("go list: only %d packages, fewer than the layers", len(packages))
	}
	for _, line := range packages {
		fields := strings.Fields(line)
		name := strings.TrimPrefix(fields[0], modulePath)
		if name+"/" == modulePath {
			continue // this package
		}
		layer, entry := layerOf(name)
		if layer < 0 {
			t.Errorf("%s is not assigned to a layer", name)
		}
		for _, imported := range fields[1:] {
			importedName, inModule := strings.CutPrefix(imported, modulePath)
			if !inModule {
				continue
			}
			if l, e := layerOf(importedName); l > layer || l == layer && e != entry {
				t.Errorf("%s (layer %d) imports %s (layer %d)", name, layer, importedName, l)
			}
		}
	}
}

// serverFunctions are the functions of net/http that create a server of their own.
var serverFunctions = []string{"Serve", "ServeTLS", "ListenAndServe", "ListenAndServeTLS"}

// Guards against a success that no handler has given: unless a server says otherwise, net/http answers OPTIONS * itself.
func TestHTTPServers_passAllRequestsToHandler(t *testing.T) {
	servers := 0
	inspect := func(path string) func(ast.Node) bool {
		return func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.CompositeLit:
				if !isHTTPName(node.Type, "Server") {
					break
				}
				if servers++; !setsTrue(node, "DisableGeneralOptionsHandler") {
					t.Errorf("%s: an http.Server without DisableGeneralOptionsHandler", path)
				}
			case *ast.CallExpr:
				if isHTTPName(node.Fun, serverFunctions...) {
					t.Errorf("%s: a server of net/http without DisableGeneralOptionsHandler", path)
				}
			}
			return true
		}
	}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() && path == "review" {
			return cmp.Or(err, fs.SkipDir)
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil {
			ast.Inspect(file, inspect(path))
		}
		return err
	})
	if err != nil || servers == 0 {
		t.Fatalf("%d servers found, %v", servers, err)
	}
}

// isHTTPName reports whether an expression is one of the names of net/http.
func isHTTPName(expression ast.Expr, names ...string) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	operand, ok := selector.X.(*ast.Ident)
	return ok && operand.Name == "http" && slices.Contains(names, selector.Sel.Name)
}

// setsTrue reports whether a composite literal sets a field to true.
func setsTrue(literal *ast.CompositeLit, field string) bool {
	return slices.ContainsFunc(literal.Elts, func(element ast.Expr) bool {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		key, isKey := pair.Key.(*ast.Ident)
		value, isValue := pair.Value.(*ast.Ident)
		return isKey && isValue && key.Name == field && value.Name == "true"
	})
}
