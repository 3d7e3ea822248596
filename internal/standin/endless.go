package standin

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Endless is a form of bytes without end that a peer in trouble sends in place of a response.
type Endless string

// Forms of bytes without end. The names say where in the response the bytes go on.
const (
	EndlessFirstLine      Endless = "first line"
	EndlessStatusLine     Endless = "status line"
	EndlessHeaderLine     Endless = "header line"
	EndlessShortHeaders   Endless = "short header lines"
	EndlessLongHeaders    Endless = "long header lines"
	EndlessInterim        Endless = "interim responses"
	EndlessChunkExtension Endless = "chunk extension"
	EndlessChunkSize      Endless = "chunk size"
	EndlessTrailer        Endless = "trailer"
	// EndlessPastLength goes on past the declared length of the body.
	EndlessPastLength Endless = "body past its length"
	// EndlessStray is a response to another request whose body doesn't end.
	EndlessStray Endless = "response to another request"
	// EndlessBody is a body without a length, EndlessChunks one of chunks.
	EndlessBody   Endless = "body"
	EndlessChunks Endless = "chunks"
	// EndlessEvent is a stream whose first event doesn't end.
	EndlessEvent Endless = "event"
	// EndlessJSON is a JSON text without a length that doesn't end.
	EndlessJSON Endless = "JSON"
)

// EndlessForms returns all forms.
func EndlessForms() []Endless {
	return []Endless{
		EndlessFirstLine, EndlessStatusLine, EndlessHeaderLine, EndlessShortHeaders, EndlessLongHeaders, EndlessInterim, EndlessChunkExtension,
		EndlessChunkSize, EndlessTrailer, EndlessPastLength, EndlessStray, EndlessBody, EndlessChunks, EndlessEvent, EndlessJSON,
	}
}

const (
	// endlessBlockBytes is how much is written at a time.
	endlessBlockBytes = 64 << 10
	// shortHeaderLines is the number of different names of short header lines.
	shortHeaderLines = 5000
)

// parts returns what is sent once and what is then repeated. headers are the lines of the response
// that the receiver expects, each with its line ending.
func (e Endless) parts(headers string) (begin, repeat string) {
	head := "HTTP/1.1 200 OK\r\n" + headers
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	switch e {
	case EndlessFirstLine:
		return "", "x"
	case EndlessStatusLine:
		return "HTTP/1.1 200 ", "O"
	case EndlessHeaderLine:
		return head + "Server: ", "x"
	case EndlessShortHeaders:
		return head, shortHeaders()
	case EndlessLongHeaders:
		return head, "X: " + strings.Repeat("y", 1000) + "\r\n"
	case EndlessInterim:
		return "", "HTTP/1.1 103 Early Hints\r\n\r\n"
	case EndlessChunkExtension:
		return chunked + "1;", "x"
	case EndlessChunkSize:
		return chunked, "0"
	case EndlessTrailer:
		return chunked + "1\r\nx\r\n0\r\n", "X: y\r\n"
	case EndlessPastLength:
		return head + "Content-Length: 4\r\n\r\nbody", "x"
	case EndlessStray:
		return "HTTP/1.1 200 OK\r\nId: other\r\nAttempt-Id: other\r\nContent-Length: 1000000000000\r\n\r\n", "x"
	case EndlessChunks:
		return chunked, "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"
	case EndlessEvent:
		return head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nid: 1\ndata: begin\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"
	case EndlessJSON:
		return head + "Content-Type: application/json\r\n\r\n" + `{"rows":[`, "{},"
	}
	return head + "\r\n", "x"
}

// shortHeaders returns header lines that all have another name.
func shortHeaders() string {
	var lines strings.Builder
	for i := range shortHeaderLines {
		fmt.Fprintf(&lines, "X%d: y\r\n", i)
	}
	return lines.String()
}

// Write sends this form after headers until an error occurs or limit bytes have been sent. With a
// pause, it sends one byte at a time. It returns the number of bytes sent.
func (e Endless) Write(w io.Writer, headers string, limit int64, pause time.Duration) (int64, error) {
	begin, repeat := e.parts(headers)
	if pause == 0 {
		repeat = strings.Repeat(repeat, 1+endlessBlockBytes/len(repeat))
	}
	n, err := io.WriteString(w, begin)
	sent := int64(n)
	// Tests that measure the heap would count the copies of a string.
	repeated := []byte(repeat)
	for i := 0; err == nil && sent < limit; i++ {
		block := repeated
		if pause > 0 {
			time.Sleep(pause)
			block = repeated[i%len(repeated) : i%len(repeated)+1]
		}
		n, err = w.Write(block)
		sent += int64(n)
	}
	return sent, err
}
