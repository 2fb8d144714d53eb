package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Names returns the names of the fields at the top of a document in JSON with comments.
func Names(data []byte) ([]string, error) {
	if line := lineExceedingDepth(data); line > 0 {
		return nil, fmt.Errorf("line %d: objects and arrays are nested more than %d deep", line, maxDepth)
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, err
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil, nil
	}
	names := make([]string, len(object.Members))
	for i, m := range object.Members {
		names[i] = m.Name.Value.(hujson.Literal).String()
	}
	return names, nil
}

// ParseJSON reads JSON into target with encoding/json, for documents whose reader uses
// that package. The tags of target's fields must equal their names; these are the names
// in paths, whatever the case in the document. The error is Findings with every value of a wrong type; target then
// holds the values that could be read. After a syntax error the findings hold only that
// error, with an empty field.
func ParseJSON(file string, data []byte, target any) (*Document, error) {
	d := &Document{File: file, lines: map[string]int{"": 1}}
	r := &jsonReader{reader{data: data, document: d, report: &Report{Document: d}}}
	err := json.Unmarshal(data, target)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		d.lines[""] = lineAt(data, int(syntax.Offset))
		r.report.Errorf("", "syntax error: %s", syntax)
		return d, r.report.Findings
	}
	// encoding/json limits the nesting, so that the recursive parser is safe here.
	if value, parseErr := hujson.Parse(data); parseErr == nil {
		r.value("", &value, reflect.TypeOf(target))
	}
	if err != nil && len(r.report.Findings) == 0 {
		r.report.Errorf("", "%s", err)
	}
	return d, r.report.Findings.Err()
}

// jsonReader records the lines of the fields and finds the values that encoding/json
// does not accept, of which it names only the first.
type jsonReader struct{ reader }

func (r *jsonReader) value(path string, v *hujson.Value, t reflect.Type) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		if t.Kind() == reflect.Struct {
			r.object(path, value, t)
			return
		}
	case *hujson.Array:
		if t.Kind() == reflect.Slice {
			for i := range value.Elements {
				element := &value.Elements[i]
				field := fmt.Sprintf("%s[%d]", path, i)
				r.document.lines[field] = r.line(element.StartOffset)
				r.value(field, element, t.Elem())
			}
			return
		}
	}
	if json.Unmarshal(v.Pack(), reflect.New(t).Interface()) != nil {
		r.report.Errorf(path, "want %s, got %s", expectedKind(t.Kind()), describe(v))
	}
}

func (r *jsonReader) object(path string, object *hujson.Object, t reflect.Type) {
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		f, known := t.FieldByNameFunc(func(s string) bool { return strings.EqualFold(s, name) })
		if known {
			name = f.Name
		}
		field := joinPath(path, name)
		r.document.lines[field] = r.line(member.Name.StartOffset)
		if known {
			r.value(field, &member.Value, f.Type)
		}
	}
}

// expectedKind describes the values that a field of the kind accepts.
func expectedKind(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number that is not negative"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	}
	return "a value of type " + k.String()
}
