//go:build review

package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// roleCommand returns the words of the command of a role in the deploy file, with the
// path of the settings file in place of the platform's.
func roleCommand(role, settingsPath string) ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	_, section, found := strings.Cut(string(data), "[roles."+role+"]")
	if !found {
		return nil, fmt.Errorf("deploy/system.toml: no role %s", role)
	}
	for line := range strings.Lines(section) {
		name, value, ok := strings.Cut(line, "=")
		if !ok || strings.TrimSpace(name) != "run" {
			continue
		}
		words := strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		for i, word := range words {
			if word == "/etc/heathergw/boot.yaml" {
				words[i] = settingsPath
			}
		}
		return words, nil
	}
	return nil, fmt.Errorf("deploy/system.toml: role %s has no command", role)
}

var (
	seedSection = regexp.MustCompile(`\{\{#Seeds\}\}.*?\{\{/Seeds\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)
)

// fillTemplate fills in a settings template of the deploy file.
func fillTemplate(path string, seeds []string, values map[string]string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = `"` + s + `"`
	}
	text := seedSection.ReplaceAllString(string(data), strings.Join(quoted, ","))
	var missing error
	text = placeholder.ReplaceAllStringFunc(text, func(match string) string {
		name := strings.Trim(match, "{}")
		value, ok := values[name]
		if !ok {
			missing = fmt.Errorf("%s: no value for %s", path, name)
		}
		return value
	})
	return text, missing
}
