package document

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/schema"
)

// Guards against a problem that is not reported, that hides another one, or that
// is reported with the wrong line or field.
func TestParseReportsEveryProblem(t *testing.T) {
	deep := strings.Repeat("[", maxDepth) + "\n" + strings.Repeat("[", MaxSize/2)
	cases := []struct {
		name, text string
		want       []string
	}{
		{"two unknown fields", "{\n\"slots\": 1,\n\"note\": \"x\", \"serv\": []}", []string{
			"f:2: slots: unknown field", "f:3: serv: unknown field"}},
		{"misspelled field", `{"hashkey": ""}`, []string{`f:1: hashkey: unknown field; did you mean "hash_key"?`}},
		{"wrong types", "{\"services\": [\n{\"id\": -1},\n// comment \"[{\n{\"id\": 2, \"targets\": [\n{\"id\": 1, \"slots\": \"many\", \"state\": \"gone\"}]}]}", []string{
			"f:2: services[0].id: want a whole number from 0 to 4294967295, got -1",
			`f:5: services[1].targets[0].slots: want a whole number from 0 to 4294967295, got "many"`,
			`f:5: services[1].targets[0].state: want one of TARGET_STATE_ACTIVE, TARGET_STATE_DRAINING, got "gone"`}},
		{"duration", `{"timeouts": {"heartbeat_interval": 5}}`, []string{
			`f:1: timeouts.heartbeat_interval: want a duration in seconds such as "1.5s", got 5`}},
		{"bytes", `{"hash_key": "?"}`, []string{`f:1: hash_key: want a base64 string, got "?"`}},
		{"object for list", `{"services": {}}`, []string{"f:1: services: want an array, got an object"}},
		{"list for object", `{"timeouts": []}`, []string{"f:1: timeouts: want an object, got an array"}},
		{"wrong element", `{"services": [1]}`, []string{"f:1: services[0]: want an object, got 1"}},
		{"duplicate field", "{\"note\": \"a\",\n\"note\": \"b\"}", []string{"f:2: note: the field is given twice"}},
		{"line break in name", `{"a\nb": 1}`, []string{`f:1: "a\nb": unknown field`}},
		{"syntax", "{\n\"note\" 1}", []string{"f:2: syntax error: column 8: invalid character '1' after object name"}},
		{"empty", "", []string{"f:1: syntax error: column 1: parsing value: unexpected EOF"}},
		{"no object", "3", []string{"f:1: want an object, got 3"}},
		{"too deep", deep, []string{"f:2: objects and arrays are nested more than 64 deep"}},
		{"too large", strings.Repeat(" ", MaxSize+1), []string{"f:1: the document is larger than 4194304 bytes"}},
		{"valid", `{/* [ */ "note": "]\"{", "services": [{"id": 1,},], "timeouts": null}`, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse("f", []byte(tc.text), &schema.Bundle{})
			var got []string
			var findings Findings
			if errors.As(err, &findings) {
				got = strings.Split(findings.Error(), "\n")
			}
			c.Assert(got, qt.DeepEquals, tc.want)
		})
	}
}

// Guards against a settings file with two roles, one of which would silently
// replace the other.
func TestParseRejectsTwoMembersOfOneof(t *testing.T) {
	c := qt.New(t)
	_, err := Parse("f", []byte(`{"entry": {}, "agent": {}}`), &schema.Settings{})
	c.Assert(err, qt.ErrorMatches, "f:1: agent: cannot be given together with entry")
}

// Guards against later checks that report a wrong line, also for a field that the
// document omits, and against lists whose indices shift.
func TestLineAndValues(t *testing.T) {
	c := qt.New(t)
	b := &schema.Bundle{}
	d, err := Parse("f", []byte("{\n\"services\": [\n{\"id\": 7},\n{\n\"id\": 8, \"targets\": [\n{\"slots\": 4}]}]}"), b)
	c.Assert(err, qt.IsNil)
	c.Assert(b.GetServices()[1].GetTargets()[0].GetSlots(), qt.Equals, uint32(4))
	for field, line := range map[string]int{
		"": 1, "note": 1, "services": 2, "services[0].id": 3, "services[1]": 4,
		"services[1].rules.drain_deadline": 4, "services[1].targets[0].id": 6,
	} {
		c.Check(d.Line(field), qt.Equals, line, qt.Commentf("%s", field))
	}
	var missing *Document
	c.Assert(missing.Line("x"), qt.Equals, 0)
}

// Guards against an error that a later check repeats, and against warnings that
// are treated as errors.
func TestFindings(t *testing.T) {
	c := qt.New(t)
	r := Report{}
	r.Warnf("a", "odd")
	c.Assert(r.Findings.Err(), qt.IsNil)
	r.Errorf("a.b", "wrong")
	later := Report{}
	later.Errorf("a.b.c", "missing")
	later.Errorf("a.c", "missing")
	c.Assert(r.Findings.Join(later.Findings).Error(), qt.Equals, "a: warning: odd\na.b: wrong\na.c: missing")
	c.Assert(r.Findings.Err(), qt.ErrorMatches, "a.b: wrong")
}

// Guards against a crash, and against an error without line and message, on
// arbitrary input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"services": [{"id": 1, "targets": [{"slots": 3}]}], // end` + "\n}"))
	f.Add([]byte(`{"timeouts": {"heartbeat_interval": "1.5s"}, "hash_key": "AAAA"}`))
	f.Add([]byte(`[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("f", data, &schema.Bundle{})
		if err == nil {
			return
		}
		var findings Findings
		if !errors.As(err, &findings) || len(findings) == 0 || findings[0].Line < 1 || findings[0].Message == "" {
			t.Fatalf("error without line or message: %#v", err)
		}
	})
}
