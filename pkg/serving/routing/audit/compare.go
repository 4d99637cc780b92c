package audit

import (
	"fmt"
	"reflect"

	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

// Difference is what changes from one configuration to another. Before is empty for what is added,
// and After for what is removed.
type Difference struct {
	Subject       Subject
	Before, After string
}

// CheckSuccessor returns findings about a configuration that is to follow another one.
func CheckSuccessor(before, after *routing.Config) []Finding {
	if after.Version > before.Version || after.Version == before.Version && len(Compare(before, after)) == 0 {
		return nil
	}
	return []Finding{{Error, Subject{Section: "Version"}, fmt.Sprintf("version %d has no effect, because version %d is in force", after.Version, before.Version),
		fmt.Sprintf("set the version to %d or higher", before.Version+1)}}
}

// Compare returns what differs, in the order of after, and then what is removed. Elements of lists
// are the same if they have the same name.
func Compare(before, after *routing.Config) []Difference {
	var out []Difference
	out = append(out, compareLists("Routes", before.Routes, after.Routes, func(r *routing.Route) string { return r.Name })...)
	out = append(out, compareLists("Services", before.Services, after.Services, func(s *routing.Service) string { return string(s.ID) })...)
	out = append(out, compareLists("Accounts", before.Accounts, after.Accounts, func(a *routing.Account) string { return string(a.ID) })...)
	return append(out, compareFields(Subject{Section: "Limits"}, reflect.ValueOf(before.Limits), reflect.ValueOf(after.Limits))...)
}

func compareLists[T any](section string, before, after []T, name func(*T) string) []Difference {
	var out []Difference
	old := map[string]*T{}
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	for i := range after {
		s := Subject{Section: section, Index: i, Name: name(&after[i])}
		if o := old[s.Name]; o != nil {
			out = append(out, compareFields(s, reflect.ValueOf(*o), reflect.ValueOf(after[i]))...)
			delete(old, s.Name)
			continue
		}
		out = append(out, Difference{Subject: s, After: "added"})
	}
	for i := range before {
		if s := (Subject{Section: section, Index: i, Name: name(&before[i])}); old[s.Name] != nil {
			out = append(out, Difference{Subject: s, Before: "removed"})
		}
	}
	return out
}

// compareFields compares two structs of the same type field by field.
func compareFields(s Subject, before, after reflect.Value) []Difference {
	var out []Difference
	for i := range before.NumField() {
		s.Field = before.Type().Field(i).Name
		b, a := before.Field(i).Interface(), after.Field(i).Interface()
		switch {
		case reflect.DeepEqual(b, a) || fmt.Sprint(b) == "[]" && fmt.Sprint(a) == "[]":
		case s.Section == "Accounts" && s.Field == "Keys":
			out = append(out, compareKeys(s, b.([]string), a.([]string)))
		default:
			out = append(out, Difference{s, text(before.Field(i)), text(after.Field(i))})
		}
	}
	return out
}

// compareKeys counts keys, which must not be shown.
func compareKeys(s Subject, before, after []string) Difference {
	old := map[string]bool{}
	for _, k := range before {
		old[k] = true
	}
	added := 0
	for _, k := range after {
		if !old[k] {
			added++
		}
		delete(old, k)
	}
	return Difference{s, fmt.Sprintf("%d keys", len(before)), fmt.Sprintf("%d keys, %d added, %d removed", len(after), added, len(old))}
}

// text returns a value as text, what a pointer refers to instead of its address.
func text(v reflect.Value) string {
	if v.Kind() != reflect.Pointer {
		return fmt.Sprint(v.Interface())
	}
	if v.IsNil() {
		return "none"
	}
	return fmt.Sprintf("%+v", v.Elem().Interface())
}
