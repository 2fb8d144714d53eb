// Package capacity contains benchmarks of the memory and CPU time of one flow,
// one message and one bundle, and tests of the resident memory of real
// processes. docs/CAPACITY.md multiplies these figures by the design size.
package capacity
