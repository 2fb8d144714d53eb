package bundle

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
)

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func durationOrDefault(d *durationpb.Duration, fallback time.Duration) time.Duration {
	if d == nil {
		return fallback
	}
	return d.AsDuration()
}

func sortTargets(targets []*Target) {
	slices.SortFunc(targets, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
}
