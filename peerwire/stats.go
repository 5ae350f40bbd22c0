package peerwire

import "sync/atomic"

// Stats holds the counters of a Mesh since its creation.
type Stats struct {
	FramesSent, BytesSent         uint64 // bytes include the length prefixes
	FramesReceived, BytesReceived uint64
	Overflows                     uint64 // messages not sent because a send queue was full
	Opened                        uint64 // connections whose handshake succeeded
	Broken                        uint64 // connections that ended without a graceful close
	Replaced                      uint64 // silent connections that were replaced
	Refused                       uint64 // failed handshakes, and connections above maxHandshakes
	Malformed                     uint64 // invalid frames, each of which ended its connection
	Skipped                       uint64 // messages of unknown kinds
}

type counters struct {
	framesSent, bytesSent, framesReceived, bytesReceived atomic.Uint64
	overflows, opened, broken, replaced                  atomic.Uint64
	// failedHandshakes includes accepted connections that were closed because all
	// handshake slots were taken.
	failedHandshakes, malformed, skipped atomic.Uint64
}

func (c *counters) stats() Stats {
	return Stats{
		FramesSent: c.framesSent.Load(), BytesSent: c.bytesSent.Load(),
		FramesReceived: c.framesReceived.Load(), BytesReceived: c.bytesReceived.Load(),
		Overflows: c.overflows.Load(), Opened: c.opened.Load(), Broken: c.broken.Load(),
		Replaced: c.replaced.Load(), Refused: c.failedHandshakes.Load(), Malformed: c.malformed.Load(),
		Skipped: c.skipped.Load(),
	}
}
