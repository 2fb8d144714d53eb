// Package capacity measures what one flow, one message and one bundle cost, and
// the resident memory of real processes. docs/CAPACITY.md multiplies these
// figures by the design size.
package capacity
