//go:build cgo

package startup

/*
#include <signal.h>

// Runs when the program is loaded, before the Go runtime is initialized.
__attribute__((constructor)) static void ignore_hup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
