package dissemination

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/platform"
)

// Directory lists the processes of the fleet: entries and agents of the VM
// list, and agents of the bundle. It is immutable.
type Directory struct {
	// dataCentres is sorted by name.
	dataCentres []string
	peers       map[string][]netip.AddrPort
	regions     map[string]string
	// ranked holds the live entries of each data centre, the first reader
	// first.
	ranked map[string][]entry
	size   int
}

type entry struct {
	name string
	// hash identifies the entry in reader beats.
	hash uint32
	rank uint64
}

// NewDirectory merges the VM list with the agents of the view, which may be
// nil. VMs that are leaving are not listed.
func NewDirectory(vms []platform.VM, view *bundle.View) *Directory {
	d := &Directory{
		peers:   map[string][]netip.AddrPort{},
		regions: map[string]string{},
		ranked:  map[string][]entry{},
	}
	seen := map[netip.AddrPort]bool{}
	for _, vm := range vms {
		// A leaving VM is marked as seen so that the bundle does not add it.
		if vm.Leaving {
			seen[vm.Address] = true
			continue
		}
		d.add(vm.DataCentre, vm.Address, seen)
		if vm.Role == platform.RoleEntry {
			d.ranked[vm.DataCentre] = append(d.ranked[vm.DataCentre], rankedEntry(vm.DataCentre, vm.Name))
		}
	}
	if view != nil {
		d.addView(view, seen)
	}
	for dc := range d.peers {
		d.dataCentres = append(d.dataCentres, dc)
	}
	slices.Sort(d.dataCentres)
	for _, entries := range d.ranked {
		slices.SortFunc(entries, func(a, b entry) int {
			return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
		})
	}
	return d
}

func (d *Directory) addView(view *bundle.View, seen map[netip.AddrPort]bool) {
	for _, service := range view.Services {
		for _, target := range service.Targets {
			d.add(target.DataCentre, target.Agent, seen)
		}
	}
	for dc := range d.peers {
		d.regions[dc] = view.Region(dc)
	}
}

func (d *Directory) add(dataCentre string, address netip.AddrPort, seen map[netip.AddrPort]bool) {
	if seen[address] {
		return
	}
	seen[address] = true
	d.peers[dataCentre] = append(d.peers[dataCentre], address)
	d.size++
}

// Size returns the number of processes.
func (d *Directory) Size() int { return d.size }

// rankedEntry computes the rendezvous rank of an entry. Every process computes
// the same order from the same list, and a change of the list moves only the
// places of the VMs that joined or left.
func rankedEntry(dataCentre, name string) entry {
	h := xxhash.New()
	_, _ = h.WriteString(dataCentre)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	return entry{name: name, hash: nameHash(name), rank: h.Sum64()}
}

func nameHash(name string) uint32 {
	sum := sha256.Sum256([]byte(name))
	return binary.LittleEndian.Uint32(sum[:])
}
