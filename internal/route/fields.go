package route

// This file declares the fields of all schemas, and finds those that a reader of an older schema would miss.

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Rule says what it means for a reader not to know a field.
type Rule int

// The two rules.
const (
	MustUnderstand Rule = iota // a reader that skips the field acts differently
	Ignorable                  // the field changes no decision
)

// Field declares one field of the wire form. A field stays in all newer schemas, with the same meaning: a new meaning
// gets a new name.
type Field struct {
	Path  string // such as routes[].share
	Since int    // the first schema that has it
	Rule  Rule

	describeLoss func(r *Route) string // what a reader that does not know the field does with r; nil: no words
	unused       func(r *Route) bool   // the field is set but changes no decision of r; nil: it always may
}

// DeclaredFields are all fields of the newest schema. Those of an older schema are the ones with Since up to it.
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

func hasNoCanary(r *Route) bool { return r.Rollout == "" || r.Share == 0 }

func describeClassesLoss(r *Route) string {
	return "sends requests of all classes to the canary, not those of " + strings.Join(r.Classes, ", ") + " alone"
}

// declarationOf finds the declaration of a field. An undeclared one counts as new, and as MustUnderstand.
func declarationOf(fields []Field, path string) *Field {
	if i := slices.IndexFunc(fields, func(f Field) bool { return f.Path == path }); i >= 0 {
		return &fields[i]
	}
	return &Field{Path: path, Since: Newest, Rule: MustUnderstand}
}

// fieldUse is a field that a document sets.
type fieldUse struct {
	declaredPath string // as Field.Path has it
	path         string // in the document
	routeIndex   int    // index in routes; outsideRoutes
}

// usedFields lists the fields that a document sets.
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

// lostFields are the fields of a document that a reader of an older schema skips and acts differently for, and the number
// of further ones that it would have to understand but that change no decision with these routes.
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

// errorFinding is an error as a finding.
func errorFinding(err error) Finding {
	var fe FieldError
	if errors.As(err, &fe) {
		return Finding{Path: fe.Path, Field: fe.Path[strings.LastIndex(fe.Path, ".")+1:], Effect: fe.Error()}
	}
	return Finding{Path: "schema", Field: "schema", Effect: err.Error()}
}

// outsideRoutes is the index of a field that belongs to no route.
const outsideRoutes = -1
