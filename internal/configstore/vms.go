package configstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// Role is the kind of process that a VM runs.
type Role uint8

// Roles of a VM.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name       string
	DataCentre string
	Role       Role
	// Address is the address on which the process on the VM listens.
	Address netip.AddrPort
	// Leaving is true when the platform is about to remove the VM.
	Leaving bool
}

// ErrNoVMs is the error for an empty VM list. A platform that lost its data returns an
// empty list, so it never replaces the list in use.
var ErrNoVMs = errors.New("vms: the list is empty")

type vmDocument struct {
	VMs *[]vmEntry `json:"vms"`
}

type vmEntry struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	Address    string `json:"address"`
	State      string `json:"state"`
}

// ParseVMs parses the JSON document of the VM list. One invalid VM makes the whole list
// invalid. The error is ErrTooLarge or ErrNoVMs, or joins the errors of all invalid VMs,
// each with the index of the VM and the name of the field.
func ParseVMs(data []byte) ([]VM, error) {
	if len(data) > MaxValueBytes {
		return nil, ErrTooLarge
	}
	var document vmDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, fmt.Errorf("vms: %w", err)
	}
	if document.VMs == nil || len(*document.VMs) == 0 {
		return nil, ErrNoVMs
	}
	var errs []error
	list := make([]VM, 0, len(*document.VMs))
	indexByName := map[string]int{}
	for i, entry := range *document.VMs {
		vm, err := entry.parse()
		if err != nil {
			errs = append(errs, fmt.Errorf("vms[%d].%w", i, err))
			continue
		}
		if first, exists := indexByName[vm.Name]; exists {
			errs = append(errs, fmt.Errorf("vms[%d].name: %q is also vms[%d]", i, vm.Name, first))
			continue
		}
		indexByName[vm.Name] = i
		list = append(list, vm)
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return list, nil
}

func (e vmEntry) parse() (VM, error) {
	vm := VM{Name: e.Name, DataCentre: e.DataCentre}
	if e.Name == "" {
		return VM{}, errors.New("name: is missing")
	}
	if e.DataCentre == "" {
		return VM{}, errors.New("data_centre: is missing")
	}
	switch e.Role {
	case "entry":
		vm.Role = RoleEntry
	case "agent":
		vm.Role = RoleAgent
	default:
		return VM{}, fmt.Errorf("role: %q is neither entry nor agent", e.Role)
	}
	switch e.State {
	case "live":
	case "leaving":
		vm.Leaving = true
	default:
		return VM{}, fmt.Errorf("state: %q is neither live nor leaving", e.State)
	}
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		return VM{}, fmt.Errorf("address: %w", err)
	}
	vm.Address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	return vm, nil
}
