// Package crowdtest plays crowds of clients that nobody controls, for tests of programs
// that must survive them: what each client sends, legal or not, before it stays open.
package crowdtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/processtest"
)

// Conn is what one client sends before it stays open: whole writes at once, or
// pieces of the given size.
type Conn struct {
	Data  []byte
	Piece int // 0 for one write
}

// Open opens n connections at once, sends what send returns for each, and returns when
// all have been sent or refused. The connections stay open until the end of the test
// unless the process closes them. The clients read and discard what they receive if read
// is true.
func Open(c *qt.C, n int, read bool, dial func() (net.Conn, error), send func(i int) Conn) {
	var wg sync.WaitGroup
	conns := make([]net.Conn, n)
	c.Cleanup(func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	})
	for i := range n {
		wg.Go(func() {
			conn, err := dial()
			if err != nil {
				return // refused, which is allowed
			}
			conns[i] = conn
			if read {
				go func() { _, _ = io.Copy(io.Discard, conn) }()
			}
			m := send(i)
			_ = conn.SetWriteDeadline(time.Now().Add(processtest.ConditionTimeout))
			for len(m.Data) > 0 {
				k := len(m.Data)
				if m.Piece > 0 {
					k = min(k, m.Piece)
				}
				if _, err := conn.Write(m.Data[:k]); err != nil {
					return // closed, which is allowed
				}
				m.Data = m.Data[k:]
			}
		})
	}
	wg.Wait()
}

// legalHeadBytes is the size of the lines of a head within the published limit of
// 16,384 bytes.
const legalHeadBytes = 16_000

// oddHeads are heads of legal size made of many lines: short lines with different
// names, short lines with one name, continued lines, and names without values that
// are not in their canonical form.
var oddHeads = []func() string{
	func() string { return linesOf(func(i int) string { return fmt.Sprintf("%x:\r\n", i) }) },
	func() string { return linesOf(func(int) string { return "a:\r\n" }) },
	func() string { return linesOf(func(i int) string { return fmt.Sprintf("x%x:\r\n \r\n", i) }) },
	func() string { return linesOf(func(i int) string { return fmt.Sprintf("q-%x-Z:  \n", i) }) },
}

// linesOf joins lines up to legalHeadBytes.
func linesOf(line func(i int) string) string {
	var b strings.Builder
	for i := 0; b.Len() < legalHeadBytes; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

// HeldHead returns a request with an odd head, of which the last byte of the body
// or the end of the head is missing.
func HeldHead(path string, i int) Conn {
	head := "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n" + oddHeads[i%len(oddHeads)]()
	if i%8 < 4 {
		head += "\r\n{"
	}
	return Conn{Data: []byte(head)}
}

// EndlessHead returns a head far over the limit without an end: one long line, many
// short lines, or a long request line.
func EndlessHead(path string, i int) Conn {
	const size = 1 << 20
	start := "POST " + path + " HTTP/1.1\r\nHost: a\r\n"
	switch i % 3 {
	case 0:
		return Conn{Data: append([]byte(start+"A: "), bytes.Repeat([]byte("a"), size)...), Piece: 4096}
	case 1:
		return Conn{Data: append([]byte(start), bytes.Repeat([]byte("a:\r\n"), size/4)...), Piece: 4096}
	}
	return Conn{Data: append([]byte("POST /"), bytes.Repeat([]byte("a"), size)...), Piece: 4096}
}

// EmptyLines returns empty lines of either form and no request.
func EmptyLines(i int) Conn {
	line := []string{"\r\n", "\n"}[i%2]
	return Conn{Data: bytes.Repeat([]byte(line), 256<<10/len(line)), Piece: 4096 * (i % 4)}
}

// LargeBody returns a request with a body of the given size. One of four is sent
// whole and is a document of very many empty elements; the others stop one byte
// short, at once or piece by piece.
func LargeBody(method, path, token string, size, i int) Conn {
	start := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", method, path, token, size)
	body := append([]byte(`{"template":"a","tasks":[`), bytes.Repeat([]byte("{},"), size/3+1)...)[:size]
	copy(body[size-5:], "{}]}")
	body[size-1] = ' '
	if i%4 != 0 {
		body = body[:size-1]
	}
	return Conn{Data: append([]byte(start), body...), Piece: []int{0, 8192}[i/4%2]}
}

// HeldFrame returns the hello of a process and a frame of the given size that
// lacks its last byte, at once or piece by piece.
func HeldFrame(hello []byte, size, i int) Conn {
	data := append(bytes.Clone(hello), byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
	return Conn{Data: append(data, make([]byte, size-1)...), Piece: []int{0, 64 << 10}[i%2]}
}
