package dissemination

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/schema"
)

const (
	// Bytes of responses before compression. A cold process takes about 600 KB
	// at the design size, a changed bundle a few KB; the limits let differences
	// pass while thousands of processes start.
	responseBytesPerSecond = 300 << 10
	responseBurstBytes     = 2<<20 + 64<<10
	// maxBases is the number of recent bundles against which differences are
	// computed. At 810 changes a day it covers the last 14 minutes.
	maxBases = 8
	// maxInlineBytes bounds a difference on an announcement, which then stays
	// within a packet of 1,400 bytes.
	maxInlineBytes = 1100
)

// responder answers pulls with what the requester lacks. It knows the sections
// of recent bundles by their digest, so that a request of 40 bytes replaces a
// list of all section digests.
type responder struct {
	store *bundle.Store
	bytes *rate.Limiter

	mu    sync.Mutex // guards bases; no other lock is taken under it
	bases []*base
	// inlineBase and inlineFor key the difference that was computed last: a
	// push sends the same one to several peers.
	inlineBase, inlineFor Version
	inlined               *schema.Difference
}

type base struct {
	version  Version
	manifest *schema.Manifest
}

func newResponder(store *bundle.Store) *responder {
	return &responder{store: store, bytes: rate.NewLimiter(responseBytesPerSecond, responseBurstBytes)}
}

// remember keeps a bundle that was in force as a base of differences.
func (r *responder) remember(s *bundle.Signed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.bases) == maxBases {
		r.bases = r.bases[1:]
	}
	r.bases = append(r.bases, &base{version: s.Version(), manifest: s.Manifest()})
}

func (r *responder) base(version Version) *base {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.bases {
		if b.version == version {
			return b
		}
	}
	return nil
}

// requestFor names the bundle that the requester holds; nil for none.
func requestFor(held *bundle.Signed) *schema.BundleRequest {
	if held == nil {
		return &schema.BundleRequest{}
	}
	return &schema.BundleRequest{HaveSequence: held.Sequence, HaveDigest: held.Digest[:]}
}

// respond answers a request; vms is nil when no VM list is held.
func (r *responder) respond(request *schema.BundleRequest, vms *vmDocument) *schema.BundleResponse {
	response := r.difference(request)
	if vms != nil && vms.version > request.GetHaveVmVersion() {
		response.VmList = &schema.VMList{Version: vms.version, Document: vms.document}
	}
	if !r.bytes.AllowN(time.Now(), min(proto.Size(response), responseBurstBytes)) {
		return &schema.BundleResponse{Busy: true}
	}
	return response
}

func (r *responder) difference(request *schema.BundleRequest) *schema.BundleResponse {
	current := r.store.Signed()
	have := Version{Sequence: request.GetHaveSequence()}
	copy(have.Digest[:], request.GetHaveDigest())
	if current.Version().Compare(have) <= 0 {
		return &schema.BundleResponse{}
	}
	known := r.base(have)
	if known == nil {
		return bundle.Difference(current, request.GetHaveSections())
	}
	var held [][]byte
	for _, section := range known.manifest.GetSections() {
		held = append(held, section.GetSha256())
	}
	response := bundle.Difference(current, held)
	shrink(response, known.manifest, current.Manifest())
	return response
}

// inline returns the difference from base to the bundle in force for an
// announcement, or nil when the base is not known or the difference is large.
func (r *responder) inline(from Version) *schema.Difference {
	current := r.store.Version()
	r.mu.Lock()
	if r.inlineBase == from && r.inlineFor == current {
		defer r.mu.Unlock()
		return r.inlined
	}
	r.mu.Unlock()
	response := r.difference(&schema.BundleRequest{HaveSequence: from.Sequence, HaveDigest: from.Digest[:]})
	var result *schema.Difference
	if response.GetPatch() != nil && proto.Size(response) <= maxInlineBytes {
		result = &schema.Difference{BaseDigest: from.Digest[:], Response: response}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inlineBase, r.inlineFor, r.inlined = from, current, result
	return result
}
