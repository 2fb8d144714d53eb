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
	// Limits on response bytes before compression. A process without a bundle
	// takes about 600 KB at the design size, a changed bundle a few KB; the
	// limits let differences through while thousands of processes start.
	responseBytesPerSecond = 300 << 10
	responseBurstBytes     = 2<<20 + 64<<10
	// maxBases is the number of recent bundles against which differences can be
	// computed. At 810 changes a day it covers the last 14 minutes.
	maxBases = 8
	// maxInlineBytes bounds the difference included in an announcement, which
	// must fit into a packet of 1,400 bytes.
	maxInlineBytes = 1100
)

// responder answers pulls with the data that the requester lacks. It knows the
// section digests of recent bundles by bundle digest, so that a request of 40
// bytes replaces a list of all section digests.
type responder struct {
	store       *bundle.Store
	byteLimiter *rate.Limiter

	mu    sync.Mutex // guards bases; no other lock is taken under it
	bases []*base
	// cachedFrom and cachedTo are the key of the last computed difference: a
	// push sends the same one to several peers.
	cachedFrom, cachedTo Version
	cachedDifference     *schema.Difference
}

type base struct {
	version  Version
	manifest *schema.Manifest
}

func newResponder(store *bundle.Store) *responder {
	return &responder{store: store, byteLimiter: rate.NewLimiter(responseBytesPerSecond, responseBurstBytes)}
}

// addBase records a bundle that became the current one as a base for differences.
func (r *responder) addBase(s *bundle.Signed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.bases) == maxBases {
		r.bases = r.bases[1:]
	}
	r.bases = append(r.bases, &base{version: s.Version(), manifest: s.Manifest()})
}

func (r *responder) findBase(version Version) *base {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.bases {
		if b.version == version {
			return b
		}
	}
	return nil
}

// requestFor returns a request that names the bundle the requester holds; held
// is nil if it holds none.
func requestFor(held *bundle.Signed) *schema.BundleRequest {
	if held == nil {
		return &schema.BundleRequest{}
	}
	return &schema.BundleRequest{HaveSequence: held.Sequence, HaveDigest: held.Digest[:]}
}

// respond answers a request; vms is nil if no VM list is held.
func (r *responder) respond(request *schema.BundleRequest, vms *vmDocument) *schema.BundleResponse {
	response := r.difference(request)
	if vms != nil && vms.version > request.GetHaveVmVersion() {
		response.VmList = &schema.VMList{Version: vms.version, Document: vms.document}
	}
	if !r.byteLimiter.AllowN(time.Now(), min(proto.Size(response), responseBurstBytes)) {
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
	base := r.findBase(have)
	if base == nil {
		return bundle.Difference(current, request.GetHaveSections())
	}
	var held [][]byte
	for _, section := range base.manifest.GetSections() {
		held = append(held, section.GetSha256())
	}
	response := bundle.Difference(current, held)
	compactResponse(response, base.manifest, current.Manifest())
	return response
}

// inlineDifference returns the difference between from and the current bundle, to
// be included in an announcement. It returns nil if the base is unknown or the
// difference is too large.
func (r *responder) inlineDifference(from Version) *schema.Difference {
	current := r.store.Version()
	r.mu.Lock()
	if r.cachedFrom == from && r.cachedTo == current {
		defer r.mu.Unlock()
		return r.cachedDifference
	}
	r.mu.Unlock()
	response := r.difference(&schema.BundleRequest{HaveSequence: from.Sequence, HaveDigest: from.Digest[:]})
	var result *schema.Difference
	if response.GetPatch() != nil && proto.Size(response) <= maxInlineBytes {
		result = &schema.Difference{BaseDigest: from.Digest[:], Response: response}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedFrom, r.cachedTo, r.cachedDifference = from, current, result
	return result
}
