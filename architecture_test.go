// Package marblelane contains no code. Its test checks the dependencies between the packages of the module.
package marblelane

import (
	"os"
	"os/exec"
	"regexp"
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

// Patterns of the servers of net/http in the source, and of the option without which they answer OPTIONS * themselves.
var (
	serverLiteral = regexp.MustCompile(`http\.Server\{`)
	handlerOption = regexp.MustCompile(`DisableGeneralOptionsHandler:\s+true`)
	otherServer   = regexp.MustCompile(`[^.\w]http\.(ListenAnd)?Serve(TLS)?\(|new\(http\.Server\)`)
)

// Guards against a success that no handler has given: each server of net/http passes all requests to its handler.
func TestHTTPServers_passAllRequestsToHandler(t *testing.T) {
	files, err := exec.Command("go", "list", "-f", `{{range .GoFiles}}{{$.Dir}}/{{.}}{{"\n"}}{{end}}`, "./...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	servers := 0
	for _, file := range strings.Fields(string(files)) {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		literals := len(serverLiteral.FindAll(source, -1))
		if options := len(handlerOption.FindAll(source, -1)); literals != options || otherServer.Match(source) {
			t.Errorf("%s: %d servers of net/http, %d with DisableGeneralOptionsHandler, or a server without a literal", file, literals, options)
		}
		servers += literals
	}
	if servers == 0 {
		t.Error("no server found")
	}
}
