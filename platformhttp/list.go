package platformhttp

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"fulmarhoist.example/platform"
)

const listName = "instance list"

// ListClient implements platform.InstanceList over HTTP.
type ListClient struct {
	base      *url.URL
	settings  Settings
	transport *http.Transport
}

var _ platform.InstanceList = (*ListClient)(nil)

// NewListClient gives a client of the instance list at a base URL.
func NewListClient(base string, settings Settings) (*ListClient, error) {
	u, err := parseBase(base)
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	settings, err = settings.withDefaults()
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	return &ListClient{base: u, settings: settings, transport: settings.newTransport(keepIdle)}, nil
}

// Close closes idle connections.
func (c *ListClient) Close() { c.transport.CloseIdleConnections() }

// List implements platform.InstanceList. Members of a kind that the product
// does not know are left out.
func (c *ListClient) List(ctx context.Context) (platform.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	status, body, err := c.settings.get(ctx, c.transport, c.base.JoinPath("instances").String())
	if err == nil && status != http.StatusOK && status != http.StatusServiceUnavailable {
		err = &StatusError{Status: status}
	}
	if err != nil || status != http.StatusOK {
		return platform.Listing{}, &platform.UnavailableError{Service: listName, Op: "list", Err: err}
	}
	listing, err := decodeListing(body)
	if err != nil {
		return platform.Listing{}, &platform.UnavailableError{Service: listName, Op: "list", Err: err}
	}
	return listing, nil
}

func decodeListing(body []byte) (platform.Listing, error) {
	var wire struct {
		Version *uint64 `json:"version"`
		Members []struct {
			ID      string `json:"id"`
			Kind    string `json:"kind"`
			Zone    string `json:"zone"`
			Address string `json:"address"`
			Leaving bool   `json:"leaving"`
		} `json:"members"`
	}
	if err := decode(body, &wire); err != nil {
		return platform.Listing{}, err
	}
	// An absent list must not be taken for an empty one.
	if wire.Version == nil || wire.Members == nil {
		return platform.Listing{}, &MalformedError{Problem: "version or members are missing"}
	}
	listing := platform.Listing{Version: *wire.Version, Members: make([]platform.Member, 0, len(wire.Members))}
	for i, m := range wire.Members {
		kind := platform.Kind(m.Kind)
		if kind != platform.KindEntry && kind != platform.KindTarget {
			continue
		}
		if m.ID == "" || m.Address == "" {
			return platform.Listing{}, &MalformedError{Problem: fmt.Sprintf("member %d has no id or no address", i)}
		}
		listing.Members = append(listing.Members, platform.Member{
			ID: m.ID, Kind: kind, Zone: m.Zone, Address: m.Address, Leaving: m.Leaving,
		})
	}
	return listing, nil
}
