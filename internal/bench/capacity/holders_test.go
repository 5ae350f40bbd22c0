package capacity

import (
	"fmt"

	"fulmarhoist.example/lease"
)

// participants returns entry instances that can hold a lease.
func participants(count int) []lease.Participant {
	all := make([]lease.Participant, count)
	for i := range all {
		all[i] = lease.Participant{Instance: fmt.Sprintf("entry-%d", i), Incarnation: uint64(i + 1)}
	}
	return all
}

// preferredHolder returns the preferred holder of the lease on one cold target.
func preferredHolder(all []lease.Participant) lease.Participant {
	return lease.PreferredHolder("service-01-0001", all)
}
