package capacity

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

// Design size (docs/design.md, section 1.5). With 220 services, each service has
// four addresses and ten or eleven targets.
const (
	designEntries   = 440
	designTargets   = 2300
	designAddresses = 880
	designServices  = 220

	// seed is the seed of the signing key and of the flow table's hash.
	// Everything else is deterministic.
	seed = 1
	// subjectService is an additional service to which the agent under test
	// belongs.
	subjectService = designServices + 1
	subjectPeers   = 9
)

var (
	signingKey     = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
	subjectAddress = netip.MustParseAddrPort("198.51.100.1:443")
)

// agentAddress returns a loopback address on which no process listens.
func agentAddress(i int) string { return fmt.Sprintf("127.%d.%d.%d:7000", 20+i%6, i>>8, i&255) }

func designBundle(targets, addresses int) *schema.Bundle {
	b := &schema.Bundle{Sequence: 1, HashKey: bytes.Repeat([]byte{7}, 16)}
	for dc := range 6 {
		b.DataCentres = append(b.DataCentres, &schema.DataCentre{Name: fmt.Sprintf("dc-%d", dc), Region: fmt.Sprintf("region-%d", dc/3)})
	}
	for i := range designServices {
		b.Services = append(b.Services, &schema.Service{Id: uint32(i + 1), Name: fmt.Sprintf("service-%04d", i)})
	}
	for i := range addresses {
		s := b.Services[i%designServices]
		s.Addresses = append(s.Addresses, &schema.ServiceAddress{
			Ip: fmt.Sprintf("198.18.%d.%d", i>>8, i&255), Port: 443,
			Protocol: schema.Protocol_PROTOCOL_TCP, HomeDataCentre: fmt.Sprintf("dc-%d", i%6),
		})
	}
	for i := range targets {
		s := b.Services[i%designServices]
		s.Targets = append(s.Targets, newTarget(i+1, agentAddress(i), 7))
	}
	return b
}

func newTarget(id int, agent string, slots uint32) *schema.Target {
	return &schema.Target{
		Id: uint32(id), Name: fmt.Sprintf("host-%04d", id), DataCentre: fmt.Sprintf("dc-%d", id%6), AgentAddress: agent,
		Slots: slots, MaxConnections: 8000, State: schema.TargetState_TARGET_STATE_ACTIVE,
	}
}

// withSubject adds the service of the agent under test and its peers to b.
func withSubject(b *schema.Bundle, agent string, peers int) *schema.Bundle {
	s := &schema.Service{
		Id: subjectService, Name: "subject", Rules: &schema.ServiceRules{SlowStart: durationpb.New(0)},
		Addresses: []*schema.ServiceAddress{{
			Ip: subjectAddress.Addr().String(), Port: 443, Protocol: schema.Protocol_PROTOCOL_TCP,
		}},
		Targets: []*schema.Target{newTarget(subjectTarget, agent, 8000)},
	}
	for i := range peers {
		s.Targets = append(s.Targets, newTarget(subjectTarget+1+i, agentAddress(designTargets+1+i), 8000))
	}
	b.Services = append(b.Services, s)
	return b
}

const subjectTarget = designTargets + 1

func signBundle(tb testing.TB, b *schema.Bundle, predecessor *bundle.Signed) *bundle.Signed {
	s, err := bundle.Sign(b, predecessor, signingKey, time.Unix(1700000000, 0))
	qt.Assert(tb, err, qt.IsNil)
	return s
}

func nextBundle(s *bundle.Signed) *schema.Bundle {
	b := proto.CloneOf(s.Bundle())
	b.Sequence++
	return b
}

func designVMList() []byte {
	var list []map[string]string
	for i := range designEntries + designTargets {
		role, address := "agent", agentAddress(i)
		if i >= designTargets {
			role = "entry"
		}
		list = append(list, map[string]string{
			"name": fmt.Sprintf("vm-%04d", i), "data_centre": fmt.Sprintf("dc-%d", i%6), "role": role, "address": address, "state": "live",
		})
	}
	data, err := json.Marshal(map[string]any{"vms": list})
	if err != nil {
		panic(err) // cannot fail: the list contains only strings
	}
	return data
}

// flowKey returns the key of the i-th flow to the service of the agent under
// test.
func flowKey(i int) packet.Key {
	client := netip.AddrFrom4([4]byte{192, 0, byte(i >> 24), byte(i >> 16)})
	return packet.Key{Protocol: packet.ProtocolTCP, Source: netip.AddrPortFrom(client, uint16(i)), Destination: subjectAddress}
}

func binaryFlowKey(i int) []byte {
	b, _ := flowKey(i).AppendBinary(nil)
	return b
}
