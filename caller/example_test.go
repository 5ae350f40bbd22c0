package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"fulmarhoist.example/caller"
)

// Sends a request that must not be executed twice. The client sends it with a
// request key, and the type of the error tells whether the request may be
// passed to Do again.
func ExampleClient_Do() {
	var instance *httptest.Server
	instance = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fulmarhoist/v1/directory" {
			_, _ = fmt.Fprintf(w, `{"version":1,"lifetime_ms":30000,"instances":[{"id":"entry-1","zone":"az-1",`+
				`"address":%q,"ticket":"entry-1.00c0ffee00c0ffee.3"}]}`, instance.Listener.Addr())
			return
		}
		w.Header().Set("Fulmarhoist-Outcome", "answered")
		_, _ = fmt.Fprint(w, "one box reordered")
	}))
	defer instance.Close()

	client, err := caller.New(caller.Options{Instances: []string{instance.Listener.Addr().String()}, Zone: "az-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()

	response, err := client.Do(context.Background(), caller.Request{
		Service: "orders", Class: "reorder", Method: http.MethodPost, Path: "/reorder",
		Body: []byte(`{"boxes":1}`), Deadline: 2 * time.Second,
	})
	var unknown *caller.UnknownError
	switch {
	case err == nil:
		fmt.Println(response.Status, string(response.Body))
	case errors.As(err, &unknown):
		fmt.Println("may have been executed; pass it to Do again with key", unknown.Key)
	default:
		fmt.Println("failed:", err)
	}
	// Output: 200 one box reordered
}
