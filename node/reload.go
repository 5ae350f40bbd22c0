package node

import (
	"context"
	"os"
	"sync/atomic"
	"time"
)

// currentBounds holds the bounds in force. The goroutine that watches the settings
// replaces them; any goroutine loads them.
type currentBounds struct {
	atomic.Pointer[Bounds]
}

func newBounds(s *Settings) *currentBounds {
	b := &currentBounds{}
	bounds := s.Bounds
	b.Store(&bounds)
	return b
}

// settingsInterval is how often the settings are read without a signal; the file
// may change without one.
const settingsInterval = 5 * time.Second

// watchSettings follows changes of the settings. Bounds take effect at once;
// addresses hold for the life of the process.
func (n *Node) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
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

// reloadSettings takes over changed bounds. Settings that cannot be read change
// nothing.
func (n *Node) reloadSettings(asked bool) {
	next, err := n.platform.Settings()
	if err != nil {
		n.logger.Error().Str("event", "settings_unusable").Err(err).Msg("settings stay as they were")
		return
	}
	old := n.bounds.Load()
	changed := *old != next.Bounds
	if changed {
		n.bounds.Store(&next.Bounds)
	}
	if changed || asked {
		n.logger.Info().Str("event", "settings_reloaded").Bool("signal", asked).Bool("changed", changed).
			Msg("settings read again")
	}
}
