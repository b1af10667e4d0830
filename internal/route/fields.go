package route

// This file declares the fields of all schemas, and finds the fields that a reader of an older schema would skip.

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Rule defines what happens if a reader does not know a field.
type Rule int

// Rules of fields.
const (
	MustUnderstand Rule = iota // a reader that skips the field makes different decisions
	Ignorable                  // the field affects no decision
)

// Field declares one field of the encoded document. A field stays in all newer schemas with the same meaning: a new
// meaning needs a new field name.
type Field struct {
	Path  string // such as routes[].share
	Since int    // first schema with this field
	Rule  Rule

	describeLoss func(r *Route) string // what a reader without the field does with the route; nil: a general text
	unused       func(r *Route) bool   // whether the field, though set, affects no decision of the route; nil: it may
}

// DeclaredFields returns all fields of the newest schema. An older schema has those whose Since is not above its
// number.
func DeclaredFields() []Field {
	list := []Field{
		{Path: "routes[].classes", Since: 2, Rule: MustUnderstand, unused: hasNoCanary, describeLoss: describeClassesLoss},
		{Path: "routes[].note", Since: 2, Rule: Ignorable},
	}
	for _, path := range []string{
		"schema", "reads", "rev", "closed", "routes", "routes[].tenant", "routes[].share", "routes[].rollout",
		"routes[].step", "routes[].budget", "routes[].late", "routes[].base", "routes[].canary",
	} {
		list = append(list, Field{Path: path, Since: 1, Rule: MustUnderstand})
	}
	for _, subset := range []string{"routes[].base.", "routes[].canary."} {
		for _, name := range []string{"model", "pod_group", "az", "uid"} {
			list = append(list, Field{Path: subset + name, Since: 1, Rule: MustUnderstand})
		}
	}
	return list
}

// hasNoCanary reports whether no requests of a route go to a canary.
func hasNoCanary(r *Route) bool { return r.Rollout == "" || r.Share == 0 }

func describeClassesLoss(r *Route) string {
	return "sends requests of all classes to the canary, not those of " + strings.Join(r.Classes, ", ") + " alone"
}

// declarationOf returns the declaration of a field. An undeclared field is treated as one of the newest schema that
// must be understood.
func declarationOf(fields []Field, path string) *Field {
	if i := slices.IndexFunc(fields, func(f Field) bool { return f.Path == path }); i >= 0 {
		return &fields[i]
	}
	return &Field{Path: path, Since: Newest, Rule: MustUnderstand}
}

// fieldUse is one occurrence of a field that is set in a document.
type fieldUse struct {
	declaredPath string // matches Field.Path
	path         string // path in the document, with indexes
	routeIndex   int    // index in routes, or outsideRoutes
}

// usedFields returns the fields that are set in a document.
func usedFields(doc any) []fieldUse {
	var list []fieldUse
	var walk func(v reflect.Value, field, path string, route int)
	walk = func(v reflect.Value, field, path string, route int) {
		for i := range v.NumField() {
			f := v.Field(i)
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if f.IsZero() || f.Kind() == reflect.Slice && f.Len() == 0 {
				continue
			}
			u := fieldUse{joinPath(field, name), joinPath(path, name), route}
			list = append(list, u)
			if f.Kind() == reflect.Struct {
				walk(f, u.declaredPath, u.path, route)
			}
			if f.Kind() == reflect.Slice && f.Type().Elem().Kind() == reflect.Struct {
				for j := range f.Len() {
					walk(f.Index(j), u.declaredPath+"[]", fmt.Sprintf("%s[%d]", u.path, j), j)
				}
			}
		}
	}
	walk(reflect.ValueOf(doc).Elem(), "", "", outsideRoutes)
	return list
}

// lostFields returns a finding for each field that a reader of an older schema would skip and therefore decide
// differently. unused is the number of skipped fields that must be understood in general but affect no decision of this
// table.
func lostFields(t *Table, doc *document2, older int, fields []Field) (lost []Finding, unused int) {
	for _, u := range usedFields(doc) {
		f := declarationOf(fields, u.declaredPath)
		if f.Since <= older || f.Rule == Ignorable {
			continue
		}
		if u.routeIndex >= 0 && f.unused != nil && f.unused(&t.Routes[u.routeIndex]) {
			unused++
			continue
		}
		lost = append(lost, lossFinding(t, u, f, older))
	}
	return lost, unused
}

// lossFinding returns the finding for a field that a reader of an older schema would skip.
func lossFinding(t *Table, u fieldUse, f *Field, older int) Finding {
	effect, whose := "passes this field over", ""
	if u.routeIndex >= 0 {
		r := &t.Routes[u.routeIndex]
		whose = fmt.Sprintf("tenant %q: ", r.Tenant)
		if f.describeLoss != nil {
			effect = f.describeLoss(r)
		}
	}
	return Finding{
		Path: u.path, Field: f.Path[strings.LastIndex(f.Path, ".")+1:],
		Effect: fmt.Sprintf("%sa reader of schema %d %s", whose, older, effect),
	}
}

// errorFinding converts an error to a finding.
func errorFinding(err error) Finding {
	var fe FieldError
	if errors.As(err, &fe) {
		return Finding{Path: fe.Path, Field: fe.Path[strings.LastIndex(fe.Path, ".")+1:], Effect: fe.Error()}
	}
	return Finding{Path: "schema", Field: "schema", Effect: err.Error()}
}

// outsideRoutes is the routeIndex of a field that belongs to no route.
const outsideRoutes = -1
