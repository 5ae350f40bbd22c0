package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
)

// TopicMembers is the name under which a relay passes on the list of members. It
// is no topic of the store.
const TopicMembers = "members"

// Members reads the list of the group's members: through the instance that relays
// for this one if there is one, and from the store otherwise. When instances are
// stopped in turn, every instance would read it at each change.
type Members struct {
	Client
	// List reads the members from the store.
	List func(ctx context.Context) ([]fleet.Member, error)
	// Buffer holds the newest list for others; see NewLatest.
	Buffer *Buffer
}

// At returns the members at a generation of the group, or at a later one.
func (m *Members) At(ctx context.Context, generation uint64) ([]fleet.Member, error) {
	if members, ok := m.relayed(ctx, generation); ok {
		return members, nil
	}
	members, err := m.List(ctx)
	if err != nil {
		return nil, err
	}
	value, err := msgpack.Marshal(members)
	if err != nil {
		return nil, fmt.Errorf("relay: encode the members: %w", err)
	}
	m.Buffer.Reset(generation)
	m.Buffer.Add(generation, []feed.Record{{Key: TopicMembers, Value: value}})
	return members, nil
}

// relayed asks the relay. It returns false if that does not know the generation
// soon.
func (m *Members) relayed(ctx context.Context, generation uint64) ([]fleet.Member, bool) {
	address := m.relay(time.Now())
	if address == "" {
		return nil, false
	}
	got, err := m.poll(ctx, address, TopicMembers, generation)
	if err != nil {
		m.giveUp(time.Now(), address, err)
		return nil, false
	}
	if len(got.Records) == 0 {
		return nil, false
	}
	var members []fleet.Member
	if err := msgpack.Unmarshal(got.Records[0].Value, &members); err != nil || len(members) == 0 {
		m.giveUp(time.Now(), address, fmt.Errorf("relay: decode the members: %w", err))
		return nil, false
	}
	return members, true
}
