package rpcconn

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/wire"
)

const defaultVersion = wire.ProtocolVersion

// A hello is 4 bytes of magic number, 2 bytes of version, 1 byte of codec number
// and 1 byte of verdict. The dialling side sends its hello first. The accepting
// side answers with its own version and codec, and says in the verdict whether
// it accepts the connection.
const (
	helloBytes     = 8
	helloMethod    = "hello" // name under which hellos are counted
	verdictNone    = 0       // sent by the dialling side
	verdictAccept  = 1
	verdictRefused = 2
)

var helloMagic = [4]byte{'C', 'T', 'R', 'Y'}

type hello struct {
	Magic   [4]byte
	Version uint16
	Codec   byte
	Verdict byte
}

func (h hello) encode() []byte {
	var b bytes.Buffer
	// A write of fixed-size fields into a buffer cannot fail.
	_ = binary.Write(&b, binary.BigEndian, h)
	return b.Bytes()
}

func readHello(r io.Reader) (hello, error) {
	var h hello
	var b [helloBytes]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return h, toConnError(err)
	}
	_ = binary.Read(bytes.NewReader(b[:]), binary.BigEndian, &h)
	if h.Magic != helloMagic {
		return h, merry.Prepend(ErrProtocol, "hello does not begin with the magic number of the protocol")
	}
	return h, nil
}

func (o Options) hello(verdict byte) (hello, error) {
	n, err := o.Codec.number()
	return hello{helloMagic, o.Version, n, verdict}, err
}

// exchangeHelloAsClient sends the hello of the dialling side and checks the
// peer's answer.
func exchangeHelloAsClient(c net.Conn, o Options) error {
	own, err := o.hello(verdictNone)
	if err != nil {
		return err
	}
	_ = c.SetDeadline(time.Now().Add(o.HelloTimeout))
	if _, err := c.Write(own.encode()); err != nil {
		return toConnError(err)
	}
	peer, err := readHello(c)
	if err != nil {
		return err
	}
	o.Counters.countSent(helloMethod, helloBytes)
	o.Counters.countReceived(helloMethod, helloBytes)
	if err := checkCompatible(own, peer); err != nil {
		return err
	}
	if peer.Verdict != verdictAccept {
		return merry.Prepend(ErrProtocol, "peer refused the hello")
	}
	return c.SetDeadline(time.Time{})
}

// exchangeHelloAsServer reads the peer's hello and answers it. It also answers
// when version or codec differ, so that the peer can report the difference.
func exchangeHelloAsServer(c net.Conn, o Options) error {
	_ = c.SetDeadline(time.Now().Add(o.HelloTimeout))
	peer, err := readHello(c)
	if err != nil {
		return err
	}
	own, err := o.hello(verdictAccept)
	if err != nil {
		return err
	}
	mismatch := checkCompatible(own, peer)
	if mismatch != nil {
		own.Verdict = verdictRefused
	}
	if _, err := c.Write(own.encode()); err != nil {
		return toConnError(err)
	}
	o.Counters.countReceived(helloMethod, helloBytes)
	o.Counters.countSent(helloMethod, helloBytes)
	if mismatch != nil {
		return mismatch
	}
	return c.SetDeadline(time.Time{})
}

// checkCompatible returns ErrVersion unless both sides use the same protocol
// version and codec.
func checkCompatible(own, peer hello) error {
	if own.Version != peer.Version {
		return merry.Prependf(ErrVersion, "own version %d, peer's version %d", own.Version, peer.Version)
	}
	if own.Codec != peer.Codec {
		return merry.Prependf(ErrVersion, "own codec %d, peer's codec %d", own.Codec, peer.Codec)
	}
	return nil
}
