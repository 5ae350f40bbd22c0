package daemon

import (
	"context"
	"time"

	"fulmarhoist.example/backing"
)

// pollList reads the instance list every listInterval until ctx is canceled.
func (c *cluster) pollList(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		readCtx, cancel := context.WithTimeout(ctx, listTimeout)
		listing, err := c.deps.List.List(readCtx)
		cancel()
		if err != nil {
			c.deps.Logger.Warn().Str("event", "instance_list_failed").Err(err).Msg("instance list could not be read")
		} else {
			select {
			case c.listings <- listing:
			case <-ctx.Done():
				return
			}
		}
		timer.Reset(listInterval)
	}
}

func leavingTargets(listing backing.Listing) map[string]bool {
	names := make(map[string]bool)
	for _, member := range listing.Members {
		if member.Kind == backing.KindTarget && member.Leaving {
			names[member.ID] = true
		}
	}
	return names
}
