package bundle

import "github.com/joomcode/errorx"

var errorSpace = errorx.NewNamespace("bundle")

// Types of the errors of this package. A caller tells them apart with
// errorx.IsOfType.
var (
	// MalformedError means that bytes are not a signed bundle.
	MalformedError = newErrorType("malformed")
	// TooLargeError means that a bundle exceeds MaxSize.
	TooLargeError = newErrorType("too_large")
	// DigestError means that a section is missing or differs from the manifest.
	DigestError = newErrorType("digest")
	// SignatureError means that no accepted key signed the bundle.
	SignatureError = newErrorType("signature")
	// OrderError means that a bundle does not follow its predecessor.
	OrderError = newErrorType("order")
	// ContentError means that the content cannot be compiled into a view.
	ContentError = newErrorType("content")
)

// newErrorType leaves out stack traces: the errors describe input, and peers
// can cause many of them.
func newErrorType(name string) *errorx.Type {
	return errorSpace.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}
