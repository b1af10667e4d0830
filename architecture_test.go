// Package marblelane has no code: this file tests how the packages below it depend on each other.
package marblelane

import (
	"os/exec"
	"strings"
	"testing"
)

const modulePath = "marblelane/"

// layers are the packages of the module from the bottom up, each line a layer. A package imports packages of lower
// layers only. A name that ends with /... stands for a package and all below it, which may import each other.
var layers = [][]string{
	{"balance", "internal/tomlfile", "internal/streamlimit", "internal/retry", "internal/knownfailures",
		"internal/fsys", "internal/membership/roster", "internal/statekey", "internal/wallclock"},
	{"internal/wire", "internal/route", "internal/fault", "internal/listener", "internal/snapshot",
		"internal/testutil/..."},
	{"internal/membership/transport"},
	{"internal/membership", "internal/audit", "internal/rollout", "internal/routeclient"},
	{"internal/membership/addrcheck", "internal/membership/collect", "internal/membership/view",
		"internal/membership/roster/model", "internal/rollout/model", "internal/snapshot/crashcheck"},
	{"internal/sidecar/checkpoint", "internal/sidecar/clock", "internal/sidecar/netcall",
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

// layerOf gives the layer of a package, and the entry of layers that it belongs to; -1: it is in none.
func layerOf(name string) (number int, entry string) {
	for i, layer := range layers {
		for _, e := range layer {
			tree, isTree := strings.CutSuffix(e, "/...")
			if name == e || isTree && (name == tree || strings.HasPrefix(name, tree+"/")) {
				return i, e
			}
		}
	}
	return -1, ""
}

func TestImportsPointDown(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}}{{range .Imports}} {{.}}{{end}}", "./...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	packages := strings.Split(strings.TrimSpace(string(out)), "\n")
	if len(packages) < len(layers) {
		t.Fatalf("go list names %d packages", len(packages))
	}
	for _, line := range packages {
		fields := strings.Fields(line)
		name := strings.TrimPrefix(fields[0], modulePath)
		if name+"/" == modulePath {
			continue // this package
		}
		layer, entry := layerOf(name)
		if layer < 0 {
			t.Errorf("%s is in no layer", name)
		}
		for _, imported := range fields[1:] {
			lower, ours := strings.CutPrefix(imported, modulePath)
			if !ours {
				continue
			}
			if l, e := layerOf(lower); l > layer || l == layer && e != entry {
				t.Errorf("%s (layer %d) imports %s (layer %d)", name, layer, lower, l)
			}
		}
	}
}
