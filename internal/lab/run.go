package lab

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// StartProgram starts a program and waits until a TCP connection to the address
// succeeds.
func (l *Lab) StartProgram(address, program string, args ...string) (*Process, error) {
	p, err := l.start(program, args...)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if c, err := net.Dial("tcp", address); err == nil {
			return p, c.Close()
		}
	}
	return nil, errors.Newf("lab: %s did not accept connections at %s in time", program, address)
}
