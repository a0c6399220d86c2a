package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// endlessCopies is the number of requests that read from a faulty peer at the same time.
	endlessCopies = 8
	// maxEndlessHeapBytes bounds the growth of the heap while they do. An instance has 184 MB.
	maxEndlessHeapBytes = 16 << 20
	// endlessTimeout is far below the time in which the peers stop by themselves, which is never.
	endlessTimeout = 10 * time.Second
)

// sendEndlessly writes the text once and then the repeated text until the peer closes the connection.
func sendEndlessly(first, repeated string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		if !answerRequest(conn, reader, first) {
			return
		}
		block := strings.Repeat(repeated, max(1, 4096/len(repeated)))
		for {
			if _, err := io.WriteString(conn, block); err != nil {
				return
			}
		}
	}
}

// Guards against a peer whose bytes never become an answer or never end one: they must not fill the memory or hold the request, and
// the connection must be closed. Each body is read in full, as the answers of plain services are.
func TestBytesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, peer := range map[string]func(net.Conn, *bufio.Reader){
		"one long header line":      sendEndlessly(head+"Long: ", "x"),
		"many header lines":         sendEndlessly(head, "Line: x\r\n"),
		"many interim answers":      sendEndlessly("", "HTTP/1.1 102 Processing\r\n\r\n"),
		"no answer at all":          sendEndlessly("", "z"),
		"chunk extension":           sendEndlessly(head+"Transfer-Encoding: chunked\r\n\r\n2;", "e"),
		"chunks of one byte":        sendEndlessly(head+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("e", 200)+"\r\nx\r\n"),
		"trailer":                   sendEndlessly(head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: x\r\n"),
		"body past its length":      sendEndlessly(head+"Content-Length: 2\r\n\r\nok", "z"),
		"answers to other calls":    sendEndlessly("", answerWithID("other")),
		"body of another answer":    sendEndlessly("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n", "z"),
		"bytes after an empty body": sendEndlessly(head+"Content-Length: 0\r\n\r\n", "z"),
	} {
		t.Run(name, func(t *testing.T) {
			address := startScriptedServer(t, slices.Repeat([]func(net.Conn, *bufio.Reader){peer}, endlessCopies)...)
			before := heapInUse()
			pool := NewPool(Options{})
			var readers sync.WaitGroup
			begun := time.Now()
			for range endlessCopies {
				readers.Go(func() { readEndless(t.Context(), pool, address) })
			}
			readers.Wait()
			if took := time.Since(begun); took > endlessTimeout {
				t.Errorf("the requests ended after %s", took)
			}
			if grown := heapInUse() - before; grown > maxEndlessHeapBytes {
				t.Errorf("the heap grew by %d bytes", grown)
			}
			for c := pool.popIdle(address); c != nil; c = pool.popIdle(address) {
				// Bytes that arrive after a complete answer are noticed at the latest when the connection is to be used again.
				_, _ = c.reader.Peek(1)
				if c.healthy() {
					t.Error("a connection with bytes that belong to no answer would be used again")
				}
				_ = c.Close()
			}
		})
	}
}

// readEndless sends a request and reads its answer as far as it goes.
func readEndless(ctx context.Context, pool *Pool, address string) {
	response, err := pool.Do(ctx, getRequest(address, "1"))
	if err != nil {
		return
	}
	defer response.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response, 1<<20))
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}
