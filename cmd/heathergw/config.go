package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/heathergw/heathergw/internal/configcheck"
	"github.com/heathergw/heathergw/internal/document"
	adapter "github.com/heathergw/heathergw/platform"
	"github.com/heathergw/heathergw/schema"
)

// Values of --format.
const (
	formatText = "text"
	formatJSON = "json"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:     "config",
		Usage:    "check the configuration that the store holds",
		Commands: []*cli.Command{configCheckCommand()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return showHelp(ctx, c)
			}
			return cli.ShowSubcommandHelp(c)
		},
	}
}

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "report all findings of a configuration before it is stored",
		ArgsUsage: "NEW",
		Description: `NEW is the configuration as JSON, as the store holds it. Prints every finding with
file, line and field: errors, for which the processes refuse the configuration,
and warnings. With the current configuration it also prints the differences. A
bundle document is checked as by heathergw bundle check; OLD is then its signed
predecessor, and no differences are printed.

   heathergw config check --current 7.json 8.json

Exit codes: 0 no errors, and with --strict no warnings; 1 findings; 2 usage or file
error.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "current", Usage: "configuration `OLD` that is in force"},
			&cli.StringFlag{Name: "format", Usage: "`FORMAT` of the output, text or json", Value: formatText},
			&cli.BoolFlag{Name: "strict", Usage: "treat warnings as errors in the exit code"},
		},
		Action: runConfigCheck,
	}
}

// configResult is the outcome of a check.
type configResult struct {
	Findings document.Findings `json:"findings"`
	// Changes is nil if they were not determined.
	Changes []configcheck.Change `json:"changes,omitempty"`
}

func runConfigCheck(_ context.Context, c *cli.Command) error {
	files, err := fileArguments(c, 1)
	if err != nil {
		return err
	}
	format := c.String("format")
	if format != formatText && format != formatJSON {
		return usageError("--format %q is neither %s nor %s", format, formatText, formatJSON)
	}
	data, err := readFile(files[0], document.MaxSize)
	if err != nil {
		return err
	}
	check := checkConfiguration
	if isBundleDocument(data) {
		check = checkBundleDocument
	}
	result, err := check(files[0], data, c.String("current"))
	if err != nil {
		return err
	}
	return reportResult(c, result, format)
}

// isBundleDocument reports whether the data is a bundle document, with or without syntax
// errors. The parser of bundles accepts comments; its syntax errors are also those of JSON.
func isBundleDocument(data []byte) bool {
	names, err := document.Names(data)
	if err != nil {
		return !json.Valid(data)
	}
	fields := (&schema.Bundle{}).ProtoReflect().Descriptor().Fields()
	return !adapter.NamesConfiguration(names) && slices.ContainsFunc(names, func(name string) bool {
		return fields.ByName(protoreflect.Name(name)) != nil
	})
}

func checkBundleDocument(path string, _ []byte, current string) (*configResult, error) {
	predecessor, err := readPredecessorFile(current)
	if err != nil {
		return nil, err
	}
	_, findings, err := documentFindings(path, predecessor)
	return &configResult{Findings: findings}, err
}

func checkConfiguration(path string, data []byte, current string) (*configResult, error) {
	c, findings := adapter.ReadConfiguration(path, data)
	if c != nil {
		findings = findings.Join(configcheck.Check(c))
	}
	result := &configResult{Findings: findings}
	if current == "" {
		return result, nil
	}
	data, err := readFile(current, document.MaxSize)
	if err != nil {
		return nil, err
	}
	before, beforeFindings := adapter.ReadConfiguration(current, data)
	result.Findings = append(result.Findings, beforeFindings.Errors()...)
	// Of a refused configuration some routes may be missing, which is no difference.
	if result.Findings.Err() == nil {
		result.Findings = append(result.Findings, configcheck.CheckVersion(before, c)...)
		result.Changes = configcheck.Compare(before, c)
	}
	return result, nil
}

func reportResult(c *cli.Command, result *configResult, format string) error {
	failed := result.Findings.Err() != nil || c.Bool("strict") && len(result.Findings) > 0
	if format == formatJSON {
		if result.Findings == nil {
			result.Findings = document.Findings{}
		}
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return err
		}
	} else {
		for _, change := range result.Changes {
			if _, err := fmt.Fprintln(c.Root().Writer, change); err != nil {
				return err
			}
		}
		if err := reportFindings(c, result.Findings); err != nil {
			return err
		}
	}
	if failed {
		return cli.Exit("", exitFindings)
	}
	return nil
}
