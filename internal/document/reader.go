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

// reader copies a syntax tree into a message field by field, so that an error in
// one field does not hide errors in others.
type reader struct {
	data     []byte
	document *Document
	report   *Report
	// newlines holds the offsets of the line ends. It is filled on first use.
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

// joinPath appends a field name to the path of its parent.
func joinPath(path, name string) string {
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
		field := joinPath(path, quoteIfNeeded(name))
		fields := m.Descriptor().Fields()
		fd := fields.ByName(protoreflect.Name(name))
		if fd == nil {
			fd = fields.ByJSONName(name)
		}
		if fd == nil {
			r.errorAt(member.Name.StartOffset, field, "unknown field"+suggestion(name, fields))
			continue
		}
		field = joinPath(path, string(fd.Name()))
		if seen[fd.Name()] {
			r.errorAt(member.Name.StartOffset, field, "the field is given twice")
			continue
		}
		seen[fd.Name()] = true
		r.document.lines[field] = r.line(member.Name.StartOffset)
		r.field(field, &member.Value, m, fd)
	}
}

// quoteIfNeeded quotes a name with characters that need escaping, such as line
// breaks, because each finding is printed on one line.
func quoteIfNeeded(name string) string {
	quoted := strconv.Quote(name)
	if quoted != `"`+name+`"` {
		return quoted
	}
	return name
}

// errorAt adds an error with the line of offset instead of the line recorded for
// the field.
func (r *reader) errorAt(offset int, field, message string) {
	r.report.Findings = append(r.report.Findings, Finding{
		File: r.document.File, Line: r.line(offset), Field: field, Message: message,
	})
}

func (r *reader) field(path string, v *hujson.Value, m protoreflect.Message, fd protoreflect.FieldDescriptor) {
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		return // null means that the field is not set
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
		// An invalid element is appended too, so that the indices in the
		// message match those in the document.
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

// isObject reports whether the field is written as an object with named fields.
// Well-known types such as Duration have their own JSON form.
func isObject(fd protoreflect.FieldDescriptor) bool {
	return fd.Kind() == protoreflect.MessageKind &&
		fd.Message().ParentFile().Package() != "google.protobuf"
}

// leaf decodes one value by the rules of protojson, using the scratch message.
func (r *reader) leaf(path string, v *hujson.Value, scratch protoreflect.Message, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	standard := v.Clone()
	standard.BeforeExtra, standard.AfterExtra = nil, nil
	standard.Standardize()
	text := string(standard.Pack())
	if fd.IsList() {
		text = "[" + text + "]"
	}
	text = fmt.Sprintf("{%q:%s}", fd.Name(), text)
	if err := protojson.Unmarshal([]byte(text), scratch.Interface()); err != nil {
		r.report.Errorf(path, "want %s, got %s", expectedValue(fd), describe(v))
		return protoreflect.Value{}, false
	}
	return scratch.Get(fd), true
}

// expectedValue describes the values that the field accepts.
func expectedValue(fd protoreflect.FieldDescriptor) string {
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

// enumNames returns the names of all values but the first, which means that the
// field is not set.
func enumNames(e protoreflect.EnumDescriptor) []string {
	var names []string
	for i := 1; i < e.Values().Len(); i++ {
		names = append(names, string(e.Values().Get(i).Name()))
	}
	return names
}

// maxQuotedBytes is the longest part of a value that a finding quotes.
const maxQuotedBytes = 60

func describe(v *hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		if len(value) > maxQuotedBytes {
			return string(value[:maxQuotedBytes]) + "..."
		}
		return string(value)
	}
	return "nothing"
}

// suggestion proposes the field whose name differs from the given one only in
// case and underscores.
func suggestion(name string, fields protoreflect.FieldDescriptors) string {
	normalize := func(s string) string { return strings.ToLower(strings.ReplaceAll(s, "_", "")) }
	for i := range fields.Len() {
		if known := string(fields.Get(i).Name()); normalize(known) == normalize(name) {
			return fmt.Sprintf("; did you mean %q?", known)
		}
	}
	return ""
}
