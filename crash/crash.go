// Package crash tells requests by their content, so that the repeats of one under which
// upstreams end can be recognised. It owns no state yet beyond a Fingerprint's value and
// relies on nothing; gateways use it.
package crash
