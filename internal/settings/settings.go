// Package settings reads and checks the settings of one process.
package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/internal/document"
	"github.com/heathergw/heathergw/schema"
)

// Defaults of fields that the settings leave out.
const (
	// DefaultInnerMTU is in bytes. It leaves room for the outer headers in a
	// frame of 1,500 bytes.
	DefaultInnerMTU = 1400
	// DefaultMaxWorkers limits the default number of workers; below the limit it is
	// the number of CPUs.
	DefaultMaxWorkers = 8
	// DefaultCacheFlows is the number of flows in an entry's cache.
	DefaultCacheFlows = 262144
	// DefaultStopIdle is the time without any packet after which a stopping entry
	// exits.
	DefaultStopIdle = 2 * time.Second
	// DefaultStopDeadline is the latest end of a planned stop of an entry.
	DefaultStopDeadline = 60 * time.Second
)

// FleetKeySize is the size of a fleet key in bytes (SipHash-2-4).
const FleetKeySize = 16

// Load reads a settings file, applies the defaults and checks the result. The
// error is document.Findings with all errors of the file, or the error of the
// file system. Load ignores warnings; Read returns them.
func Load(path string) (*schema.Settings, error) {
	s, findings, err := Read(path)
	if err != nil {
		return nil, err
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Read reads a settings file, applies the defaults and returns all findings,
// warnings too. The error is that of the file system.
func Read(path string) (*schema.Settings, document.Findings, error) {
	s := &schema.Settings{}
	d, err := document.Read(path, s)
	if d == nil {
		return nil, nil, err
	}
	return s, checkParsed(s, d, err), nil
}

// Parse does what Read does for settings held in memory; file names their
// source in findings.
func Parse(file string, data []byte) (*schema.Settings, document.Findings) {
	s := &schema.Settings{}
	d, err := document.Parse(file, data, s)
	return s, checkParsed(s, d, err)
}

// checkParsed applies the defaults and joins the findings of the document with
// those of Check. After a syntax error no field was read, so it returns only that
// error.
func checkParsed(s *schema.Settings, d *document.Document, err error) document.Findings {
	var findings document.Findings
	errors.As(err, &findings)
	if len(findings) > 0 && findings[0].Field == "" {
		return findings
	}
	ApplyDefaults(s)
	return findings.Join(Check(s, d))
}

// ApplyDefaults fills the fields that have a default and are not given.
func ApplyDefaults(s *schema.Settings) {
	if s.GetInnerMtuBytes() == 0 {
		s.InnerMtuBytes = DefaultInnerMTU
	}
	if s.GetWorkers() == 0 {
		s.Workers = uint32(min(runtime.NumCPU(), DefaultMaxWorkers))
	}
	if e := s.GetEntry(); e != nil {
		if e.GetCacheFlows() == 0 {
			e.CacheFlows = DefaultCacheFlows
		}
		if e.GetStopIdle() == nil {
			e.StopIdle = durationpb.New(DefaultStopIdle)
		}
		if e.GetStopDeadline() == nil {
			e.StopDeadline = durationpb.New(DefaultStopDeadline)
		}
	}
}

// PublicKeys decodes the root keys that may sign bundles. The error names the
// invalid field; settings that passed Check cause no error.
func PublicKeys(s *schema.Settings) ([]ed25519.PublicKey, error) {
	var keys []ed25519.PublicKey
	for i, text := range s.GetBundlePublicKeys() {
		key, err := decodeKey(text, ed25519.PublicKeySize)
		if err != nil {
			return nil, fmt.Errorf("bundle_public_keys[%d]: %w", i, err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// FleetKeys decodes the fleet keys; the first one signs, all are accepted. The
// error names the invalid field; settings that passed Check cause no error.
func FleetKeys(s *schema.Settings) ([][FleetKeySize]byte, error) {
	var keys [][FleetKeySize]byte
	for i, text := range s.GetFleetKeys() {
		key, err := decodeKey(text, FleetKeySize)
		if err != nil {
			return nil, fmt.Errorf("fleet_keys[%d]: %w", i, err)
		}
		keys = append(keys, [FleetKeySize]byte(key))
	}
	return keys, nil
}

// decodeKey never quotes the key in its error, because fleet keys are secret.
func decodeKey(text string, size int) ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.New("the key is not base64")
	}
	if len(key) != size {
		return nil, fmt.Errorf("the key has %d bytes, want %d", len(key), size)
	}
	return key, nil
}
