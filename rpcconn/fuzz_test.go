package rpcconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"chicorytray.example/chicorytray/wire"
)

// fuzzLimit is the message size limit of the fuzzed connections, in bytes.
const fuzzLimit = 4 << 10

// scriptedConn is a connection whose peer sends fixed bytes and then closes it.
type scriptedConn struct {
	io.Reader
	out bytes.Buffer
}

func (s *scriptedConn) Write(p []byte) (int, error)      { return s.out.Write(p) }
func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) LocalAddr() net.Addr              { return nil }
func (s *scriptedConn) RemoteAddr() net.Addr             { return nil }
func (s *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func fuzzOptions(codec byte) Options {
	o := Options{Codec: CodecGob, MaxMessageBytes: fuzzLimit}
	if codec%2 == 1 {
		o.Codec = CodecMsgpack
	}
	return o.withDefaults()
}

// encodeFrames returns the frames that carry the messages, as a peer would send
// them.
func encodeFrames(o Options, messages ...any) []byte {
	s := &scriptedConn{}
	f := newFrameConn(s, newMeteredConn(s), o)
	for i, m := range messages {
		if _, err := f.write(header{Seq: uint64(i), Method: "Agent.Run"}, m); err != nil {
			panic(err)
		}
	}
	return s.out.Bytes()
}

// addSeeds adds complete, truncated, oversized and malformed input to the corpus.
func addSeeds(f *testing.F, message, oversized any) {
	for codec := range byte(2) {
		whole := encodeFrames(fuzzOptions(codec), message, message)
		f.Add(codec, whole)
		f.Add(codec, whole[:len(whole)-3])
		f.Add(codec, whole[len(whole)/2:])
		f.Add(codec, []byte{0xff, 0xff, 0xff, 0xff, 0})
		unlimited := fuzzOptions(codec)
		unlimited.MaxMessageBytes = 1 << 20
		f.Add(codec, encodeFrames(unlimited, oversized))
		f.Add(codec, []byte{0, 0, 0, 0})
		f.Add(codec, []byte{0, 0, 0, 1, 1})
	}
	for name, body := range nestedFrames(1000) {
		codec := byte(1)
		if name == "gob" {
			codec = 0
		}
		f.Add(codec, frameOf(body))
	}
}

// Guards against input of a dialling peer that crashes the server, makes it hang,
// or passes a message over the size limit to a handler.
func FuzzServer(f *testing.F) {
	addSeeds(f, &wire.RunRequest{Session: wire.Session{Entry: "e", Number: 1}, Sequence: 1,
		Task: wire.Task{Request: wire.Request{Method: "GET", Path: "/", Header: []wire.Header{{Name: "A", Value: "b"}}, Body: []byte("body")}}},
		&wire.RunRequest{Task: wire.Task{Request: wire.Request{Body: make([]byte, 2*fuzzLimit)}}})
	f.Fuzz(func(t *testing.T, codec byte, input []byte) {
		o := fuzzOptions(codec)
		s := NewServer(o)
		Handle(s, "Agent.Run", func(_ context.Context, in *wire.RunRequest, _ *wire.RunReply) error {
			if len(in.Task.Request.Body) > fuzzLimit {
				t.Errorf("body of %d bytes exceeds the limit", len(in.Task.Request.Body))
			}
			return nil
		})
		h, err := o.hello(verdictNone)
		if err != nil {
			t.Fatal(err)
		}
		s.ServeConn(context.Background(), &scriptedConn{Reader: io.MultiReader(bytes.NewReader(h.encode()), bytes.NewReader(input))})
		if err := s.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against input of an answering peer that crashes the client or makes a
// call hang.
func FuzzClient(f *testing.F) {
	addSeeds(f, &wire.RunReply{Result: wire.Result{Outcome: wire.OutcomeDone, Response: wire.Response{Status: 200, Body: []byte("body")}}},
		&wire.RunReply{Result: wire.Result{Response: wire.Response{Body: make([]byte, 2*fuzzLimit)}}})
	f.Fuzz(func(t *testing.T, codec byte, input []byte) {
		s := &scriptedConn{Reader: bytes.NewReader(input)}
		cl := newClient(newFrameConn(s, newMeteredConn(s), fuzzOptions(codec)))
		var out wire.RunReply
		if err := cl.Call(context.Background(), "Agent.Run", &wire.RunRequest{}, &out); err == nil && len(out.Result.Response.Body) > fuzzLimit {
			t.Errorf("reply of %d bytes exceeds the limit", len(out.Result.Response.Body))
		}
	})
}

// Guards against accepting bytes that are not a hello of this protocol version.
func FuzzHello(f *testing.F) {
	o := Options{}.withDefaults()
	h, err := o.hello(verdictNone)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(h.encode())
	f.Add(h.encode()[:7])
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		err := exchangeHelloAsServer(&scriptedConn{Reader: bytes.NewReader(input)}, o)
		if want := len(input) >= helloBytes && bytes.Equal(input[:7], h.encode()[:7]); (err == nil) != want {
			t.Errorf("hello %x: accepted %v", input, err == nil)
		}
	})
}
