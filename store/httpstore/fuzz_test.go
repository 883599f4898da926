package httpstore_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/store/httpstore"
)

// maxFuzzCalls is more than the number of calls that the fuzzed calls need.
const maxFuzzCalls = 100

// fuzzedClient returns a client of a server that answers every request with one
// status and body, and closes the connection.
func fuzzedClient(t *testing.T, status int, body []byte) *httpstore.Client {
	connections := 0
	client, err := httpstore.New(httpstore.Options{URL: address, MaxCallsPerSecond: 1e9, Dial: func(context.Context, string) (net.Conn, error) {
		if connections++; connections > maxFuzzCalls {
			t.Fatal("calls without end")
		}
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := far.Read(make([]byte, 64<<10)); err != nil {
				return
			}
			_, _ = fmt.Fprintf(far, "HTTP/1.1 %d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(body), body)
		}()
		return near, nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// Guards against an answer of the store that takes the process down or keeps it busy
// for ever, and against one that is no success of a call and is taken for one.
func FuzzAnswers(f *testing.F) {
	for _, body := range []string{`{"key":"a","value":"MQ==","revision":3}`, `{"keys":[{"key":"a","revision":1}],"more":true}`, `{"lease":7}`,
		`{"error":"conflict"}`, `{"entries":1,"revision":3}`, "", "null", "{}", `{"revision":18446744073709551616}`} {
		for _, status := range []int{http.StatusOK, http.StatusConflict, http.StatusServiceUnavailable, http.StatusNotFound} {
			f.Add(status, []byte(body))
		}
	}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 { // net/http waits for another answer after the others, or refuses them
			return
		}
		ctx := context.Background()
		client := fuzzedClient(t, status, body)
		defer client.Close()
		kv, err := client.Get(ctx, "a")
		list, listErr := client.List(ctx, "")
		swapped, swapErr := client.CompareAndSwap(ctx, "a", 1, []byte("1"), 0)
		lease, grantErr := client.Grant(ctx, time.Second)
		_, transactErr := client.Transact(ctx, store.Transaction{Write: []store.Write{{Key: "a", Value: []byte("1")}}})
		verifyErr := client.Verify(ctx, "a", 3)
		for _, err := range []error{err, listErr, swapErr, grantErr, transactErr, verifyErr} {
			if err == nil && status != http.StatusOK {
				t.Fatalf("status %d is a success", status)
			}
		}
		for _, err := range []error{swapErr, grantErr, transactErr} {
			if status == http.StatusOK && err != nil && !errors.Is(err, store.ErrUnknownOutcome) {
				t.Fatalf("a write that may have taken effect: %v", err)
			}
		}
		if err == nil && kv.Revision == 0 || swapErr == nil && swapped.Revision == 0 || grantErr == nil && lease == 0 {
			t.Fatal(kv, swapped, lease)
		}
		for i := range list {
			if i > 0 && list[i-1].Key >= list[i].Key {
				t.Fatal(list)
			}
		}
	})
}
