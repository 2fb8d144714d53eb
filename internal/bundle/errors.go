package bundle

import "github.com/joomcode/errorx"

var errorSpace = errorx.NewNamespace("bundle")

// Error types of this package. Callers distinguish them with errorx.IsOfType.
var (
	// MalformedError means that a bundle, a key or an endorsement is not in a
	// valid form.
	MalformedError = newErrorType("malformed")
	// TooLargeError means that a bundle exceeds MaxSize.
	TooLargeError = newErrorType("too_large")
	// DigestError means that a section is missing or differs from the manifest.
	DigestError = newErrorType("digest")
	// SignatureError means that no accepted key signed the bundle.
	SignatureError = newErrorType("signature")
	// OrderError means that the sequence of a bundle is out of range or does not
	// follow its predecessor.
	OrderError = newErrorType("order")
	// ContentError means that the content cannot be compiled into a view.
	ContentError = newErrorType("content")
)

// newErrorType returns an error type without stack traces: the errors describe
// invalid input, and peers can cause many of them.
func newErrorType(name string) *errorx.Type {
	return errorSpace.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}
