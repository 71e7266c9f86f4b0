//go:build cgo

package main

/*
#include <signal.h>

__attribute__((constructor)) static void ignoreHangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C" // A hang-up ends a process until its runtime has started, some milliseconds later than this.
