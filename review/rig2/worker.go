package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workerEvent is a line of a worker's log.
type workerEvent struct {
	At      int64  `json:"at"` // Unix time in ms
	Worker  string `json:"worker"`
	Request string `json:"request"`
	What    string `json:"what"` // "runs", "event", "breaks off", "done", "full", "rejected" or "dropped"
	Event   int    `json:"event,omitempty"`
	Framed  bool   `json:"framed"`
	From    string `json:"from"` // address of the sender's end of the connection
}

// worker is a stand-in for a worker, in a process of its own, so that it can be killed. Paths that
// begin with /stream/ are answered with events, all others with a single body after a while.
type worker struct {
	id       string
	events   int           // of a stream
	gap      time.Duration // before each event
	run      time.Duration // of a request that is no stream
	unframed int           // every nth stream states no length and ends with its connection; 0 for none
	breakOff int           // every nth stream states no length and breaks off inside an event; 0 for none
	body     int           // bytes of a single body

	peak     time.Duration // from a signal on, it is full for so long
	preempts bool          // streams that run stand still while it is full

	mu        sync.Mutex // guards the fields below
	log       *os.File
	streams   int
	running   int
	fullUntil time.Time
}

// runWorker runs a worker until its process is killed.
func runWorker(args []string) error {
	w := &worker{}
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	address := flags.String("address", "", "ip:port")
	logFile := flags.String("log", "", "log file, appended to")
	flags.StringVar(&w.id, "id", "", "instance id")
	flags.IntVar(&w.events, "events", 60, "events of a stream")
	flags.DurationVar(&w.gap, "gap", 100*time.Millisecond, "pause before each event")
	flags.DurationVar(&w.run, "run", 60*time.Millisecond, "duration of other requests")
	flags.IntVar(&w.unframed, "unframed", 0, "every nth stream states no length")
	flags.IntVar(&w.breakOff, "break-off", 0, "every nth stream states no length and breaks off inside an event")
	flags.IntVar(&w.body, "body", 800, "bytes of a single body")
	flags.DurationVar(&w.peak, "peak", 0, "for how long it is full from SIGUSR1 on")
	flags.BoolVar(&w.preempts, "preempts", false, "streams that run stand still while it is full")
	_ = flags.Parse(args)
	var err error
	if w.log, err = os.OpenFile(*logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	listener, err := net.Listen("tcp4", *address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go w.awaitPeaks()
	for {
		c, err := listener.Accept()
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		go w.serve(c)
	}
}

// awaitPeaks makes the worker full at each SIGUSR1.
func (w *worker) awaitPeaks() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		w.mu.Lock()
		w.fullUntil = time.Now().Add(w.peak)
		w.mu.Unlock()
	}
}

// fullFor returns for how long the worker is still full.
func (w *worker) fullFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, time.Until(w.fullUntil))
}

func (w *worker) record(e workerEvent) {
	e.At, e.Worker = time.Now().UnixMilli(), w.id
	data, _ := json.Marshal(e)
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.log.Write(append(data, '\n'))
}

// serve answers the requests of one connection.
func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.answer(c, r) {
			return
		}
	}
}

// answer answers one request, and reports whether the connection stays open.
func (w *worker) answer(c net.Conn, r *http.Request) bool {
	e := workerEvent{Request: r.Header.Get("Attempt-Id"), From: c.RemoteAddr().String(), Framed: true}
	head := "Attempt-Id: " + e.Request + "\r\n"
	switch {
	case r.URL.Path == "/health":
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,128\r\nContent-Length: 0\r\n\r\n", w.id)
		return err == nil
	case r.URL.Path == "/-/report":
		body := `{"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"seq":1,"queued":0,"running":0,"kv_used":0,"kv_total":600000,"handles":0}`
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.id:
		e.What = "rejected"
		w.record(e)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", head, w.id)
		return err == nil
	}
	if w.fullFor() > 0 {
		e.What = "full"
		w.record(e)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nServer-Load: 128,0,128\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	cut := 0 // bytes of an event after which the stream breaks off
	w.mu.Lock()
	w.running++
	head += fmt.Sprintf("Server-Load: %d,0,128\r\nServer-Seal: seal.%s.%s\r\nWeight-Versions: 1\r\n", w.running, w.id, e.Request)
	stream := strings.HasPrefix(r.URL.Path, "/stream/")
	if stream {
		w.streams++
		e.Framed = w.unframed == 0 || w.streams%w.unframed != 0
		if w.breakOff > 0 && w.streams%w.breakOff == 0 && r.Header.Get("Last-Event-Id") == "" {
			e.Framed, cut = false, w.streams/w.breakOff
		}
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	e.What = "runs"
	w.record(e)
	if stream {
		return w.stream(c, r, head, e, cut)
	}
	time.Sleep(w.run)
	body := strings.Repeat("x", w.body)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
		e.What = "dropped"
		w.record(e)
		return false
	}
	e.What = "done"
	w.record(e)
	return true
}

// stream answers with events that follow the last one that the request names. If cut is positive, it
// breaks off after half of the events and that many bytes of the next one, and closes the connection.
func (w *worker) stream(c net.Conn, r *http.Request, head string, e workerEvent, cut int) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if !e.Framed {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n", head, framing); err != nil {
		return false
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= w.events; n++ {
		time.Sleep(w.gap)
		if w.preempts {
			time.Sleep(w.fullFor())
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if cut > 0 && n == w.events/2+1 {
			_, _ = io.WriteString(c, text[:min(cut, len(text)-1)])
			e.What, e.Event = "breaks off", n
			w.record(e)
			return false
		}
		if e.Framed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			e.What, e.Event = "dropped", n
			w.record(e)
			return false
		}
		e.What, e.Event = "event", n
		w.record(e)
	}
	if e.Framed {
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	e.What, e.Event = "done", w.events
	w.record(e)
	return e.Framed
}

// readWorkerLog returns the events of a log file so far.
func readWorkerLog(file string) ([]workerEvent, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	var events []workerEvent
	for line := range strings.SplitSeq(string(data), "\n") {
		var e workerEvent
		if json.Unmarshal([]byte(line), &e) == nil && e.What != "" {
			events = append(events, e)
		}
	}
	return events, nil
}
