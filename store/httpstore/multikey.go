package httpstore

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/store/storeapi"
)

// List implements store.Store. It reads the list in pages; each page is a call
// with a timeout of its own.
func (c *Client) List(ctx context.Context, prefix string) ([]store.KV, error) {
	list := []store.KV{}
	query := url.Values{storeapi.ParamPrefix: {prefix}}
	for {
		var page storeapi.Keys
		if err := c.read(ctx, c.callTimeout, storeapi.PathKeys, query, &page); err != nil {
			return nil, err
		}
		for _, kv := range page.Keys {
			if len(list) > 0 && kv.Key <= list[len(list)-1].Key {
				return nil, c.invalidPage("httpstore: keys of a list are not in order")
			}
			list = append(list, store.KV(kv))
		}
		switch {
		case !page.More:
			return list, nil
		case len(page.Keys) == 0:
			return nil, c.invalidPage("httpstore: page of a list has no keys although another page follows")
		}
		query.Set(storeapi.ParamAfter, list[len(list)-1].Key)
	}
}

// invalidPage returns the error of a page after which reading the list might never
// end, and counts the call as failed.
func (c *Client) invalidPage(text string) error {
	c.failed.Add(1)
	return withCause(store.ErrUnavailable, errors.New(text))
}

// Transact implements store.Store.
func (c *Client) Transact(ctx context.Context, t store.Transaction) (revision uint64, err error) {
	if err := t.Validate(); err != nil {
		return 0, err
	}
	body := storeapi.Transaction{Remove: t.Remove}
	for _, e := range t.Expect {
		body.Expect = append(body.Expect, storeapi.Expectation(e))
	}
	for _, w := range t.Write {
		body.Write = append(body.Write, storeapi.Write(w))
	}
	var answer storeapi.TransactionReply
	if err := c.write(ctx, http.MethodPost, storeapi.PathTransaction, nil, body, &answer); err != nil {
		return 0, err
	}
	if answer.Entries != t.EntryCount() || answer.Revision == 0 && len(t.Write) > 0 {
		c.unknown.Add(1)
		return 0, withCause(store.ErrUnknownOutcome, errors.New("httpstore: number of entries or revision in the answer does not match the transaction"))
	}
	return answer.Revision, nil
}
