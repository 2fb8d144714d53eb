package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/bundle/plan"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "report all findings of a bundle document",
		ArgsUsage: "DOCUMENT",
		Description: `Prints every finding with file, line and field. With the predecessor it also
checks that the change breaks no flow and mixes no services.

   heathergw bundle check --predecessor 4.bundle 5.jsonc`,
		Flags:  []cli.Flag{predecessorFlag(false)},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	files, err := fileArguments(c, 1)
	if err != nil {
		return err
	}
	predecessor, err := readPredecessor(c)
	if err != nil {
		return err
	}
	_, err = checkDocument(c, files[0], predecessor)
	return err
}

// Sampled flows for each address of a plan. With 2,000 flows the shares are
// accurate to about 2 percentage points.
const (
	defaultSample = 2000
	maxSample     = 100000
)

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show the effect of a change from one bundle to another",
		ArgsUsage: "OLD NEW",
		Description: `OLD and NEW are signed bundles or documents. Lists added and removed addresses,
targets that will drain, and the share of sampled flows whose candidates
change. Established flows stay with their targets; the share concerns new
flows and the look-ups that find the owner of an established one.

   heathergw bundle diff 4.bundle 5.jsonc`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "sample", Usage: "sampled flows for each address", Value: defaultSample},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the sample", Value: 1},
		},
		Action: runDiff,
	}
}

func runDiff(_ context.Context, c *cli.Command) error {
	files, err := fileArguments(c, 2)
	if err != nil {
		return err
	}
	flows := c.Int("sample")
	if flows < 1 || flows > maxSample {
		return usageError("--sample %d is not from 1 to %d", flows, maxSample)
	}
	from, err := readView(files[0])
	if err != nil {
		return err
	}
	to, err := readView(files[1])
	if err != nil {
		return err
	}
	return plan.New(from, to, flows, c.Uint64("seed")).Write(c.Root().Writer)
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "print a signed bundle and verify its signature",
		ArgsUsage: "FILE",
		Description: `With --public-key, the signature must chain to one of the given keys. With
--json, prints the content as a document that can be edited and signed again.

   heathergw bundle show --public-key BASE64 5.bundle
   heathergw bundle show --json 5.bundle > 6.jsonc`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "public-key", Usage: "accepted root key in `BASE64`; may be repeated"},
			&cli.BoolFlag{Name: "json", Usage: "print the content as a document"},
		},
		Action: runShow,
	}
}

func runShow(_ context.Context, c *cli.Command) error {
	files, err := fileArguments(c, 1)
	if err != nil {
		return err
	}
	var rootKeys []ed25519.PublicKey
	for _, text := range c.StringSlice("public-key") {
		key, err := parsePublicKey(text)
		if err != nil {
			return err
		}
		rootKeys = append(rootKeys, key)
	}
	s, err := readSigned(files[0])
	if err != nil {
		return err
	}
	if len(rootKeys) > 0 {
		if err := bundle.Verify(s, rootKeys); err != nil {
			return findingsError(fmt.Errorf("%s: %w", files[0], err))
		}
	}
	if c.Bool("json") {
		return writeDocument(c.Root().Writer, s)
	}
	return writeSummary(c.Root().Writer, s, len(rootKeys) > 0)
}

func writeSummary(w io.Writer, s *bundle.Signed, verified bool) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "sequence:    %d\ndigest:      %s\n", s.Sequence, s.Digest)
	if s.Predecessor.Sequence > 0 {
		fmt.Fprintf(&b, "predecessor: %s\n", s.Predecessor)
	}
	fmt.Fprintf(&b, "signed at:   %s\nsigned by:   %s", s.SignedAt.Format(time.RFC3339), bundle.KeyFingerprint(s.PublicKey()))
	if verified {
		b.WriteString(" (verified)\n")
	} else {
		b.WriteString(" (not verified; give --public-key)\n")
	}
	for _, e := range s.Endorsements() {
		fmt.Fprintf(&b, "endorsement: %s by %s\n", bundle.KeyFingerprint(e.GetPublicKey()), bundle.KeyFingerprint(e.GetSignedBy()))
	}
	fmt.Fprintf(&b, "note:        %q\nsize:        %d bytes\n", s.Bundle().GetNote(), len(s.Bytes()))
	for _, service := range s.Bundle().GetServices() {
		fmt.Fprintf(&b, "service %d %q: %d addresses, %d targets\n",
			service.GetId(), service.GetName(), len(service.GetAddresses()), len(service.GetTargets()))
	}
	_, err := b.WriteTo(w)
	return err
}

// writeDocument writes the content of a bundle as a document, without the fields
// that signing sets.
func writeDocument(w io.Writer, s *bundle.Signed) error {
	content := bundle.Unsigned(s)
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(content)
	if err != nil {
		return findingsError(err)
	}
	// protojson varies its white space on purpose; json.Indent normalizes it.
	var text bytes.Buffer
	if err := json.Indent(&text, data, "", "  "); err != nil {
		return findingsError(err)
	}
	text.WriteByte('\n')
	_, err = text.WriteTo(w)
	return err
}
