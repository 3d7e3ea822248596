package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Load of the case, as in the data centre with one machine of this size in the site file: 21 users, and twice as
// many while many come at once.
const (
	memoryLength = 90 * time.Second
	// smallPosts and smallLookups are the requests a second of users who keep their connections.
	smallUsers                = 21
	smallPosts, smallLookups  = 13, 5
	uploaders, burstUploaders = 21, 42
	roundTime                 = 5 * time.Second
	// uploadBytes is the size of a large body, within the operator's limit, chunkBytes that of a chunk of it.
	uploadBytes = maxBodyBytes - 1024
	chunkBytes  = 64 << 10
	// uploadTime is how long a client takes to send its body: 42 take four fifths of the machine's link.
	uploadTime = 1800 * time.Millisecond
	// restartDelay is the pause before the platform starts a process again that it killed.
	restartDelay = 500 * time.Millisecond
)

// kept holds the requests on kept connections that were closed without an answer.
type kept struct {
	mu  sync.Mutex
	cut []string
}

// runMemory plays: users send bodies in chunks, each within the operator's limit, and the platform
// kills a process over its memory limit. No request on a kept connection that was passed on to a sound
// worker may lose its connection more than three times.
func runMemory(c *caseRun) (bool, error) {
	if err := c.startSite(3); err != nil {
		return false, err
	}
	p, err := c.startFront("edge-andina-c-1")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	c.log("trouble: %v", c.trouble)
	end := time.Now().Add(memoryLength)
	var most, kills atomic.Int64
	lost := &kept{}
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		c.enforceMemory(p, end, &most, &kills)
	}()
	for n := range smallUsers {
		group.Add(1)
		go func() {
			defer group.Done()
			c.sendSmall(p, n, end, lost)
		}()
	}
	c.sendLarge(p, end)
	group.Wait()
	runs := c.totalRuns()
	passed := 0
	for _, id := range lost.cut {
		if runs[id] > 0 {
			passed++
			c.log("LOST: %s was passed on to a worker, and its connection was closed without an answer", id)
		}
	}
	c.log("most memory: %d MB of %d MB; killed by the platform %d times; %d connections closed without an answer, %d after the request was passed on",
		most.Load()>>20, memoryMB, kills.Load(), len(lost.cut), passed)
	return passed > 3, nil
}

// sendSmall sends posts and lookups on a kept connection.
func (c *caseRun) sendSmall(p *frontProcess, n int, end time.Time, lost *kept) {
	k := &client{address: p.clients}
	defer k.drop()
	pause := smallUsers * time.Second / (smallPosts + smallLookups)
	time.Sleep(pause * time.Duration(n) / smallUsers)
	for i := 0; time.Now().Before(end); i++ {
		id, method, path, body := fmt.Sprintf("post-%d-%d", n, i), http.MethodPost, postPrefix, strings.Repeat("b", 600)
		if (n+i)%(smallPosts+smallLookups) < smallLookups {
			id, method, path, body = fmt.Sprintf("look-%d-%d", n, i), http.MethodGet, lookPrefix, ""
		}
		onKept, began := k.conn != nil, time.Now()
		got := k.do(method, path, id, body)
		c.note("client %d: %s: %s", n, id, got)
		if got.err != nil && onKept && !isTimeout(got.err) {
			lost.mu.Lock()
			lost.cut = append(lost.cut, id)
			lost.mu.Unlock()
		}
		time.Sleep(pause - time.Since(began))
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// sendLarge sends large bodies until the end, of twice as many users if there is trouble.
func (c *caseRun) sendLarge(p *frontProcess, end time.Time) {
	for round := 0; time.Now().Before(end); round++ {
		users, next := uploaders, time.Now().Add(roundTime)
		if c.trouble {
			users = burstUploaders
			c.note("disruption: %d users send a large body at once", users)
		}
		var group sync.WaitGroup
		for n := range users {
			group.Add(1)
			go func() {
				defer group.Done()
				id := fmt.Sprintf("large-%d-%d", round, n)
				c.note("client: %s: %s", id, sendChunked(p, id))
			}()
		}
		group.Wait()
		time.Sleep(time.Until(next))
	}
}

// sendChunked sends a post whose body comes in chunks.
func sendChunked(p *frontProcess, id string) answer {
	k := &client{address: p.clients}
	defer k.drop()
	if err := k.connect(); err != nil {
		return answer{err: err}
	}
	_ = k.conn.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := io.WriteString(k.conn, head(http.MethodPost, postPrefix, id, "Transfer-Encoding: chunked")); err != nil {
		return answer{err: err}
	}
	chunk := strings.Repeat("b", chunkBytes)
	began := time.Now()
	for sent := 0; sent < uploadBytes; sent += chunkBytes {
		size := min(chunkBytes, uploadBytes-sent)
		if _, err := fmt.Fprintf(k.conn, "%x\r\n%s\r\n", size, chunk[:size]); err != nil {
			return k.read(http.MethodPost)
		}
		time.Sleep(uploadTime*time.Duration(sent)/uploadBytes - time.Since(began))
	}
	if _, err := io.WriteString(k.conn, "0\r\n\r\n"); err != nil {
		return answer{err: err}
	}
	return k.read(http.MethodPost)
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory limit and starts
// it again after a short delay. Only anonymous memory is counted.
func (c *caseRun) enforceMemory(p *frontProcess, end time.Time, most, kills *atomic.Int64) {
	for time.Now().Before(end) {
		used := anonymousBytes(p.pid())
		if used > most.Load() {
			most.Store(used)
		}
		if used > memoryMB<<20 {
			c.log("platform: the process holds %d MB of %d MB and is killed", used>>20, memoryMB)
			kills.Add(1)
			p.kill()
			time.Sleep(restartDelay)
			if err := p.start(); err != nil {
				c.log("restart: %v", err)
				return
			}
			if err := p.awaitReady(); err != nil {
				c.log("restart: %v", err)
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// anonymousBytes returns the anonymous memory of a process that is resident.
func anonymousBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}
