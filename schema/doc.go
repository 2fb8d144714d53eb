// Package schema holds the messages, settings and bundle documents of
// heathergw. The Go code is generated from the .proto files in this folder by
// tools/generate.sh.
package schema
