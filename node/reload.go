package node

import (
	"context"
	"os"
	"sync/atomic"
	"time"
)

// currentBounds holds the current bounds. Only the goroutine that watches the
// settings stores them; any goroutine may load them.
type currentBounds struct {
	atomic.Pointer[Bounds]
}

func newBounds(s *Settings) *currentBounds {
	b := &currentBounds{}
	bounds := s.Bounds
	b.Store(&bounds)
	return b
}

// settingsReloadInterval is how often the settings are read without a signal,
// since the file may change without one.
const settingsReloadInterval = 5 * time.Second

// watchSettings reloads the settings on a signal and periodically. Changed
// bounds take effect immediately; the addresses are read only at startup.
func (n *Node) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			n.reloadSettings(true)
		case <-ticker.C:
			n.reloadSettings(false)
		}
	}
}

// reloadSettings reads the settings and applies changed bounds. If the settings
// cannot be read or are invalid, the current ones stay in effect.
func (n *Node) reloadSettings(signaled bool) {
	next, err := n.platform.LoadSettings()
	if err != nil {
		n.logger.Error().Str("event", "settings_unusable").Err(err).Msg("settings cannot be used; keeping the current ones")
		return
	}
	current := n.bounds.Load()
	changed := *current != next.Bounds
	if changed {
		n.bounds.Store(&next.Bounds)
	}
	if changed || signaled {
		n.logger.Info().Str("event", "settings_reloaded").Bool("signal", signaled).Bool("changed", changed).
			Msg("settings reloaded")
	}
}
