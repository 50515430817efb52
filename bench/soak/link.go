package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// link is a loopback proxy between two processes, through which connections
// are delayed, cut in one or both directions, silenced or reset.
type link struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// forth and back pass bytes to the target and from it.
	forth, back *gate
	delay       time.Duration
	pairs       map[*pair]struct{}
}

// gate holds bytes back while it is shut.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) wait(done <-chan struct{}) {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
	case <-done:
	}
}

// shut closes the gate and returns what opens it again.
func (g *gate) shut() (reopen func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		return func() {} // shut already by another fault
	}
	open := make(chan struct{})
	g.open = open
	return func() { close(open) }
}

// pair is a connection through the link.
type pair struct {
	near, far *net.TCPConn
	done      chan struct{}
	once      sync.Once
	// silent never opens once it was shut.
	silent *gate
}

func (p *pair) close(hard bool) {
	p.once.Do(func() {
		close(p.done)
		for _, c := range []*net.TCPConn{p.near, p.far} {
			if hard {
				_ = c.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// newLink listens at an address and passes connections on to the target.
func newLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	k := &link{listener: l, target: target, forth: newGate(), back: newGate(), pairs: make(map[*pair]struct{})}
	go k.serve()
	return k, nil
}

func (k *link) serve() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return // the link was closed
		}
		go k.pass(c.(*net.TCPConn))
	}
}

func (k *link) pass(near *net.TCPConn) {
	far, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		_ = near.SetLinger(0) // nothing listens there: a reset, as without the link
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far.(*net.TCPConn), done: make(chan struct{}), silent: newGate()}
	k.mu.Lock()
	k.pairs[p] = struct{}{}
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.pump(p, p.far, p.near, k.forth) })
	both.Go(func() { k.pump(p, p.near, p.far, k.back) })
	both.Wait()
	p.close(false)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pairs, p)
}

// pump copies one direction. An orderly end is passed on, any other ends both.
func (k *link) pump(p *pair, to, from *net.TCPConn, g *gate) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.silent.wait(p.done)
		g.wait(p.done)
		time.Sleep(k.delayNow())
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.close(true)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			p.close(true)
			return
		}
	}
}

func (k *link) delayNow() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.delay
}

func (k *link) setDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// each calls f with every open connection.
func (k *link) each(f func(p *pair)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pairs {
		f(p)
	}
}

// reset cuts every open connection with a reset.
func (k *link) reset() { k.each(func(p *pair) { p.close(true) }) }

// silence passes nothing more on the open connections; new ones work.
func (k *link) silence() { k.each(func(p *pair) { p.silent.shut() }) }

func (k *link) close() {
	_ = k.listener.Close()
	k.reset()
}
