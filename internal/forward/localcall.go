package forward

import (
	"net"
	"net/http"
	"net/netip"
)

// isCall reports whether a request is a call of the local backend server: whether its
// connection comes from the address of this machine at which it arrived. It is always
// false if callers may share the address of the machine.
func (d *Dialect) isCall(r *http.Request) bool {
	if !d.CallsFromOwnAddress {
		return false
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	own, err := netip.ParseAddrPort(local.String())
	if err != nil {
		return false
	}
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && remote.Addr().Unmap() == own.Addr().Unmap()
}
