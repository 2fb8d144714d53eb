package bundle

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/schema"
)

func findingLines(b *schema.Bundle, predecessor *Signed) string {
	return Check(b, nil, predecessor).Error()
}

// Guards against an invalid field that is accepted, that hides another invalid
// field, or that is reported under the wrong name. Each case changes one part of
// a valid bundle.
func TestCheckReportsEveryInvalidField(t *testing.T) {
	rules := func(b *schema.Bundle) *schema.ServiceRules {
		b.Services[0].Rules = &schema.ServiceRules{}
		return b.Services[0].Rules
	}
	target := func(b *schema.Bundle, i int) *schema.Target { return b.Services[0].Targets[i] }
	address := func(b *schema.Bundle) *schema.ServiceAddress { return b.Services[0].Addresses[0] }
	draining := schema.TargetState_TARGET_STATE_DRAINING
	cases := []struct {
		name   string
		change func(b *schema.Bundle)
		want   string
	}{
		{"valid", func(*schema.Bundle) {}, ""},
		{"sequence missing", func(b *schema.Bundle) { b.Sequence = 0 }, "sequence: sequence 0 is not from 1 to 4611686018427387904"},
		{"no predecessor", func(b *schema.Bundle) { b.Sequence = 2 }, "sequence: warning: no predecessor was given, the change from it was not checked"},
		{"hash key", func(b *schema.Bundle) { b.HashKey = nil }, "hash_key: the key has 0 bytes, want 16"},
		{"readers", func(b *schema.Bundle) { b.ReadersPerDataCentre = 17 }, "readers_per_data_centre: 17 is above 16"},
		{"data centres", func(b *schema.Bundle) {
			b.DataCentres = append(b.DataCentres, &schema.DataCentre{Name: "dc-0", Region: "r"}, &schema.DataCentre{})
		}, `data_centres[3].name: "dc-0" is named twice
data_centres[4].name: the name is missing
data_centres[4].region: the region is missing`},
		{"no services", func(b *schema.Bundle) { b.Services = nil }, "services: at least one service is needed"},
		{"timeouts", func(b *schema.Bundle) {
			b.Timeouts = &schema.Timeouts{HeartbeatInterval: durationpb.New(time.Millisecond), FailureTimeout: durationpb.New(time.Minute), AntiEntropyInterval: durationpb.New(0)}
		}, `timeouts.heartbeat_interval: 1ms is not from 50ms to 750ms
timeouts.failure_timeout: 1m0s is not from 200ms to 3s
timeouts.anti_entropy_interval: 0s is not from 100ms to 1s`},
		{"failure timeout below heartbeats", func(b *schema.Bundle) {
			b.Timeouts = &schema.Timeouts{HeartbeatInterval: durationpb.New(500 * time.Millisecond)}
		}, "timeouts.failure_timeout: 1s is shorter than 4 heartbeat intervals of 500ms"},
		{"service ids and names", func(b *schema.Bundle) {
			b.Services[1].Id, b.Services[1].Name = 1, "service-1"
		}, "services[1].id: 1 is also at services[0].id\nservices[1].name: service-1 is also at services[0].name"},
		{"service without id and name", func(b *schema.Bundle) { b.Services[0].Id, b.Services[0].Name = 0, "" },
			"services[0].id: the id is missing or 0\nservices[0].name: the name is missing"},
		{"rules", func(b *schema.Bundle) {
			r := rules(b)
			r.DataCentres = []string{"dc-0", "dc-1", "dc-2", "dc-2", "x"}
			r.SpillOverPercent, r.Refusal = 101, 9
			r.DrainDeadline, r.OpeningDeadline = durationpb.New(0), durationpb.New(time.Hour)
			r.SlowStart, r.UdpIdleTimeout = durationpb.New(-1), durationpb.New(time.Millisecond)
		}, `services[0].rules.data_centres[3]: "dc-2" is named twice
services[0].rules.data_centres[4]: data centre "x" is not in data_centres
services[0].rules.spill_over_percent: 101 is above 100
services[0].rules.refusal: 9 is not a refusal policy
services[0].rules.drain_deadline: 0s is not from 1s to 48h0m0s
services[0].rules.opening_deadline: 1h0m0s is not from 10ms to 30s
services[0].rules.slow_start: -1ns is not from 0s to 1h0m0s
services[0].rules.udp_idle_timeout: 1ms is not from 1s to 1h0m0s`},
		{"target in two services", func(b *schema.Bundle) {
			b.Services[1].Targets[0].Id, b.Services[1].Targets[0].AgentAddress = 10, "10.0.1.1:7000"
		}, `services[1].targets[0].id: 10 is also at services[0].targets[0].id
services[1].targets[0].agent_address: 10.0.1.1:7000 is also at services[0].targets[0].agent_address`},
		{"target fields", func(b *schema.Bundle) {
			b.Services[0].Targets[0] = &schema.Target{DataCentre: "nowhere", AgentAddress: "host:1", Weight: 10001, State: 7, MaxConnections: 1}
		}, `services[0].targets[0].id: the id is missing or 0
services[0].targets[0].data_centre: data centre "nowhere" is not in data_centres
services[0].targets[0].agent_address: "host:1" is not ip:port
services[0].targets[0].slots: the slots are missing or 0; to take a target out, set its state to TARGET_STATE_DRAINING
services[0].targets[0].weight: 10001 is above 10000
services[0].targets[0].state: 7 is not a state`},
		{"connections below slots", func(b *schema.Bundle) { target(b, 0).MaxConnections = 6 }, "services[0].targets[0].max_connections: 6 is lower than the 7 slots"},
		{"agent address", func(b *schema.Bundle) { target(b, 0).AgentAddress = "0.0.0.0:7000" }, "services[0].targets[0].agent_address: 0.0.0.0:7000 is not the address of one agent"},
		{"too many targets", func(b *schema.Bundle) {
			for i := range uint32(62) {
				extra := proto.CloneOf(target(b, int(i%3)))
				extra.Id, extra.AgentAddress = 100+i, fmt.Sprintf("10.9.0.%d:7000", i+1)
				b.Services[0].Targets = append(b.Services[0].Targets, extra)
			}
		}, "services[0].targets: the service has 65 targets, at most 64 are allowed"},
		{"no address", func(b *schema.Bundle) { b.Services[0].Addresses = nil }, "services[0].addresses: warning: the service has no address, so that it gets no flow"},
		{"duplicate address", func(b *schema.Bundle) { b.Services[1].Addresses[0].Ip = "198.51.100.1" }, "services[1].addresses[0]: tcp 198.51.100.1:443 is also at services[0].addresses[0]"},
		{"address fields", func(b *schema.Bundle) {
			a := address(b)
			a.Ip, a.Port, a.Protocol, a.HomeDataCentre = "::ffff:1.2.3.4", 65536, 0, "x"
		}, `services[0].addresses[0].ip: ::ffff:1.2.3.4 is not an address that a client can use
services[0].addresses[0].port: 65536 is not from 1 to 65535
services[0].addresses[0].protocol: the protocol is missing or unknown
services[0].addresses[0].home_data_centre: data centre "x" is not in data_centres
services[0].addresses[0].home_data_centre: warning: no target of the service in "x" takes new flows`},
		{"address text", func(b *schema.Bundle) { address(b).Ip = "a.example" }, `services[0].addresses[0].ip: "a.example" is not an IP address`},
		{"UDP", func(b *schema.Bundle) { address(b).Protocol = schema.Protocol_PROTOCOL_UDP },
			"services[0].addresses[0].protocol: warning: two targets may see the first datagrams of one flow; requests over UDP must be idempotent"},
		{"home drains", func(b *schema.Bundle) { address(b).HomeDataCentre = "dc-0"; target(b, 0).State = draining },
			`services[0].addresses[0].home_data_centre: warning: no target of the service in "dc-0" takes new flows`},
		{"no target", func(b *schema.Bundle) { b.Services[0].Targets = nil }, "services[0].targets: the service has no target"},
		{"none in an allowed data centre", func(b *schema.Bundle) {
			rules(b).DataCentres = []string{"dc-2"}
			target(b, 2).State = draining
		}, "services[0].targets: no target of the service is active in an allowed data centre"},
		{"one large target", func(b *schema.Bundle) { target(b, 1).Slots = 20 }, `services[0].targets: warning: when target 11 drains, 14 of 34 slots remain
services[0].targets: warning: when data centre "dc-1" drains, 14 of 34 slots remain`},
		{"one data centre", func(b *schema.Bundle) { target(b, 1).DataCentre = "dc-0"; target(b, 2).DataCentre = "dc-0" },
			`services[0].targets: warning: when data centre "dc-0" drains, 0 of 21 slots remain`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := testBundle(1)
			tc.change(b)
			qt.Assert(t, findingLines(b, nil), qt.Equals, tc.want)
		})
	}
}

