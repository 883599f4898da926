package httpstore_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/store/httpstore"
)

func respondWith(body string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// Guards against reporting a transaction as applied, or as not applied, because of
// an answer to another call or from a proxy.
func TestDoubtfulAnswersToTransactions(t *testing.T) {
	change := store.Transaction{Write: []store.Write{{Key: "a"}}, Remove: []string{"b"}}
	for _, body := range []string{
		`{}`, `ok`, `{"revision":7}`, `{"entries":2}`, `{"entries":2,"revision":0}`, `{"entries":1,"revision":7}`,
		`{"key":"a","revision":7}`, `{"error":"conflict"}`, `{"entries":2,"revis`,
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			client := rawClient(t, respondWith(body))
			_, err := client.Transact(context.Background(), change)
			c.Check(err, qt.ErrorIs, store.ErrUnknownOutcome, qt.Commentf(body))
			c.Check(client.Stats().Unknown, qt.Equals, uint64(1))
		})
	}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		revision, err := rawClient(t, respondWith(`{"entries":2,"revision":7}`)).Transact(context.Background(), change)
		c.Check(err, qt.IsNil)
		c.Check(revision, qt.Equals, uint64(7))
	})
}

// Guards against pages with which a list would never end or would repeat keys.
func TestInvalidPages(t *testing.T) {
	for _, body := range []string{
		`{"keys":[],"more":true}`,
		`{"keys":[{"key":"a","revision":1}],"more":true}`,
		`{"keys":[{"key":"b","revision":1},{"key":"a","revision":1}]}`,
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			list, err := rawClient(t, respondWith(body)).List(context.Background(), "")
			c.Check(err, qt.ErrorIs, store.ErrUnavailable, qt.Commentf(body))
			c.Check(list, qt.HasLen, 0)
		})
	}
}

// Guards against returning a part of a list when a later page fails.
func TestListFailsWithALaterPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stub := storestub.New()
		for i := range 1500 {
			stub.Put(fmt.Sprint(i), nil)
		}
		inner := stub.Handler()
		client := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.RawQuery, "after=") {
				stub.SetDown(true)
			}
			inner.ServeHTTP(w, r)
		}), httpstore.Options{})
		list, err := client.List(context.Background(), "")
		c.Check(err, qt.ErrorIs, store.ErrUnavailable)
		c.Check(list, qt.HasLen, 0)
		c.Check(stub.Calls()[storestub.List], qt.Equals, 2)
	})
}
