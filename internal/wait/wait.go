// Package wait provides sleeps that a context can cancel.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns early, with the error of ctx, when ctx ends.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
