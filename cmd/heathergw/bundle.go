package main

import (
	"github.com/urfave/cli/v3"
)

const bundleHelp = `A bundle is prepared as JSON with comments, checked, compared with the one in
force, signed, and stored on the platform under the key given in the settings:

   heathergw bundle keygen --out signer.pem
   heathergw bundle check --predecessor 4.bundle 5.jsonc
   heathergw bundle diff 4.bundle 5.jsonc
   heathergw bundle sign --key signer.pem --predecessor 4.bundle --out 5.bundle 5.jsonc
   heathergw bundle show 5.bundle

To return to the content of an earlier bundle:

   heathergw bundle rollback --key signer.pem --to 3.bundle --predecessor 5.bundle --out 6.bundle

Exit codes: 0 success; 1 findings in a bundle; 2 usage or file error.`

func bundleCommand() *cli.Command {
	return &cli.Command{
		Name:        "bundle",
		Usage:       "prepare, check, compare, sign and roll back configuration bundles",
		Description: bundleHelp,
		Commands: []*cli.Command{
			keygenCommand(),
			checkCommand(),
			diffCommand(),
			signCommand(),
			endorseCommand(),
			rollbackCommand(),
			showCommand(),
		},
	}
}

func keyFlag() cli.Flag {
	return &cli.StringFlag{Name: "key", Usage: "private key `FILE` of the signer (PKCS #8, PEM)", Required: true}
}

func outFlag(content string) cli.Flag {
	return &cli.StringFlag{Name: "out", Usage: "new `FILE` for the " + content + "; an existing file is not replaced", Required: true}
}

func predecessorFlag(required bool) cli.Flag {
	usage := "signed bundle `FILE` that the new one follows; only sequence 1 has none"
	return &cli.StringFlag{Name: "predecessor", Usage: usage, Required: required}
}
