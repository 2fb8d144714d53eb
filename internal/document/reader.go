package document

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// reader copies a syntax tree into a message, field by field, so that one
// wrong field does not hide the next.
type reader struct {
	data     []byte
	document *Document
	report   *Report
	// newlines holds the offsets of line ends; filled at first use.
	newlines []int
}

func (r *reader) line(offset int) int {
	if r.newlines == nil {
		r.newlines = []int{}
		for i, c := range r.data {
			if c == '\n' {
				r.newlines = append(r.newlines, i)
			}
		}
	}
	return 1 + sort.SearchInts(r.newlines, offset)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (r *reader) message(path string, v *hujson.Value, m protoreflect.Message) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.report.Errorf(path, "want an object, got %s", describe(v))
		return
	}
	seen := map[protoreflect.Name]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		field := join(path, printable(name))
		fields := m.Descriptor().Fields()
		fd := fields.ByName(protoreflect.Name(name))
		if fd == nil {
			fd = fields.ByJSONName(name)
		}
		if fd == nil {
			r.errorAt(member.Name.StartOffset, field, "unknown field"+suggestion(name, fields))
			continue
		}
		field = join(path, string(fd.Name()))
		if seen[fd.Name()] {
			r.errorAt(member.Name.StartOffset, field, "the field is given twice")
			continue
		}
		seen[fd.Name()] = true
		r.document.lines[field] = r.line(member.Name.StartOffset)
		r.field(field, &member.Value, m, fd)
	}
}

// printable quotes a name that would break the line of a finding.
func printable(name string) string {
	quoted := strconv.Quote(name)
	if quoted != `"`+name+`"` {
		return quoted
	}
	return name
}

// errorAt reports a finding on a line other than the one known for the field.
func (r *reader) errorAt(offset int, field, message string) {
	r.report.Findings = append(r.report.Findings, Finding{
		File: r.document.File, Line: r.line(offset), Field: field, Message: message,
	})
}

func (r *reader) field(path string, v *hujson.Value, m protoreflect.Message, fd protoreflect.FieldDescriptor) {
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		return // null means that the field is left out
	}
	if oneof := fd.ContainingOneof(); oneof != nil {
		if other := m.WhichOneof(oneof); other != nil {
			r.report.Errorf(path, "cannot be given together with %s", other.Name())
			return
		}
	}
	switch {
	case fd.IsList():
		r.list(path, v, m, fd)
	case isObject(fd):
		r.message(path, v, m.Mutable(fd).Message())
	default:
		if value, ok := r.leaf(path, v, m.New(), fd); ok {
			m.Set(fd, value)
		}
	}
}

func (r *reader) list(path string, v *hujson.Value, m protoreflect.Message, fd protoreflect.FieldDescriptor) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.report.Errorf(path, "want an array, got %s", describe(v))
		return
	}
	list := m.Mutable(fd).List()
	for i := range array.Elements {
		element := &array.Elements[i]
		field := fmt.Sprintf("%s[%d]", path, i)
		r.document.lines[field] = r.line(element.StartOffset)
		// An element is appended even when it is wrong, so that the indices
		// of the message stay those of the document.
		if isObject(fd) {
			r.message(field, element, list.AppendMutable().Message())
			continue
		}
		if value, ok := r.leaf(field, element, m.New(), fd); ok {
			list.Append(value.List().Get(0))
		} else {
			list.Append(list.NewElement())
		}
	}
}

// isObject tells whether the field is written as an object with named fields.
// Well-known types such as Duration have their own JSON form.
func isObject(fd protoreflect.FieldDescriptor) bool {
	return fd.Kind() == protoreflect.MessageKind &&
		fd.Message().ParentFile().Package() != "google.protobuf"
}

// leaf decodes one value with the rules of protojson into the scratch message.
func (r *reader) leaf(path string, v *hujson.Value, scratch protoreflect.Message, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	plain := v.Clone()
	plain.BeforeExtra, plain.AfterExtra = nil, nil
	plain.Standardize()
	text := string(plain.Pack())
	if fd.IsList() {
		text = "[" + text + "]"
	}
	text = fmt.Sprintf("{%q:%s}", fd.Name(), text)
	if err := protojson.Unmarshal([]byte(text), scratch.Interface()); err != nil {
		r.report.Errorf(path, "want %s, got %s", want(fd), describe(v))
		return protoreflect.Value{}, false
	}
	return scratch.Get(fd), true
}

func want(fd protoreflect.FieldDescriptor) string {
	switch fd.Kind() {
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return "a whole number from 0 to 4294967295"
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return "a whole number from 0 to 18446744073709551615"
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		return "a whole number"
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.StringKind:
		return "a string"
	case protoreflect.BytesKind:
		return "a base64 string"
	case protoreflect.EnumKind:
		return "one of " + strings.Join(enumNames(fd.Enum()), ", ")
	case protoreflect.MessageKind:
		if fd.Message().FullName() == "google.protobuf.Duration" {
			return `a duration in seconds such as "1.5s"`
		}
	}
	return "a value of type " + fd.Kind().String()
}

// enumNames leaves out the first value, which means "not given".
func enumNames(e protoreflect.EnumDescriptor) []string {
	var names []string
	for i := 1; i < e.Values().Len(); i++ {
		names = append(names, string(e.Values().Get(i).Name()))
	}
	return names
}

// maxShown is the longest value in bytes that a finding quotes.
const maxShown = 60

func describe(v *hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		if len(value) > maxShown {
			return string(value[:maxShown]) + "..."
		}
		return string(value)
	}
	return "nothing"
}

// suggestion names the field that differs from name only in case and
// underscores.
func suggestion(name string, fields protoreflect.FieldDescriptors) string {
	fold := func(s string) string { return strings.ToLower(strings.ReplaceAll(s, "_", "")) }
	for i := range fields.Len() {
		if known := string(fields.Get(i).Name()); fold(known) == fold(name) {
			return fmt.Sprintf("; did you mean %q?", known)
		}
	}
	return ""
}