// Guards against a change that breaks flows (guarantees P1 and P7) or sends
// packets of one service to another while both bundles are in use (guarantee P2).
func TestCheckReportsUnsafeChanges(t *testing.T) {
	previous := testBundle(1)
	previous.Services[0].Targets[0].State = schema.TargetState_TARGET_STATE_DRAINING
	predecessor := mustSign(t, previous, nil, 1)
	removed := func(field string, id uint32) string {
		return fmt.Sprintf(`%s: target %d (t-2-%d) of service "service-2" is removed but did not drain; first sign a bundle with its state TARGET_STATE_DRAINING`, field, id, id-20)
	}
	cases := []struct {
		name   string
		change func(b *schema.Bundle)
		want   string
	}{
		{"none", func(*schema.Bundle) {}, ""},
		{"sequence", func(b *schema.Bundle) { b.Sequence = 1 }, "sequence: sequence 1 is not higher than that of the predecessor, 1"},
		{"sequence step", func(b *schema.Bundle) { b.Sequence = 20001 }, "sequence: warning: 20001 is 20000 above the predecessor; the sequence can never go back"},
		{"predecessor digest", func(b *schema.Bundle) { b.PredecessorDigest = []byte{1} }, "predecessor_digest: the digest is not that of the predecessor, " + predecessor.Digest.String() + "; leave it out, signing sets it"},
		{"own predecessor digest", func(b *schema.Bundle) { b.PredecessorDigest = predecessor.Digest[:] }, ""},
		{"hash key", func(b *schema.Bundle) { b.HashKey[0]++ }, "hash_key: warning: the key changed, which moves the candidates of all flows"},
		{"removed without drain", func(b *schema.Bundle) { b.Services[1].Targets = b.Services[1].Targets[1:] },
			removed("services[1].targets", 20)},
		{"removed after drain", func(b *schema.Bundle) { b.Services[0].Targets = b.Services[0].Targets[1:] }, ""},
		{"target id reused", func(b *schema.Bundle) {
			b.Services[1].Targets[0].Id, b.Services[0].Targets[0].Id = 10, 99
		}, `services[1].targets[0].id: target 10 belongs to service "service-1" in the predecessor; a host that moves needs a new id
` + removed("services[1].targets", 20)},
		{"service removed", func(b *schema.Bundle) { b.Services = b.Services[:1] }, removed("services", 20) + "\n" + removed("services", 21) + "\n" + removed("services", 22)},
		{"addresses swapped", func(b *schema.Bundle) {
			b.Services[0].Addresses, b.Services[1].Addresses = b.Services[1].Addresses, b.Services[0].Addresses
		}, `services[0].addresses[0]: tcp 198.51.100.2:443 belongs to service "service-2" in the predecessor; first sign a bundle that has it in neither
services[1].addresses[0]: tcp 198.51.100.1:443 belongs to service "service-1" in the predecessor; first sign a bundle that has it in neither`},
		{"agents swapped", func(b *schema.Bundle) {
			b.Services[0].Targets[0].AgentAddress, b.Services[1].Targets[0].AgentAddress = "10.0.2.1:7000", "10.0.1.1:7000"
		}, `services[0].targets[0].agent_address: 10.0.2.1:7000 belongs to service "service-2" in the predecessor; first sign a bundle that has it in neither
services[1].targets[0].agent_address: 10.0.1.1:7000 belongs to service "service-1" in the predecessor; first sign a bundle that has it in neither`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := successorOf(predecessor)
			b.PredecessorDigest = nil
			tc.change(b)
			qt.Assert(t, findingLines(b, predecessor), qt.Equals, tc.want)
		})
	}
}
