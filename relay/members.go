package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
)

// TopicMembers is the topic under which a relay offers the list of members. It is
// not a topic of the store.
const TopicMembers = "members"

// Members reads the list of members of the group through the relay if there is one,
// and from the store otherwise. Without a relay, a rolling restart would make every
// instance read the list from the store at each change.
type Members struct {
	Client
	// List reads the members from the store.
	List func(ctx context.Context) ([]fleet.Member, error)
	// Buffer holds the latest list for other instances; see NewLatestBuffer.
	Buffer *Buffer
}

// NoMembersError reports a relay that sent an empty list of members, although it is
// a member itself.
type NoMembersError struct {
	Address string // address of the relay
}

func (e *NoMembersError) Error() string {
	return "relay at " + e.Address + " sent an empty list of members"
}

// AtGeneration returns the members at the given generation of the group, or a
// later one.
func (m *Members) AtGeneration(ctx context.Context, generation uint64) ([]fleet.Member, error) {
	if members, ok := m.fromRelay(ctx, generation); ok {
		return members, nil
	}
	members, err := m.List(ctx)
	if err != nil {
		return nil, err
	}
	value, err := msgpack.Marshal(members)
	if err != nil {
		return nil, fmt.Errorf("relay: encode members: %w", err)
	}
	m.keep(generation, value)
	return members, nil
}

// keep keeps the list of members at a generation for other instances.
func (m *Members) keep(generation uint64, value []byte) {
	m.Buffer.Reset(generation)
	m.Buffer.Add(generation, []feed.Record{{Key: TopicMembers, Value: value}})
}

// membersPolls is the number of requests for the members before they are read from
// the store. The relay renews its own membership about once per request.
const membersPolls = 2

// fromRelay requests the members from a relay. It returns false if there is none, or
// none that learns of the generation in time.
func (m *Members) fromRelay(ctx context.Context, generation uint64) ([]fleet.Member, bool) {
	for polls := 0; polls < membersPolls; polls++ {
		address := m.activeRelay(time.Now())
		if address == "" {
			return nil, false
		}
		resp, err := m.poll(ctx, address, TopicMembers, generation)
		if err != nil {
			m.dropRelay(time.Now(), address, err)
			polls-- // another relay may answer
			continue
		}
		if len(resp.Records) > 0 {
			// Other instances may read through this one too; see Log.Read.
			m.keep(resp.Next-1, resp.Records[0].Value)
			return m.decode(address, resp.Records[0].Value)
		}
	}
	return nil, false
}

// decode decodes a list of members from the relay.
func (m *Members) decode(address string, value []byte) ([]fleet.Member, bool) {
	members, err := decodeMembers(value)
	if err != nil {
		m.dropRelay(time.Now(), address, fmt.Errorf("relay: decode members from relay at %s: %w", address, err))
		return nil, false
	}
	if len(members) == 0 {
		m.dropRelay(time.Now(), address, &NoMembersError{address})
		return nil, false
	}
	return members, true
}
