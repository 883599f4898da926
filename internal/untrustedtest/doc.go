// Package untrustedtest tests the programs as separate processes against clients
// that send legal or illegal input in order to use up memory or descriptors. It
// checks that the process lives, that its memory and its open descriptors stay
// under a bound, and that an ordinary request is answered afterwards. The tests
// run one at a time.
package untrustedtest
