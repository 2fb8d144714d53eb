package catalog

import "slices"

// PrepareAll prepares the items of one response in place. It omits configurations that a
// later valid one in the same response replaces: they are never in force, and decoding a
// configuration of 100 KB takes milliseconds. Earlier values of other keys are kept, since
// the retention of a target depends on its state before its removal.
func (d DecodeFunc) PrepareAll(items []Item) []Item {
	replacedBefore := map[string]uint64{} // revision of the valid configuration of a key
	for i, it := range slices.Backward(items) {
		if it.Revision < replacedBefore[it.Key] && !it.Deleted {
			continue
		}
		items[i] = d.Prepare(it)
		if decoded := items[i].Decoded; decoded != nil && decoded.Configuration != nil {
			replacedBefore[it.Key] = it.Revision
		}
	}
	return slices.DeleteFunc(items, func(it Item) bool { return it.Revision < replacedBefore[it.Key] && !it.Deleted })
}
