// Package examples holds example settings and bundles of two users of heathergw
// and the test that keeps them valid.
package examples

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/document"
	"github.com/heathergw/heathergw/internal/settings"
	"github.com/heathergw/heathergw/schema"
)

// Guards against examples that heathergw refuses or warns about, whose numbers of
// data centres, targets, slots or connections differ from the design, or whose
// settings do not match their bundle.
func TestExamples(t *testing.T) {
	for _, user := range []struct {
		folder      string
		slots       uint32
		connections uint32
	}{{"blue-mahoe", 7, 2000}, {"avarkor", 4, 2000}} {
		t.Run(user.folder, func(t *testing.T) {
			c := qt.New(t)
			b := &schema.Bundle{}
			d, err := document.Read(filepath.Join(user.folder, "bundle.jsonc"), b)
			c.Assert(err, qt.IsNil)
			c.Assert(bundle.Check(b, d, nil), qt.HasLen, 0)
			c.Assert(b.GetDataCentres(), qt.HasLen, 3)
			c.Assert(b.GetServices()[0].GetTargets(), qt.HasLen, 7)
			c.Assert(b.GetServices()[1].GetTargets(), qt.HasLen, 3)
			for _, s := range b.GetServices() {
				for _, target := range s.GetTargets() {
					c.Check(target.GetSlots(), qt.Equals, user.slots)
					c.Check(target.GetMaxConnections(), qt.Equals, user.connections)
				}
			}
			v, err := bundle.NewView(b, bundle.Digest{})
			c.Assert(err, qt.IsNil)
			entry := load(c, user.folder, "entry.jsonc")
			c.Check(v.Region(entry.GetDataCentre()), qt.Equals, entry.GetRegion())
			agent := load(c, user.folder, "agent.jsonc")
			target := v.Target(agent.GetAgent().GetTargetId())
			c.Assert(target, qt.IsNotNil)
			c.Check(target.Agent.String(), qt.Equals, agent.GetListen())
			c.Check(target.DataCentre, qt.Equals, agent.GetDataCentre())
		})
	}
}

func load(c *qt.C, folder, name string) *schema.Settings {
	s, findings, err := settings.Read(filepath.Join(folder, name))
	c.Assert(err, qt.IsNil)
	c.Assert(findings, qt.HasLen, 0)
	return s
}
