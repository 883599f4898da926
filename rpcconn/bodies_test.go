package rpcconn

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/wire"
)

// message is a type of message between processes.
type message struct {
	empty   func() any
	example func(seed int) any
}

func messageOf[T any]() message {
	return message{func() any { return new(T) }, func(seed int) any {
		v := rapid.Make[T]().Example(seed)
		return &v
	}}
}

// messages has the arguments and replies of all methods.
var messages = []message{
	messageOf[wire.OpenSessionRequest](), messageOf[wire.OpenSessionReply](), messageOf[wire.RunRequest](), messageOf[wire.RunReply](),
	messageOf[wire.AwaitRequest](), messageOf[wire.CancelRequest](), messageOf[wire.CancelReply](), messageOf[wire.AnnounceRequest](),
	messageOf[wire.AnnounceReply](), messageOf[wire.HeartbeatRequest](), messageOf[wire.HeartbeatReply](), messageOf[wire.IntroduceRequest](),
	messageOf[wire.OfferRequest](), messageOf[wire.OfferReply](), messageOf[wire.CancelLeasedRequest](), messageOf[wire.CancelLeasedReply](),
	messageOf[wire.DurableRequest](), messageOf[wire.DurableReply](), messageOf[wire.PeerHeartbeat](), messageOf[wire.ConfigRequest](),
	messageOf[wire.ConfigReply](), messageOf[wire.ReadConfigRequest](), messageOf[wire.ReadConfigReply](), messageOf[wire.PushConfigRequest](),
	messageOf[wire.PushConfigReply](), messageOf[wire.JobRequest](), messageOf[wire.JobReply](), messageOf[wire.Empty](),
}

// Guards against a body that crashes the process that decodes it, and against a
// message that was decoded and cannot be sent on.
func FuzzBodies(f *testing.F) {
	for codec := range byte(2) {
		o := fuzzOptions(codec)
		o.MaxMessageBytes = 1 << 20
		head := len(encodeFrames(o, nil))
		for kind, m := range messages {
			for seed := range 2 {
				f.Add(codec, byte(kind), encodeFrames(o, m.example(seed))[head:])
			}
			f.Add(codec, byte(kind), []byte{0xc0})
		}
	}
	f.Fuzz(func(t *testing.T, codec, kind byte, body []byte) {
		o := fuzzOptions(codec)
		o.MaxMessageBytes = 1 << 20
		m := messages[int(kind)%len(messages)]
		frame := slices.Concat(encodeFrames(o, nil)[lengthBytes+1:], body)
		in := newFrameConn(nil, nil, o)
		in.reader.Reset(bytes.NewReader(frameOf(frame)))
		if _, _, err := in.read(); err != nil {
			return
		}
		decoded := m.empty()
		if err := in.readBody(decoded); err != nil {
			if !errors.Is(err, ErrProtocol) {
				t.Fatal(err)
			}
			return
		}
		out := newFrameConn(nil, nil, o)
		data, err := out.encode(header{}, decoded)
		if errors.Is(err, ErrTooLarge) {
			return
		}
		if err != nil {
			t.Fatalf("%+v: %v", decoded, err)
		}
		in.reader.Reset(bytes.NewReader(data))
		if _, _, err := in.read(); err != nil {
			t.Fatal(err)
		}
		if err := in.readBody(m.empty()); err != nil {
			t.Fatalf("%+v: %v", decoded, err)
		}
	})
}
