// Package document reads JSON with comments into protobuf messages. It finds
// all problems of a document and reports them together, each with its file,
// line and field.
package document

import (
	"fmt"
	"strings"
)

// Severity tells whether a finding makes a document unusable.
type Severity int

// Severities of a finding.
const (
	// SeverityError makes the document unusable.
	SeverityError Severity = iota
	// SeverityWarning leaves the decision to the operator.
	SeverityWarning
)

// String returns "error" or "warning".
func (s Severity) String() string {
	if s == SeverityWarning {
		return "warning"
	}
	return "error"
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one problem of a document.
type Finding struct {
	Severity Severity `json:"severity"`
	// File is empty for a message that was not read from a document.
	File string `json:"file"`
	// Line counts from 1; 0 when it is unknown.
	Line int `json:"line"`
	// Field is a path such as "services[1].targets[0].slots"; empty for the
	// whole document.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Error formats the finding as "file:line: field: message". A warning carries
// the word "warning" before its message.
func (f Finding) Error() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	if f.Severity == SeverityWarning {
		b.WriteString("warning: ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Findings are the problems of one document in the order in which they were
// found. A non-empty list is an error value; use Err to get nil for a list
// without errors.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Error()
	}
	return strings.Join(lines, "\n")
}

// Errors returns the findings with SeverityError.
func (f Findings) Errors() Findings { return f.withSeverity(SeverityError) }

// Warnings returns the findings with SeverityWarning.
func (f Findings) Warnings() Findings { return f.withSeverity(SeverityWarning) }

// Err returns the findings with SeverityError as an error, or nil if there are
// none.
func (f Findings) Err() error {
	if errors := f.Errors(); len(errors) > 0 {
		return errors
	}
	return nil
}

func (f Findings) withSeverity(s Severity) Findings {
	var result Findings
	for _, finding := range f {
		if finding.Severity == s {
			result = append(result, finding)
		}
	}
	return result
}

// Report collects the findings of a check. With the zero value the findings have
// no file and line.
type Report struct {
	Document *Document
	Findings Findings
}

// Errorf adds an error for the field.
func (r *Report) Errorf(field, format string, args ...any) {
	r.add(SeverityError, field, fmt.Sprintf(format, args...))
}

// Warnf adds a warning for the field.
func (r *Report) Warnf(field, format string, args ...any) {
	r.add(SeverityWarning, field, fmt.Sprintf(format, args...))
}

func (r *Report) add(s Severity, field, message string) {
	f := Finding{Severity: s, Field: field, Message: message}
	if r.Document != nil {
		f.File, f.Line = r.Document.File, r.Document.Line(field)
	}
	r.Findings = append(r.Findings, f)
}

// Join appends the findings of a later check. It skips a field that already has
// an error, or that lies inside a field with an error, because the later check
// did not see its value.
func (f Findings) Join(later Findings) Findings {
	failed := map[string]bool{}
	for _, finding := range f.Errors() {
		failed[finding.Field] = true
	}
	for _, finding := range later {
		if !hasFailed(finding.Field, failed) {
			f = append(f, finding)
		}
	}
	return f
}

// hasFailed reports whether the field or one of its parents is in failed.
func hasFailed(field string, failed map[string]bool) bool {
	for ; field != ""; field = parentField(field) {
		if failed[field] {
			return true
		}
	}
	return false
}
