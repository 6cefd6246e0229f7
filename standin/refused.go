package standin

import (
	"fmt"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// RefusedAddress returns a loopback address that refuses connections until release is called. The
// port stays bound without a listener: if it were only closed, it could be assigned to another
// process, and the test would send its requests to that process.
func RefusedAddress() (address string, release func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, errs.Wrap(err)
	}
	release = func() { _ = unix.Close(fd) }
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		release()
		return "", nil, errs.Wrap(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		release()
		return "", nil, errs.Wrap(err)
	}
	v4, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		release()
		return "", nil, errs.New("socket is bound to a %T, not to an IPv4 address", bound)
	}
	return fmt.Sprintf("127.0.0.1:%d", v4.Port), release, nil
}
