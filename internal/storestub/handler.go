package storestub

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/store/storeapi"
)

// Largest sizes of request bodies: for one value of the largest size in base64
// inside JSON, and for a transaction of such values.
const (
	maxRequestBytes     = 2 * store.MaxValueBytes
	maxTransactionBytes = store.MaxTransactionEntries * maxRequestBytes
)

// Handler serves the store's HTTP API. For a lost answer it closes the connection
// without a response, or leaves it open while SetSilentLosses is in effect.
func (s *Stub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storeapi.PathKey, s.serveGet)
	mux.HandleFunc("PUT "+storeapi.PathKey, s.servePut)
	mux.HandleFunc("DELETE "+storeapi.PathKey, s.serveDelete)
	mux.HandleFunc("GET "+storeapi.PathKeys, s.serveList)
	mux.HandleFunc("POST "+storeapi.PathTransaction, s.serveTransaction)
	mux.HandleFunc("GET "+storeapi.PathVerify, s.serveVerify)
	mux.HandleFunc("GET "+storeapi.PathWatch, s.serveWatch)
	mux.HandleFunc("POST "+storeapi.PathLease, s.serveGrant)
	mux.HandleFunc("PUT "+storeapi.PathLease, s.serveKeepAlive)
	mux.HandleFunc("DELETE "+storeapi.PathLease, s.serveRevoke)
	return s.injectHTTPFaults(mux)
}

func (s *Stub) serveGet(w http.ResponseWriter, r *http.Request) {
	kv, err := s.Get(r.Context(), r.FormValue(storeapi.ParamKey))
	writeReply(w, storeapi.KV(kv), err)
}

func (s *Stub) serveVerify(w http.ResponseWriter, r *http.Request) {
	if expect, ok := uintParam(w, r, storeapi.ParamExpect); ok {
		key := r.FormValue(storeapi.ParamKey)
		writeReply(w, storeapi.VerifyReply{Key: key, Revision: expect}, s.Verify(r.Context(), key, expect))
	}
}

func (s *Stub) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, ok := uintParam(w, r, storeapi.ParamAfter)
	if !ok {
		return
	}
	kv, err := s.Watch(r.Context(), r.FormValue(storeapi.ParamKey), after)
	writeReply(w, storeapi.KV(kv), err)
}

func (s *Stub) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := s.listPage(r.Context(), r.FormValue(storeapi.ParamPrefix), r.FormValue(storeapi.ParamAfter))
	keys := storeapi.Keys{Keys: make([]storeapi.KV, len(list.keys)), More: list.more}
	for i, kv := range list.keys {
		keys.Keys[i] = storeapi.KV(kv)
	}
	writeReply(w, keys, err)
}

func (s *Stub) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body storeapi.Transaction
	if !decodeBody(w, r, &body, maxTransactionBytes) {
		return
	}
	t := store.Transaction{Remove: body.Remove}
	for _, e := range body.Expect {
		t.Expect = append(t.Expect, store.Expectation(e))
	}
	for _, write := range body.Write {
		t.Write = append(t.Write, store.Write(write))
	}
	revision, err := s.Transact(r.Context(), t)
	writeReply(w, storeapi.TransactionReply{Entries: t.EntryCount(), Revision: revision}, err)
}

func (s *Stub) servePut(w http.ResponseWriter, r *http.Request) {
	expect, ok := uintParam(w, r, storeapi.ParamExpect)
	if !ok {
		return
	}
	var lease uint64
	if r.URL.Query().Has(storeapi.ParamLease) {
		if lease, ok = uintParam(w, r, storeapi.ParamLease); !ok {
			return
		}
	}
	var body storeapi.Value
	if !decodeBody(w, r, &body, maxRequestBytes) {
		return
	}
	key := r.URL.Query().Get(storeapi.ParamKey)
	kv, err := s.CompareAndSwap(r.Context(), key, expect, body.Value, store.LeaseID(lease))
	writeReply(w, storeapi.KV{Key: kv.Key, Revision: kv.Revision}, err)
}

func (s *Stub) serveDelete(w http.ResponseWriter, r *http.Request) {
	if expect, ok := uintParam(w, r, storeapi.ParamExpect); ok {
		writeReply(w, storeapi.Empty{}, s.Delete(r.Context(), r.URL.Query().Get(storeapi.ParamKey), expect))
	}
}

func (s *Stub) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body storeapi.Grant
	if !decodeBody(w, r, &body, maxRequestBytes) {
		return
	}
	lease, err := s.Grant(r.Context(), time.Duration(body.TTLMS)*time.Millisecond)
	writeReply(w, storeapi.Lease{Lease: lease}, err)
}

func (s *Stub) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	if lease, ok := uintParam(w, r, storeapi.ParamLease); ok {
		writeReply(w, storeapi.Empty{}, s.KeepAlive(r.Context(), store.LeaseID(lease)))
	}
}

func (s *Stub) serveRevoke(w http.ResponseWriter, r *http.Request) {
	if lease, ok := uintParam(w, r, storeapi.ParamLease); ok {
		writeReply(w, storeapi.Empty{}, s.Revoke(r.Context(), store.LeaseID(lease)))
	}
}

func uintParam(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		http.Error(w, name+": must be a whole number of at least 0", http.StatusBadRequest)
	}
	return n, err == nil
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any, limit int64) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeReply(w http.ResponseWriter, answer any, err error) {
	status := http.StatusOK
	if err != nil {
		if errors.Is(err, store.ErrUnknownOutcome) {
			panic(http.ErrAbortHandler)
		}
		answer, status = errorReply(err)
	}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func errorReply(err error) (storeapi.Error, int) {
	for _, f := range storeapi.Failures {
		if errors.Is(err, f.Err) {
			return storeapi.Error{Code: f.Code}, f.Status
		}
	}
	return storeapi.Error{Code: "internal"}, http.StatusInternalServerError
}
