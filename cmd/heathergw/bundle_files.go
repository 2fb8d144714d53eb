package main

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/document"
	"github.com/heathergw/heathergw/schema"
)

// usageError and findingsError return errors that carry their exit code.
func usageError(format string, args ...any) error {
	return cli.Exit(fmt.Errorf(format, args...), exitUsage)
}

func findingsError(err error) error { return cli.Exit(err, exitFindings) }

// fileArguments returns the file names given to a command that takes exactly n.
func fileArguments(c *cli.Command, n int) ([]string, error) {
	if c.Args().Len() != n {
		return nil, usageError("%s takes %d file names, got %d; see %s --help", c.FullName(), n, c.Args().Len(), c.FullName())
	}
	return c.Args().Slice(), nil
}

// readFile reads a file and rejects one with more than limit bytes.
func readFile(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, usageError("%w", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, usageError("read %s: %w", path, err)
	}
	if int64(len(data)) > limit {
		return nil, findingsError(fmt.Errorf("%s: the file has more than %d bytes", path, limit))
	}
	return data, nil
}

func readSigned(path string) (*bundle.Signed, error) {
	data, err := readFile(path, bundle.MaxSize)
	if err != nil {
		return nil, err
	}
	s, err := bundle.Parse(data)
	if err != nil {
		return nil, findingsError(fmt.Errorf("%s: %w", path, err))
	}
	return s, nil
}

// readPredecessor reads the bundle of --predecessor, or returns nil without the
// flag.
func readPredecessor(c *cli.Command) (*bundle.Signed, error) {
	return readPredecessorFile(c.String("predecessor"))
}

// readPredecessorFile returns nil for an empty path.
func readPredecessorFile(path string) (*bundle.Signed, error) {
	if path == "" {
		return nil, nil
	}
	return readSigned(path)
}

// readDocument returns the decoded bundle, the document and the findings of its
// syntax and field types.
func readDocument(path string) (*schema.Bundle, *document.Document, document.Findings, error) {
	b := &schema.Bundle{}
	d, err := document.Read(path, b)
	if d == nil {
		return nil, nil, nil, usageError("%w", err)
	}
	var findings document.Findings
	errors.As(err, &findings)
	return b, d, findings, nil
}

// checkDocument reads and checks a document, prints its warnings, and returns
// its errors with exitFindings.
func checkDocument(c *cli.Command, path string, predecessor *bundle.Signed) (*schema.Bundle, error) {
	b, findings, err := documentFindings(path, predecessor)
	if err != nil {
		return nil, err
	}
	if err := reportFindings(c, findings); err != nil {
		return nil, err
	}
	return b, nil
}

// documentFindings reads and checks a document and returns all its findings.
func documentFindings(path string, predecessor *bundle.Signed) (*schema.Bundle, document.Findings, error) {
	b, d, findings, err := readDocument(path)
	if err != nil {
		return nil, nil, err
	}
	if len(findings) == 0 || findings[0].Field != "" {
		findings = findings.Join(bundle.Check(b, d, predecessor))
	}
	return b, findings, nil
}

// reportFindings prints the warnings and returns the errors with exitFindings.
func reportFindings(c *cli.Command, findings document.Findings) error {
	if warnings := findings.Warnings(); len(warnings) > 0 {
		fmt.Fprintln(c.Root().ErrWriter, warnings.Error())
	}
	if err := findings.Err(); err != nil {
		return findingsError(err)
	}
	return nil
}

// readView reads a signed bundle or a document. It distinguishes them by their
// content: no document parses as a signed bundle.
func readView(path string) (*bundle.View, error) {
	data, err := readFile(path, document.MaxSize)
	if err != nil {
		return nil, err
	}
	b, digest := &schema.Bundle{}, bundle.Digest{}
	if s, signedErr := bundle.Parse(data); signedErr == nil {
		b, digest = s.Bundle(), s.Digest
	} else if strings.ContainsRune(string(data), 0) {
		return nil, findingsError(fmt.Errorf("%s: %w", path, signedErr))
	} else if _, err := document.Parse(path, data, b); err != nil {
		return nil, findingsError(err)
	}
	v, err := bundle.NewView(b, digest)
	if err != nil {
		return nil, findingsError(fmt.Errorf("%s: %w", path, err))
	}
	return v, nil
}

func readPrivateKey(path string) (ed25519.PrivateKey, error) {
	const maxKeyFile = 1 << 16 // bytes
	data, err := readFile(path, maxKeyFile)
	if err != nil {
		return nil, err
	}
	key, err := bundle.DecodePrivateKey(data)
	if err != nil {
		return nil, usageError("%s: %w", path, err)
	}
	return key, nil
}

func parsePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, usageError("%q is not a base64 public key of %d bytes", text, ed25519.PublicKeySize)
	}
	return key, nil
}

func readEndorsement(path string) (*schema.KeyEndorsement, error) {
	e := &schema.KeyEndorsement{}
	d, err := document.Read(path, e)
	if d == nil {
		return nil, usageError("%w", err)
	}
	if err != nil {
		return nil, findingsError(err)
	}
	return e, nil
}

func endorsementText(e *schema.KeyEndorsement) []byte {
	text := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Format(e)
	return []byte(text + "\n")
}

// writeNewFile fails when the file exists, so that no signed bundle or key is
// overwritten.
func writeNewFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return usageError("%w", err)
	}
	_, err = f.Write(data)
	if err := errors.Join(err, f.Close()); err != nil {
		return usageError("write %s: %w", path, err)
	}
	return nil
}
