package backinghttp

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"fulmarhoist.example/backing"
)

const instanceListName = "instance list"

// ListClient implements backing.InstanceList over HTTP.
type ListClient struct {
	base      *url.URL
	settings  Settings
	transport *http.Transport
}

var _ backing.InstanceList = (*ListClient)(nil)

// NewListClient returns a client of the instance list at the base URL.
func NewListClient(base string, settings Settings) (*ListClient, error) {
	u, err := parseBaseURL(base)
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	settings, err = settings.withDefaults()
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	return &ListClient{base: u, settings: settings, transport: settings.newTransport(reuseConnections)}, nil
}

// Close closes the idle connections.
func (c *ListClient) Close() { c.transport.CloseIdleConnections() }

// List implements backing.InstanceList. It ignores members of an unknown kind,
// so that the service can add kinds later.
func (c *ListClient) List(ctx context.Context) (backing.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	status, body, err := c.settings.get(ctx, c.transport, c.base.JoinPath("instances").String())
	if err == nil && status != http.StatusOK && status != http.StatusServiceUnavailable {
		err = &StatusError{Status: status}
	}
	if err != nil || status != http.StatusOK {
		return backing.Listing{}, &backing.UnavailableError{Service: instanceListName, Op: "list", Err: err}
	}
	listing, err := decodeListing(body)
	if err != nil {
		return backing.Listing{}, &backing.UnavailableError{Service: instanceListName, Op: "list", Err: err}
	}
	return listing, nil
}

// decodeListing decodes and validates the body of a listing.
func decodeListing(body []byte) (backing.Listing, error) {
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
		return backing.Listing{}, err
	}
	// A missing member list must not be mistaken for an empty one.
	if wire.Version == nil || wire.Members == nil {
		return backing.Listing{}, &MalformedResponseError{Problem: "version or members is missing"}
	}
	listing := backing.Listing{Version: *wire.Version, Members: make([]backing.Member, 0, len(wire.Members))}
	for i, m := range wire.Members {
		kind := backing.Kind(m.Kind)
		if kind != backing.KindEntry && kind != backing.KindTarget {
			continue
		}
		if m.ID == "" || m.Address == "" {
			return backing.Listing{}, &MalformedResponseError{Problem: fmt.Sprintf("member %d has no id or no address", i)}
		}
		listing.Members = append(listing.Members, backing.Member{
			ID: m.ID, Kind: kind, Zone: m.Zone, Address: m.Address, Leaving: m.Leaving,
		})
	}
	return listing, nil
}
