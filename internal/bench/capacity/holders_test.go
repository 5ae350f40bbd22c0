package capacity

import (
	"fmt"

	"fulmarhoist.example/lease"
)

func holders(count int) []lease.Participant {
	all := make([]lease.Participant, count)
	for i := range all {
		all[i] = lease.Participant{Instance: fmt.Sprintf("entry-%d", i), Incarnation: uint64(i + 1)}
	}
	return all
}

func home(all []lease.Participant) lease.Participant {
	return lease.PreferredHolder("service-01-0001", all)
}
