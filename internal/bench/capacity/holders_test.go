package capacity

import (
	"fmt"

	"fulmarhoist.example/lease"
)

func holders(count int) []lease.Holder {
	all := make([]lease.Holder, count)
	for i := range all {
		all[i] = lease.Holder{Instance: fmt.Sprintf("entry-%d", i), Incarnation: uint64(i + 1)}
	}
	return all
}

func home(all []lease.Holder) lease.Holder { return lease.Home("service-01-0001", all) }
