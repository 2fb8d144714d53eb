package configstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// Role tells what a VM runs.
type Role uint8

// Roles of a VM.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// VM is one machine of the platform's list.
type VM struct {
	Name       string
	DataCentre string
	Role       Role
	// Address is the listen address of the process on the VM.
	Address netip.AddrPort
	// Leaving is set when the platform is about to remove the VM.
	Leaving bool
}

// ErrNoVMs is the error for a list without any VM. A platform that lost its
// data answers with such a list, so it never replaces a list that is in use.
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

// ParseVMs parses the JSON document of the VM list. It is all or nothing: the
// error joins every finding, each with the index and the field at fault, or is
// ErrNoVMs.
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
	var findings []error
	list := make([]VM, 0, len(*document.VMs))
	names := map[string]int{}
	for i, entry := range *document.VMs {
		vm, err := entry.parse()
		if err != nil {
			findings = append(findings, fmt.Errorf("vms[%d].%w", i, err))
			continue
		}
		if first, used := names[vm.Name]; used {
			findings = append(findings, fmt.Errorf("vms[%d].name: %q is also vms[%d]", i, vm.Name, first))
			continue
		}
		names[vm.Name] = i
		list = append(list, vm)
	}
	if len(findings) > 0 {
		return nil, errors.Join(findings...)
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
