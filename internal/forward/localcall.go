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
	return sameAddress(local.String(), r.RemoteAddr)
}

// sameAddress reports whether two addresses with ports, as HOST:PORT, have the same IP
// address.
func sameAddress(a, b string) bool {
	first, err := netip.ParseAddrPort(a)
	if err != nil {
		return false
	}
	second, err := netip.ParseAddrPort(b)
	return err == nil && first.Addr().Unmap() == second.Addr().Unmap()
}
