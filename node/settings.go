// Package node is an entry instance that finds everything it needs in the store
// of a platform: the configuration, the targets and the other instances. It wires
// the parts, applies what the store says, and stops gracefully.
package node

import (
	"strings"
	"time"
)

// Settings are the properties of one process.
type Settings struct {
	Instance string
	Zone     string
	Address  string // IP address of the machine
	MaxFiles float64

	// Callers, Ready and Directory are the addresses to listen on.
	Callers   string
	Ready     string
	Directory string

	PeerPort string // port for other instances; "" if there is none

	Store    string        // address of the platform's store
	LeastTTL time.Duration // least lifetime of a group member at the store
	Bounds   Bounds
}

// Bounds are figures of the promises that the platform sets.
type Bounds struct {
	Grace           time.Duration // from SIGTERM until the process is killed
	DirectoryTTL    time.Duration // longest lifetime of an answer of the directory
	RetryRatio      float64       // repeats per request of a service, over all instances
	RetryExtra      float64       // repeats on top of that, over all instances
	ColdOvershoot   float64       // see fleet.ColdBound
	ColdSlack       float64
	ProbesPerSecond float64 // health questions per target, over all instances
}

// SettingsError reports all problems of the settings.
type SettingsError struct {
	Problems []string
}

func (e *SettingsError) Error() string { return "settings: " + strings.Join(e.Problems, "; ") }
