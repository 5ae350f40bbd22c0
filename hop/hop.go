// Package hop implements the parts of HTTP/1.1 that concern a single connection:
// hop-by-hop headers, chunked bodies, and a limit on the bytes of a header.
package hop

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists the headers, in canonical form, that apply to a single
// connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEndHeaders returns the end-to-end headers, which are to be forwarded. It
// omits the hop-by-hop headers, including those that Connection lists, and the
// headers whose names have the given prefix; "" omits none.
func EndToEndHeaders(header http.Header, dropPrefix string) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if dropPrefix == "" || !strings.HasPrefix(name, dropPrefix) {
			forwarded[name] = values
		}
	}
	for _, connection := range header["Connection"] {
		for name := range strings.SplitSeq(connection, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
