package relay

// request requests the records of a topic from an offset on. With WaitMs the relay
// waits for that many milliseconds if there are none yet.
type request struct {
	Topic  string `msgpack:"topic"`
	From   uint64 `msgpack:"from"`
	WaitMs int64  `msgpack:"wait_ms"`
	// Deflate is true if the client can read compressed values. Instances of
	// earlier versions cannot.
	Deflate bool `msgpack:"deflate"`
	// WaitStale makes the relay wait also while the store does not respond to it.
	WaitStale bool `msgpack:"wait_stale"`
}

// wireRecord is a feed.Record in a message.
type wireRecord struct {
	Key      string
	Value    []byte // compressed if Deflated is true
	Deleted  bool
	Deflated bool `msgpack:",omitempty"`
}

// response is the response to a request.
type response struct {
	// Current is false if the relay has no current records; see StaleError.
	Current bool         `msgpack:"current"`
	Next    uint64       `msgpack:"next"` // offset after the records
	Records []wireRecord `msgpack:"records"`
	// ReadStore is true if the records must be read from the store; see readResult.
	ReadStore bool `msgpack:"elsewhere"`
}

// maxRequestBytes and maxResponseBytes are the maximum sizes of messages.
const (
	maxRequestBytes  = 1 << 10
	maxResponseBytes = 8 << 20
)
