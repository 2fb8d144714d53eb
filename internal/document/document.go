package document

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/proto"
)

// MaxSize is the largest accepted document in bytes. A bundle of the design size
// (2,300 targets) takes less than 1 MB as text.
const MaxSize = 4 << 20

// maxDepth limits the nesting of objects and arrays. The messages need 7 levels;
// the parser is recursive and would exhaust the stack without a limit.
const maxDepth = 64

// Document records on which line of a parsed document each field stands.
type Document struct {
	File  string
	lines map[string]int
}

// Line returns the line of the field, counted from 1. For a field that the
// document omits it returns the line of the closest parent.
func (d *Document) Line(field string) int {
	if d == nil {
		return 0
	}
	for {
		if line, ok := d.lines[field]; ok || field == "" {
			return line
		}
		field = parentField(field)
	}
}

// parentField returns the path of the object or array that contains the field.
func parentField(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

// Read reads the file into m as Parse does. The error is Findings, or the
// error of the file system.
func Read(file string, m proto.Message) (*Document, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	return Parse(file, data, m)
}

// Parse reads JSON with comments into m. Field names are those of the protobuf
// message. The error is Findings with every unknown field and every value of a
// wrong type; m then holds the fields that could be read. After a syntax error
// the findings hold only that error.
func Parse(file string, data []byte, m proto.Message) (*Document, error) {
	d := &Document{File: file, lines: map[string]int{"": 1}}
	r := &Report{Document: d}
	if len(data) > MaxSize {
		r.Errorf("", "the document is larger than %d bytes", MaxSize)
		return d, r.Findings
	}
	if line := lineExceedingDepth(data); line > 0 {
		d.lines[""] = line
		r.Errorf("", "objects and arrays are nested more than %d deep", maxDepth)
		return d, r.Findings
	}
	value, err := hujson.Parse(data)
	if err != nil {
		line, message := syntaxError(err)
		d.lines[""] = line
		r.Errorf("", "syntax error: %s", message)
		return d, r.Findings
	}
	reader := &reader{data: data, document: d, report: r}
	reader.message("", &value, m.ProtoReflect())
	return d, r.Findings.Err()
}

var positionPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxError(err error) (line int, message string) {
	match := positionPattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 1, err.Error()
	}
	line, _ = strconv.Atoi(match[1])
	return line, fmt.Sprintf("column %s: %s", match[2], match[3])
}

// lineExceedingDepth returns the line on which the nesting exceeds maxDepth, or 0.
func lineExceedingDepth(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i += stringEnd(data[i+1:])
		case '/':
			i += commentEnd(data[i:])
		case '{', '[':
			if depth++; depth > maxDepth {
				return lineAt(data, i)
			}
		case '}', ']':
			depth--
		}
	}
	return 0
}

// stringEnd returns the number of bytes up to and including the closing quote.
func stringEnd(data []byte) int {
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

// commentEnd returns the offset of the last byte of the comment at the start
// of data, or 0 when there is none.
func commentEnd(data []byte) int {
	var end []byte
	switch {
	case bytes.HasPrefix(data, []byte("//")):
		end = []byte("\n")
	case bytes.HasPrefix(data, []byte("/*")):
		end = []byte("*/")
	default:
		return 0
	}
	i := bytes.Index(data[2:], end)
	if i < 0 {
		return len(data) - 1
	}
	return 2 + i + len(end) - 1
}

func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}
