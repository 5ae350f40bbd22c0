package contract

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxKeyBytes is the maximum length of the textual form of a key.
const MaxKeyBytes = 256

// Ticket binds non-idempotent requests to one incarnation of one entry instance.
// No other process may execute a request whose key contains the ticket.
type Ticket struct {
	Instance    string
	Incarnation uint64
	Epoch       uint64 // epoch of the ledger in which the ticket was issued
}

func (t Ticket) String() string {
	return fmt.Sprintf("%s.%016x.%d", t.Instance, t.Incarnation, t.Epoch)
}

// Key is the idempotency key of a non-idempotent request. A caller that resends
// a request uses the same key.
type Key struct {
	Ticket Ticket
	Name   string
}

func (k Key) String() string { return k.Ticket.String() + "/" + k.Name }

// IsZero reports whether the key is unset.
func (k Key) IsZero() bool { return k.Name == "" }

// ParseTicket parses the textual form of a ticket, "instance.incarnation.epoch".
// The instance name may itself contain dots.
func ParseTicket(text string) (Ticket, error) {
	parts := make([]string, 3)
	parts[0] = text
	for i := 2; i > 0; i-- {
		dot := strings.LastIndexByte(parts[0], '.')
		if dot <= 0 {
			return Ticket{}, &FieldError{Field: "ticket", Problem: "is not of the form instance.incarnation.epoch"}
		}
		parts[0], parts[i] = parts[0][:dot], parts[0][dot+1:]
	}
	incarnation, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Ticket{}, &FieldError{Field: "ticket", Problem: "has an incarnation that is not a hexadecimal number"}
	}
	epoch, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Ticket{}, &FieldError{Field: "ticket", Problem: "has an epoch that is not a number"}
	}
	return Ticket{Instance: parts[0], Incarnation: incarnation, Epoch: epoch}, nil
}

// ParseKey parses the textual form of a key, "ticket/name".
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyBytes {
		return Key{}, &FieldError{Field: "request key", Problem: fmt.Sprintf("is longer than %d bytes", MaxKeyBytes)}
	}
	ticketText, name, found := strings.Cut(text, "/")
	if !found || name == "" {
		return Key{}, &FieldError{Field: "request key", Problem: "is not of the form ticket/name"}
	}
	ticket, err := ParseTicket(ticketText)
	if err != nil {
		return Key{}, fmt.Errorf("request key: %w", err)
	}
	return Key{Ticket: ticket, Name: name}, nil
}
