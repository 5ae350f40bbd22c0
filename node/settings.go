// Package node implements an entry instance that reads its configuration, its
// targets and the other instances from the store of a platform. It constructs
// the components, applies the records of the store, and shuts down gracefully.
package node

import (
	"strings"
	"time"
)

// Settings holds the settings of one process.
type Settings struct {
	Instance     string  // name of this instance
	Zone         string  // availability zone of this instance
	HostIP       string  // IP address of the machine
	MaxOpenFiles float64 // maximum number of open file descriptors

	// CallerAddress, ReadyAddress and DirectoryAddress are the host:port
	// addresses on which to listen for callers, readiness checks and directory
	// requests.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string

	// PeerPort is the port on which other instances read records through this one,
	// and CrashPort the one on which they report crashes; "" for none. All instances
	// have the same CrashPort.
	PeerPort  string
	CrashPort string

	// FirstStart is true if the whole deployment starts for the first time.
	FirstStart bool

	StoreAddress string        // address of the platform's store
	MinTTL       time.Duration // minimum lifetime of a group membership at the store
	Bounds       Bounds
}

// Bounds holds the limits that the platform prescribes.
type Bounds struct {
	Grace           time.Duration // from SIGTERM until the process is killed
	DirectoryTTL    time.Duration // maximum lifetime of a directory response
	RetryRatio      float64       // retries per request of a service, over all instances
	RetryExtra      float64       // retries in addition to RetryRatio, over all instances
	ColdOvershoot   float64       // see fleet.ColdBound
	ColdSlack       float64
	ProbesPerSecond float64 // health probes per second and target, over all instances
}

// SettingsError lists all problems of the settings.
type SettingsError struct {
	Problems []string
}

func (e *SettingsError) Error() string { return "settings: " + strings.Join(e.Problems, "; ") }
