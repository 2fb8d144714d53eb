package dissemination

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/configstore"
)

// Directory lists the processes of the fleet: entries and agents of the VM
// list, and agents of the bundle. It is immutable.
type Directory struct {
	// dataCentres is sorted by name.
	dataCentres []string
	peers       map[string][]netip.AddrPort
	regions     map[string]string
	// readerCandidates lists the live entries of each data centre in order of
	// preference as platform readers.
	readerCandidates map[string][]readerCandidate
	size             int
}

type readerCandidate struct {
	name string
	// nameHash identifies the entry in reader heartbeats.
	nameHash uint32
	score    uint64
}

// NewDirectory merges the VM list with the agents of the view, which may be
// nil. VMs marked as leaving are omitted.
func NewDirectory(vms []configstore.VM, view *bundle.View) *Directory {
	d := &Directory{
		peers:            map[string][]netip.AddrPort{},
		regions:          map[string]string{},
		readerCandidates: map[string][]readerCandidate{},
	}
	seen := map[netip.AddrPort]bool{}
	for _, vm := range vms {
		// A leaving VM is marked as seen so that the bundle does not add it
		// back.
		if vm.Leaving {
			seen[vm.Address] = true
			continue
		}
		d.addPeer(vm.DataCentre, vm.Address, seen)
		if vm.Role == configstore.RoleEntry {
			d.readerCandidates[vm.DataCentre] = append(d.readerCandidates[vm.DataCentre], newReaderCandidate(vm.DataCentre, vm.Name))
		}
	}
	if view != nil {
		d.addView(view, seen)
	}
	for dc := range d.peers {
		d.dataCentres = append(d.dataCentres, dc)
	}
	slices.Sort(d.dataCentres)
	for _, candidates := range d.readerCandidates {
		slices.SortFunc(candidates, func(a, b readerCandidate) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
		})
	}
	return d
}

func (d *Directory) addView(view *bundle.View, seen map[netip.AddrPort]bool) {
	for _, service := range view.Services {
		for _, target := range service.Targets {
			d.addPeer(target.DataCentre, target.Agent, seen)
		}
	}
	for dc := range d.peers {
		d.regions[dc] = view.Region(dc)
	}
}

func (d *Directory) addPeer(dataCentre string, address netip.AddrPort, seen map[netip.AddrPort]bool) {
	if seen[address] {
		return
	}
	seen[address] = true
	d.peers[dataCentre] = append(d.peers[dataCentre], address)
	d.size++
}

// Size returns the number of processes.
func (d *Directory) Size() int { return d.size }

// newReaderCandidate computes the rendezvous hashing score of an entry. Every
// process derives the same order from the same list, and a change of the list
// moves only the positions of the VMs that joined or left.
func newReaderCandidate(dataCentre, name string) readerCandidate {
	h := xxhash.New()
	_, _ = h.WriteString(dataCentre)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	return readerCandidate{name: name, nameHash: nameHash(name), score: h.Sum64()}
}

func nameHash(name string) uint32 {
	sum := sha256.Sum256([]byte(name))
	return binary.LittleEndian.Uint32(sum[:])
}
