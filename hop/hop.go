// Package hop knows which headers concern one connection only.
package hop

import (
	"net/http"
	"strings"
)

// headers are meant for one connection.
var headers = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// PassOn returns the headers that go on to the next connection: without those of
// one connection, and without those that have the given prefix; "" drops none.
func PassOn(header http.Header, dropPrefix string) http.Header {
	passed := make(http.Header, len(header))
	for name, values := range header {
		if dropPrefix == "" || !strings.HasPrefix(name, dropPrefix) {
			passed[name] = values
		}
	}
	for _, connection := range header["Connection"] {
		for name := range strings.SplitSeq(connection, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range headers {
		passed.Del(name)
	}
	return passed
}
