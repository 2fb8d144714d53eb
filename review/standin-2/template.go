//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// fields are the values from which the platform fills in a settings template.
type fields map[string]any

var placeholder = regexp.MustCompile(`\{\{([^{}]*)\}\}`)

// lookup returns the value of a path such as "Bounds.GraceS" or "PortRange.0".
func (f fields) lookup(path string) any {
	var value any = map[string]any(f)
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			i := 0
			if _, err := fmt.Sscan(name, &i); err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

// render fills in a template: values, sections over lists and sections that are left
// out without a value, as the page on the deploy file describes them.
func (f fields) render(template string) string {
	for {
		start := strings.Index(template, "{{#")
		if start < 0 {
			break
		}
		nameEnd := start + strings.Index(template[start:], "}}")
		name := template[start+3 : nameEnd]
		closing := "{{/" + name + "}}"
		end := strings.Index(template, closing)
		body := template[nameEnd+2 : end]
		template = template[:start] + f.section(name, body) + template[end+len(closing):]
	}
	return placeholder.ReplaceAllStringFunc(template, func(m string) string {
		return text(f.lookup(strings.Trim(m, "{}")))
	})
}

func (f fields) section(name, body string) string {
	value := f.lookup(name)
	list, isList := value.([]any)
	switch {
	case value == nil:
		return ""
	case !isList:
		return strings.ReplaceAll(body, "{{.}}", text(value))
	}
	var result strings.Builder
	for i, entry := range list {
		separator := ","
		if i == len(list)-1 {
			separator = ""
		}
		one := strings.ReplaceAll(body, "{{.}}", text(entry))
		result.WriteString(strings.ReplaceAll(one, "{{,}}", separator))
	}
	return result.String()
}

func text(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		b, err := json.Marshal(v)
		if err != nil {
			panic(err) // the values are plain
		}
		return string(b)
	}
}
