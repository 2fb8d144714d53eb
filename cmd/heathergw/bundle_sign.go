package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/schema"
)

// symmetricKeySize is the size in bytes of a fleet key and of a hash key.
const symmetricKeySize = 16

func keygenCommand() *cli.Command {
	return &cli.Command{
		Name:  "keygen",
		Usage: "create a key pair for signing, or print a symmetric key",
		Description: `Writes the private key to a new file and prints the public key for the
settings field bundle_public_keys:

   heathergw bundle keygen --out signer.pem

Prints a random key of 16 bytes for fleet_keys in the settings or for hash_key
in a bundle:

   heathergw bundle keygen --symmetric`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "new `FILE` for the private key"},
			&cli.BoolFlag{Name: "symmetric", Usage: "print a symmetric key instead"},
		},
		Action: runKeygen,
	}
}

func runKeygen(_ context.Context, c *cli.Command) error {
	if _, err := fileArguments(c, 0); err != nil {
		return err
	}
	out := c.String("out")
	if c.Bool("symmetric") == (out != "") {
		return usageError("give either --out FILE or --symmetric")
	}
	if out == "" {
		key := make([]byte, symmetricKeySize)
		_, _ = rand.Read(key) // never fails
		return printKey(c, key)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return usageError("create key: %w", err)
	}
	data, err := bundle.EncodePrivateKey(private)
	if err != nil {
		return usageError("create key: %w", err)
	}
	if err := writeNewFile(out, data, 0o600); err != nil {
		return err
	}
	return printKey(c, public)
}

func printKey(c *cli.Command, key []byte) error {
	_, err := fmt.Fprintln(c.Root().Writer, base64.StdEncoding.EncodeToString(key))
	return err
}

func signCommand() *cli.Command {
	return &cli.Command{
		Name:      "sign",
		Usage:     "check and sign a bundle document",
		ArgsUsage: "DOCUMENT",
		Description: `Signs on top of the predecessor, whose digest becomes part of the new bundle.
A document with errors is not signed; warnings are printed.

   heathergw bundle sign --key signer.pem --out 1.bundle 1.jsonc
   heathergw bundle sign --key signer.pem --predecessor 1.bundle --out 2.bundle 2.jsonc`,
		Flags: []cli.Flag{
			keyFlag(), predecessorFlag(false), outFlag("signed bundle"),
			&cli.StringSliceFlag{Name: "endorsement", Usage: "key endorsement `FILE` to add; may be repeated"},
		},
		Action: runSign,
	}
}

func runSign(_ context.Context, c *cli.Command) error {
	files, err := fileArguments(c, 1)
	if err != nil {
		return err
	}
	predecessor, err := readPredecessor(c)
	if err != nil {
		return err
	}
	var endorsements []*schema.KeyEndorsement
	for _, path := range c.StringSlice("endorsement") {
		e, err := readEndorsement(path)
		if err != nil {
			return err
		}
		endorsements = append(endorsements, e)
	}
	b, err := checkDocument(c, files[0], predecessor)
	if err != nil {
		return err
	}
	return signAndWrite(c, b, predecessor, endorsements)
}

// signAndWrite signs b with the key of --key, writes it to the file of --out and
// prints its version.
func signAndWrite(c *cli.Command, b *schema.Bundle, predecessor *bundle.Signed, endorsements []*schema.KeyEndorsement) error {
	key, err := readPrivateKey(c.String("key"))
	if err != nil {
		return err
	}
	s, err := bundle.Sign(b, predecessor, key, time.Now(), endorsements...)
	if err != nil {
		return findingsError(err)
	}
	if err := writeNewFile(c.String("out"), s.Bytes(), 0o644); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "bundle %s signed by %s, %d bytes\n", s.Version(), bundle.KeyFingerprint(s.PublicKey()), len(s.Bytes()))
	return err
}

func endorseCommand() *cli.Command {
	return &cli.Command{
		Name:  "endorse",
		Usage: "let an accepted key authorize a new one",
		Description: `Writes an endorsement for "bundle sign --endorsement". Every later bundle
carries it, so that processes whose settings hold only the old key accept the
new one. To withdraw a key, take it and the keys that it endorsed out of the
settings of all processes.

   heathergw bundle endorse --key old.pem --new-key BASE64 --out new.endorsement`,
		Flags: []cli.Flag{
			keyFlag(), outFlag("endorsement"),
			&cli.StringFlag{Name: "new-key", Usage: "public key to accept, in `BASE64`", Required: true},
		},
		Action: runEndorse,
	}
}

func runEndorse(_ context.Context, c *cli.Command) error {
	if _, err := fileArguments(c, 0); err != nil {
		return err
	}
	newKey, err := parsePublicKey(c.String("new-key"))
	if err != nil {
		return err
	}
	key, err := readPrivateKey(c.String("key"))
	if err != nil {
		return err
	}
	e, err := bundle.Endorse(newKey, key)
	if err != nil {
		return usageError("%w", err)
	}
	return writeNewFile(c.String("out"), endorsementText(e), 0o644)
}

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollback",
		Usage: "sign the content of an older bundle with a new, higher sequence",
		Description: `The result follows the predecessor, which must be the bundle in force, and is
checked like any other change. Targets that were added since would lose their
flows; --drain-added keeps them as draining targets, and a later bundle can
remove them.

   heathergw bundle rollback --key signer.pem --to 3.bundle --predecessor 5.bundle --out 6.bundle`,
		Flags: []cli.Flag{
			keyFlag(), predecessorFlag(true), outFlag("signed bundle"),
			&cli.StringFlag{Name: "to", Usage: "signed bundle `FILE` whose content returns", Required: true},
			&cli.BoolFlag{Name: "drain-added", Usage: "keep targets that were added since as draining targets"},
		},
		Action: runRollback,
	}
}

func runRollback(_ context.Context, c *cli.Command) error {
	if _, err := fileArguments(c, 0); err != nil {
		return err
	}
	predecessor, err := readPredecessor(c)
	if err != nil {
		return err
	}
	old, err := readSigned(c.String("to"))
	if err != nil {
		return err
	}
	if old.Sequence >= predecessor.Sequence {
		return usageError("--to is bundle %s, which is not older than the predecessor %s", old.Version(), predecessor.Version())
	}
	b := bundle.RollBack(old, predecessor, c.Bool("drain-added"))
	if err := reportFindings(c, bundle.Check(b, nil, predecessor)); err != nil {
		return err
	}
	return signAndWrite(c, b, predecessor, nil)
}
